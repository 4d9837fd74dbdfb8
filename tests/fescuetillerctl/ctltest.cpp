#include <sstream>

#include <catch2/catch.hpp>

#include "audit/faultystore.h"
#include "config/config.h"
#include "fescuetillerctl/command.h"
#include "ownership/ownership.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

/** Lets every session share one table service. */
class BorrowedStore : public TableStore
{
public:
  explicit BorrowedStore(TableStore& aStore)
    : store(aStore)
  {
  }
  Result<TransactionResult> Transact(const Transaction& aChange) override
  {
    return this->store.Transact(aChange);
  }
  Result<ReadResult> ReadRows(const std::vector<RowKey>& aKeys) override
  {
    return this->store.ReadRows(aKeys);
  }
  Result<ReadResult> ReadChanges(const std::string& aTable,
                                 RowVersion aSince) override
  {
    return this->store.ReadChanges(aTable, aSince);
  }

private:
  TableStore& store;
};

/** An operator's terminal with a manual clock. */
struct Terminal
{
  explicit Terminal(TableStore& aStore)
    : session{ out,
               error,
               [&aStore](const std::string&, Duration) {
                 return std::make_unique<BorrowedStore>(aStore);
               },
               [this](const DaemonCall& aCall) { return answer(aCall); },
               [this] { return "write-" + std::to_string(++writes); },
               { [this] { return now; },
                 [this](Duration aPause) { now += aPause; },
                 [] { return int64_t(0); } },
               "ana",
               "desk-1",
               "platform" }
  {
  }

  int Run(const std::string& aLine)
  {
    this->out.str("");
    this->error.str("");
    std::istringstream words(aLine);
    std::vector<std::string> arguments(
      std::istream_iterator<std::string>{ words }, {});
    return static_cast<int>(RunCommand(this->session, arguments));
  }

  bool Said(const std::string& aText) const
  {
    return (this->out.str() + this->error.str()).find(aText) !=
           std::string::npos;
  }

  std::ostringstream out;
  std::ostringstream error;
  std::function<Result<std::string>(const DaemonCall&)> answer =
    [](const DaemonCall& aCall) -> Result<std::string> {
    return tl::unexpected(
      Error{ ErrorCode::Unavailable, "call", aCall.address, "refused" });
  };
  int writes = 0;
  Time now;
  Session session;
};

void
AddMember(TableStore& aStore,
          Incarnation aIncarnation,
          const std::string& aName)
{
  Member member;
  member.incarnation = aIncarnation;
  member.name = aName;
  member.service = "agenda";
  member.slots = 6;
  member.operatorAddress = aName;
  aStore.Transact({ {}, { ToRow(member) } });
}

} // namespace

