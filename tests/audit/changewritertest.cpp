#include <catch2/catch.hpp>

#include "audit/audit.h"
#include "standins/faultystore.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

constexpr Duration kTimeout = std::chrono::seconds(2);
constexpr const char* kService = "agenda";
const StoreKey kSubject{ "cluster", kService, "drain/agenda-1" };

/** One operator with a manual clock in front of a faulty store. */
struct Operator
{
  explicit Operator(MemoryStore& aStore)
    : store(aStore)
  {
  }

  ChangeResult Write(const std::string& aWriteId, RowVersion aBasedOn)
  {
    OperatorChange change;
    change.service = kService;
    change.writeId = aWriteId;
    change.conditions = { { kSubject, aBasedOn } };
    change.rows = { { kSubject, aWriteId, 0, false } };
    AuditEntry entry;
    entry.who = "ana";
    entry.action = "drain";
    entry.subject = kSubject.key;
    change.entries = { entry };
    ChangeHooks hooks{ [this] { return this->now; },
                       [this](Duration aPause) { this->now += aPause; },
                       [] { return int64_t(1000); } };
    return ChangeWriter(this->store.Calls(), hooks, kTimeout).Write(change);
  }

  FaultyStore store;
  Time now;
};

std::string
ValueOf(const MemoryStore& aStore, const StoreKey& aKey)
{
  const auto* row = aStore.Find(aKey);
  return row == nullptr ? "" : row->value;
}

/** Another operator's change that adds an entry for something else. */
OperatorChange
OtherChange()
{
  OperatorChange other;
  other.service = kService;
  other.writeId = "other";
  other.entries = { AuditEntry() };
  return other;
}

size_t
EntriesOf(MemoryStore& aStore, const std::string& aWriteId)
{
  auto trail = ReadAuditTrail(aStore.Calls(), kService, 100);
  size_t count = 0;
  for (const auto& entry : *trail) {
    count += entry.writeId == aWriteId ? 1 : 0;
  }
  return count;
}

} // namespace

TEST_CASE("An operator's change and its audit entry stand or fall together",
          "[audit]")
{
  MemoryStore store;
  Operator ana(store);
  Operator luc(store);

  SECTION("a change is accepted with its entry")
  {
    CHECK(ana.Write("a", 0).outcome == ChangeOutcome::Accepted);
    CHECK(ValueOf(store, kSubject) == "a");
    auto trail = ReadAuditTrail(store.Calls(), kService, 10);
    REQUIRE(trail->size() == 1);
    CHECK((*trail)[0].who == "ana");
    CHECK((*trail)[0].unixMilliseconds == 1000);
  }
  SECTION("of two operators with the same base one is accepted")
  {
    CHECK(ana.Write("a", 0).outcome == ChangeOutcome::Accepted);
    auto second = luc.Write("b", 0);
    CHECK(second.outcome == ChangeOutcome::Conflict);
    REQUIRE(second.conflicts.size() == 1);
    CHECK(second.conflicts[0].value == "a");
    CHECK(EntriesOf(store, "b") == 0);
  }
  SECTION("a change elsewhere in the trail only costs another attempt")
  {
    bool raced = false;
    ana.store.beforeTransact = [&] {
      if (!raced) {
        raced = true;
        auto other = OtherChange();
        ChangeWriter(store.Calls(), SystemChangeHooks(), kTimeout).Write(other);
      }
    };
    CHECK(ana.Write("a", 0).outcome == ChangeOutcome::Accepted);
    CHECK(EntriesOf(store, "other") == 1);
    CHECK(EntriesOf(store, "a") == 1);
  }
  SECTION("the trail is bounded and keeps the newest")
  {
    AuditHead head;
    head.service = kService;
    head.nextSequence = kAuditEntriesKept + 1;
    store.Apply({ {}, { ToRow(head) }, {} });
    ana.Write("a", 0);
    auto oldest = AuditKey(kService, 1);
    CHECK(AuditKey(kService, kAuditEntriesKept + 1) == oldest);
    const auto* row = store.Find(oldest);
    REQUIRE(row != nullptr);
    CHECK(ParseAuditEntry(*row)->sequence == kAuditEntriesKept + 1);
  }
}

TEST_CASE("Every fault at every step of a change is settled", "[audit]")
{
  const StoreFault kFaults[] = { StoreFault::None,
                                 StoreFault::Unreachable,
                                 StoreFault::RequestLost,
                                 StoreFault::AnswerLost,
                                 StoreFault::Late };
  const StoreFault kReadFaults[] = { StoreFault::None,
                                     StoreFault::Unreachable };
  enum class Racer
  {
    None,
    SameRow,       ///< Another operator changes the same row in between.
    OwnRowAgain,   ///< Another builds on this change, when it took effect.
    ElsewhereOnly, ///< Another writes an entry for something else.
  };
  for (auto first : kFaults) {
    for (auto second : kFaults) {
      for (auto read : kReadFaults) {
        for (auto racer : { Racer::None,
                            Racer::SameRow,
                            Racer::OwnRowAgain,
                            Racer::ElsewhereOnly }) {
          CAPTURE(int(first), int(second), int(read), int(racer));
          MemoryStore store;
          Operator ana(store);
          ana.store.transactFaults = { first, second };
          ana.store.readFaults = { read, StoreFault::None, read, read };
          int calls = 0;
          ana.store.beforeTransact = [&] {
            bool interfere = racer != Racer::None &&
                             ++calls == (racer == Racer::SameRow ? 1 : 2);
            if (!interfere) {
              return;
            }
            auto other = OtherChange();
            if (racer != Racer::ElsewhereOnly) {
              const auto* now = store.Find(kSubject);
              RowVersion version = now == nullptr ? 0 : now->version;
              other.conditions = { { kSubject, version } };
              other.rows = { { kSubject, "other", 0, false } };
            }
            ChangeWriter(store.Calls(), SystemChangeHooks(), kTimeout)
              .Write(other);
          };
          auto result = ana.Write("a", 0);
          size_t entries = EntriesOf(store, "a");
          CHECK(entries <= 1);
          CHECK(result.outcome != ChangeOutcome::Unknown);
          CHECK(result.outcome != ChangeOutcome::NotMade);
          CHECK((result.outcome == ChangeOutcome::Accepted) == (entries == 1));
          if (result.outcome == ChangeOutcome::Conflict) {
            REQUIRE(result.conflicts.size() == 1);
            CHECK(result.conflicts[0].value == "other");
          }
        }
      }
    }
  }
}

TEST_CASE("A change that can't be settled in time is said to be unknown",
          "[audit]")
{
  MemoryStore store;
  Operator ana(store);
  const size_t kCalls = 100;

  SECTION("the store is never reached: not made")
  {
    ana.store.readFaults.assign(kCalls, StoreFault::Unreachable);
    CHECK(ana.Write("a", 0).outcome == ChangeOutcome::NotMade);
  }
  SECTION("transactions are refused without effect: not made")
  {
    ana.store.transactFaults.assign(kCalls, StoreFault::Unreachable);
    CHECK(ana.Write("a", 0).outcome == ChangeOutcome::NotMade);
    CHECK(EntriesOf(store, "a") == 0);
  }
  SECTION("the answer is lost and nothing can be read: unknown")
  {
    ana.store.transactFaults.assign(kCalls, StoreFault::AnswerLost);
    ana.store.readFaults.assign(kCalls, StoreFault::Unreachable);
    ana.store.readFaults.front() = StoreFault::None;
    CHECK(ana.Write("a", 0).outcome == ChangeOutcome::Unknown);
    CHECK(EntriesOf(store, "a") == 1);
  }
}
