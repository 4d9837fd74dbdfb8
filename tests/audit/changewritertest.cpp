#include <catch2/catch.hpp>

#include "audit/audit.h"
#include "standins/faultystore.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

constexpr Duration kTimeout = std::chrono::seconds(2);
constexpr const char* kService = "agenda";
const StoreKey kSubject{ "cluster", kService, "drain/agenda-1" };

/** An operator with a manual clock who uses a faulty store. */
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

/** Another operator's change; it adds an audit entry but changes no row. */
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
CountEntries(MemoryStore& aStore, const std::string& aWriteId)
{
  auto trail = ReadAuditTrail(aStore.Calls(), kService, 100);
  size_t count = 0;
  for (const auto& entry : *trail) {
    count += entry.writeId == aWriteId ? 1 : 0;
  }
  return count;
}

} // namespace

TEST_CASE("An operator's change and its audit entry are written atomically",
          "[audit]")
{
  MemoryStore store;
  Operator ana(store);
  Operator luc(store);

  SECTION("an accepted change has an audit entry")
  {
    CHECK(ana.Write("a", 0).outcome == ChangeOutcome::Accepted);
    CHECK(ValueOf(store, kSubject) == "a");
    auto trail = ReadAuditTrail(store.Calls(), kService, 10);
    REQUIRE(trail->size() == 1);
    CHECK((*trail)[0].who == "ana");
    CHECK((*trail)[0].unixMilliseconds == 1000);
  }
  SECTION("of two changes based on the same version, one is accepted")
  {
    CHECK(ana.Write("a", 0).outcome == ChangeOutcome::Accepted);
    auto second = luc.Write("b", 0);
    CHECK(second.outcome == ChangeOutcome::Conflict);
    REQUIRE(second.conflicts.size() == 1);
    CHECK(second.conflicts[0].value == "a");
    CHECK(CountEntries(store, "b") == 0);
  }
  SECTION("a concurrent change of another row only causes a retry")
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
    CHECK(CountEntries(store, "other") == 1);
    CHECK(CountEntries(store, "a") == 1);
  }
  SECTION("the trail is bounded and keeps the newest entries")
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

TEST_CASE("A change has a definite outcome after any fault at any step",
          "[audit]")
{
  const StoreFault kFaults[] = { StoreFault::None,
                                 StoreFault::Unreachable,
                                 StoreFault::RequestLost,
                                 StoreFault::ResponseLost,
                                 StoreFault::Delayed };
  const StoreFault kReadFaults[] = { StoreFault::None,
                                     StoreFault::Unreachable };
  /** What another operator does before a transaction of this change. */
  enum class Interference
  {
    None,
    SameRow,   ///< Changes the same row before the first transaction.
    RowLater,  ///< Changes the row before the second one; by then this change
               ///< may have taken effect.
    TrailOnly, ///< Adds an audit entry before the second one.
  };
  for (auto first : kFaults) {
    for (auto second : kFaults) {
      for (auto read : kReadFaults) {
        for (auto interference : { Interference::None,
                                   Interference::SameRow,
                                   Interference::RowLater,
                                   Interference::TrailOnly }) {
          CAPTURE(int(first), int(second), int(read), int(interference));
          MemoryStore store;
          Operator ana(store);
          ana.store.transactFaults = { first, second };
          ana.store.readFaults = { read, StoreFault::None, read, read };
          int calls = 0;
          ana.store.beforeTransact = [&] {
            bool hasTurn =
              interference != Interference::None &&
              ++calls == (interference == Interference::SameRow ? 1 : 2);
            if (!hasTurn) {
              return;
            }
            auto other = OtherChange();
            if (interference != Interference::TrailOnly) {
              const auto* now = store.Find(kSubject);
              RowVersion version = now == nullptr ? 0 : now->version;
              other.conditions = { { kSubject, version } };
              other.rows = { { kSubject, "other", 0, false } };
            }
            ChangeWriter(store.Calls(), SystemChangeHooks(), kTimeout)
              .Write(other);
          };
          auto result = ana.Write("a", 0);
          size_t entries = CountEntries(store, "a");
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

TEST_CASE(
  "A change that fails until time is up is reported as not made or unknown",
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
  SECTION("transactions fail without effect: not made")
  {
    ana.store.transactFaults.assign(kCalls, StoreFault::Unreachable);
    CHECK(ana.Write("a", 0).outcome == ChangeOutcome::NotMade);
    CHECK(CountEntries(store, "a") == 0);
  }
  SECTION("the response is lost and reads fail: unknown")
  {
    ana.store.transactFaults.assign(kCalls, StoreFault::ResponseLost);
    ana.store.readFaults.assign(kCalls, StoreFault::Unreachable);
    ana.store.readFaults.front() = StoreFault::None;
    CHECK(ana.Write("a", 0).outcome == ChangeOutcome::Unknown);
    CHECK(CountEntries(store, "a") == 1);
  }
}