TEST_CASE("Operators state and revise targets", "[ctl]")
{
  MemoryTableStore memory;
  FaultyStore store(memory);
  Terminal ana(store);
  REQUIRE(ana.Run("class set agenda lookup --latency-ms 100") == 0);
  CHECK(ana.Said("revision 1 (based on 0)"));

  SECTION("what is not stated stays as it is")
  {
    CHECK(ana.Run("class set agenda lookup --share 0.9 --idempotent") == 0);
    CHECK(ana.Run("class show agenda lookup --json") == 0);
    CHECK(ana.Said("\"latency_ms\":100"));
    CHECK(ana.Said("\"share\":0.9"));
    CHECK(ana.Said("\"revision\":\"2\""));
  }
  SECTION("a change that changes nothing is not written")
  {
    CHECK(ana.Run("class set agenda lookup --latency-ms 100") == 0);
    CHECK(ana.Said("nothing to change"));
    CHECK(ReadAuditTrail(memory, 10)->size() == 1);
  }
  SECTION("the second of two operators is told what is there and by whom")
  {
    CHECK(ana.Run("class set agenda lookup --latency-ms 80 --revision 1 "
                  "--who luc") == 0);
    CHECK(ana.Run("class set agenda lookup --latency-ms 90 --revision 1") == 3);
    CHECK(ana.Said("revision 2"));
    CHECK(ana.Said("changed by luc: latency_ms=80"));
    CHECK(ana.Run("audit") == 0);
    CHECK(ana.Said("refused: conflict"));
  }
  SECTION("a change between the read and the write is a conflict, too")
  {
    Terminal luc(memory);
    bool raced = false;
    store.beforeTransact = [&] {
      if (!raced) {
        raced = true;
        luc.Run("class set agenda lookup --latency-ms 80 --who luc");
      }
    };
    CHECK(ana.Run("class set agenda lookup --latency-ms 90") == 3);
    CHECK(ana.Said("changed by luc: latency_ms=80"));
  }
  SECTION("a lost answer is settled")
  {
    store.transactFaults = { StoreFault::AnswerLost };
    CHECK(ana.Run("class set agenda lookup --latency-ms 90") == 0);
    CHECK(ana.Said("revision 2"));
    CHECK(ReadAuditTrail(memory, 10)->size() == 2);
  }
  SECTION("an outcome that can't be settled is said to be unknown")
  {
    store.transactFaults.assign(1000, StoreFault::AnswerLost);
    store.readFaults.assign(1000, StoreFault::Unreachable);
    store.readFaults[0] = StoreFault::None;
    store.readFaults[1] = StoreFault::None;
    CHECK(ana.Run("class set agenda lookup --latency-ms 90") == 4);
    CHECK(ana.Said("unknown"));
  }
  SECTION("a removed class goes on counting revisions")
  {
    CHECK(ana.Run("class remove agenda lookup --revision 1") == 0);
    CHECK(ana.Run("class show agenda lookup") == 1);
    CHECK(ana.Run("class set agenda lookup --latency-ms 70") == 0);
    CHECK(ana.Said("revision 3 (based on 2)"));
  }
  SECTION("wrong targets and arguments are wrong usage")
  {
    for (const char* line : { "class set agenda a/b --latency-ms 1",
                              "class set agenda",
                              "class set agenda booking",
                              "class set agenda lookup --latency-ms 0",
                              "class set agenda lookup --percentile 100",
                              "class set agenda lookup --percentile nan",
                              "class set agenda lookup --share 1.1",
                              "class set agenda lookup --idempotent=yes",
                              "class set agenda lookup x --latency-ms 1",
                              "class remove agenda booking",
                              "class show agenda",
                              "class set --file /nonexistent",
                              "drain a/b",
                              "drain",
                              "check settings",
                              "metrics",
                              "class set agenda lookup --share 0.9 --who \xff",
                              "drain agenda-1 --who \x1b[31m",
                              "key locate agenda",
                              "status --timeout-ms 0",
                              "class" }) {
      CAPTURE(line, ana.error.str());
      CHECK(ana.Run(line) == 2);
      CHECK(ana.error.str().find('\n') == ana.error.str().size() - 1);
    }
    CHECK(ReadAuditTrail(memory, 10)->size() == 1);
  }
}

TEST_CASE("A change waits until it is in force everywhere", "[ctl]")
{
  MemoryTableStore store;
  Terminal ana(store);
  AddMember(store, 1, "agenda-1");
  AddMember(store, 2, "agenda-2");
  std::map<std::string, int> asked;
  ana.answer = [&](const DaemonCall& aCall) -> Result<std::string> {
    bool holds = aCall.address == "agenda-1" || ++asked[aCall.address] > 3;
    return std::string(R"({"classes":[{"service":"agenda","name":"lookup",)") +
           R"("revision":)" + (holds ? "1" : "0") + "}]}";
  };

  SECTION("it ends when all daemons hold the revision")
  {
    CHECK(ana.Run("class set agenda lookup --latency-ms 100 --wait") == 0);
    CHECK(ana.Said("in force on all 2 live daemons"));
    CHECK(asked["agenda-2"] == 4);
  }
  SECTION("it names those that don't in time")
  {
    CHECK(ana.Run("class set agenda lookup --latency-ms 100 --wait "
                  "--wait-ms 500") == 5);
    CHECK(ana.Said("not in force yet on 1 of 2: agenda-2"));
  }
}

TEST_CASE("A drain is recorded before the member acts on it", "[ctl]")
{
  MemoryTableStore store;
  Terminal ana(store);
  AddMember(store, 1, "agenda-1");
  std::string path;
  bool reachable = true;
  ana.answer = [&](const DaemonCall& aCall) -> Result<std::string> {
    path = aCall.path;
    if (!reachable) {
      return tl::unexpected(
        Error{ ErrorCode::Unavailable, "call", aCall.address, "refused" });
    }
    return std::string("ok");
  };

  SECTION("the member is told to read it")
  {
    CHECK(ana.Run("drain agenda-1") == 0);
    CHECK(path == "/v1/refresh");
    auto rows = store.ReadRows({ DrainKey("agenda-1") });
    REQUIRE(rows->rows.size() == 1);
    CHECK(ParseDrain(rows->rows[0])->drain);
    CHECK(ReadAuditTrail(store, 1)->at(0).after == "drained");
    CHECK(ana.Run("undrain agenda-1 --revision 0") == 3);
    CHECK(ana.Said("agenda-1 is drained at revision 1, changed by ana"));
    CHECK(ana.Run("undrain agenda-1 --revision 1") == 0);
  }
  SECTION("a member that isn't reached acts later")
  {
    reachable = false;
    CHECK(ana.Run("drain agenda-1") == 5);
    CHECK(ana.Said("recorded, but not in force yet"));
    reachable = true;
    CHECK(ana.Run("drain agenda-1") == 0);
    CHECK(ReadAuditTrail(store, 10)->size() == 1);
  }
  SECTION("another daemon passes on what the member was not told")
  {
    AddMember(store, 2, "agenda-2");
    ana.answer = [&](const DaemonCall& aCall) -> Result<std::string> {
      if (aCall.address == "agenda-2") {
        path = aCall.path;
        return std::string("ok");
      }
      return tl::unexpected(
        Error{ ErrorCode::Unavailable, "call", aCall.address, "refused" });
    };
    CHECK(ana.Run("drain agenda-1") == 5);
    CHECK(ana.Said("agenda-2 passes it on"));
    CHECK(path == "/v1/refresh?member=agenda-1");
  }
  SECTION("an unknown member is refused")
  {
    CHECK(ana.Run("drain agenda-9") == 1);
    CHECK(ReadAuditTrail(store, 10)->empty());
  }
}

TEST_CASE("Status tells what is degraded and why", "[ctl]")
{
  MemoryTableStore store;
  Terminal ana(store);
  AddMember(store, 1, "agenda-1");
  AddMember(store, 2, "agenda-2");
  for (uint32_t index = 0; index < 4; ++index) {
    Assignment assignment;
    assignment.partition = { "agenda", index };
    assignment.owner = index == 3 ? 9 : 1;
    assignment.epoch = 1;
    store.Transact({ {}, { ToRow(assignment) } });
  }
  ana.answer = [&](const DaemonCall& aCall) -> Result<std::string> {
    if (aCall.address == "agenda-1") {
      return std::string(R"({"healthy":false,"reasons":["lease: not held"]})");
    }
    return tl::unexpected(
      Error{ ErrorCode::Unavailable, "call", aCall.address, "refused" });
  };
  CHECK(ana.Run("status") == 0);
  CHECK(ana.Said("agenda: 1 of 4 partitions have no live owner"));
  CHECK(ana.Said("agenda-1: lease: not held"));
  CHECK(ana.Said("agenda-2: refused"));
  CHECK(ana.Run("status --json") == 0);
  CHECK(ana.Said("\"imbalance\":2"));
}

TEST_CASE("Each command has help with examples", "[ctl]")
{
  MemoryTableStore store;
  Terminal ana(store);
  for (const char* command : { "class list",
                               "class show",
                               "class set",
                               "class remove",
                               "status",
                               "key locate",
                               "drain",
                               "undrain",
                               "audit",
                               "check settings",
                               "check classes",
                               "metrics" }) {
    CHECK(ana.Run("--help") == 0);
    CHECK(ana.Said(command));
    CHECK(ana.Run(std::string(command) + " --help") == 0);
    CHECK(ana.Said("Examples:"));
    CHECK(ana.Said("Exit codes:"));
  }
}
