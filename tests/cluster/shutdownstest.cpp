#include <catch2/catch.hpp>

#include "cluster/cluster.h"
#include "standins/memorystore.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kService = "dossier";
constexpr const char* kAddress = "10.0.0.1:2";

/** A store, and processes of one daemon that follow each other. */
struct RestartedAgent
{
  RestartedAgent() { this->Restart(); }

  void Restart()
  {
    ++this->processes;
    this->agent = std::make_unique<OwnershipAgent>(
      AgentIdentity{ kService, "a", kAddress, "10.0.0.1:3", "10.0.0.1:1" },
      AgentSettings(),
      [this] { return "process-" + std::to_string(this->processes); },
      [] { return 0.5; });
    this->agent->ZoneEvacuations().OnRead(this->now, 1, {}); // No orders.
  }

  void LoadRows()
  {
    this->agent->OnRows(
      this->now, kService, this->store.Read({ kClusterTable, kService, "" }));
  }

  void SendHeartbeat(uint64_t aSequence,
                     const std::string& aServer = "i-1",
                     bool aDraining = false)
  {
    ServerReport report;
    report.service = kService;
    report.address = "10.0.0.1:1";
    report.incarnation.id = aServer;
    report.slots = 4;
    report.sequence = aSequence;
    report.draining = aDraining;
    this->agent->OnHeartbeat(this->now, report);
  }

  /** Runs the agent. @param aStoreResponds Whether the store can be reached. */
  void RunFor(Duration aTime, bool aStoreResponds = true)
  {
    for (auto end = this->now + aTime; this->now < end;
         this->now += milliseconds(100)) {
      this->agent->Tick(this->now);
      while (auto change = this->agent->Transactions().Next(this->now)) {
        if (!aStoreResponds) {
          this->agent->Transactions().OnResponse(
            this->now,
            tl::unexpected(Error{ ErrorCode::Unavailable, "change", "", "" }));
          break;
        }
        this->agent->Transactions().OnResponse(this->now,
                                               this->store.Apply(*change));
        this->agent->Tick(this->now);
      }
    }
  }

  /** Whether requests may be sent to the server, apart from a drain time that
   * has begun in this process. */
  bool IsInUse() const
  {
    auto serving = this->agent->ServingStateAt(this->now);
    return serving.available && !serving.draining;
  }

  /** Whether any member row says that the server accepts requests. */
  bool IsReadyForOthers() const
  {
    const auto& rows = this->store.Rows();
    return std::any_of(rows.begin(), rows.end(), [](const auto& aRow) {
      auto member = ParseMember(aRow.second);
      return member && member->state == MemberState::Ready;
    });
  }

  MemoryStore store;
  std::unique_ptr<OwnershipAgent> agent;
  Time now = Time(seconds(100));
  int processes = 0;
};

} // namespace

// Guards against requests to a server over its drain time after its shutdown
// was acknowledged: its daemon was restarted, forgot that, and took a late
// heartbeat for the server's state. All other daemons were told that it was
// ready.
SCENARIO("A restarted daemon knows that its server has announced its shutdown",
         "[shutdowns][leaving]")
{
  RestartedAgent daemon;
  daemon.LoadRows();
  daemon.SendHeartbeat(7);
  daemon.RunFor(seconds(1));
  REQUIRE(daemon.IsInUse());

  GIVEN("a server that deregisters")
  {
    daemon.agent->OnServerDeregistered(daemon.now, "i-1");
    REQUIRE(daemon.agent->IsRecordingShutdown());
    daemon.RunFor(milliseconds(100));
    REQUIRE_FALSE(daemon.agent->IsRecordingShutdown());

    WHEN("a heartbeat from before arrives at the next process")
    {
      daemon.Restart();
      daemon.LoadRows();
      daemon.RunFor(seconds(4));
      daemon.SendHeartbeat(8);
      CHECK_FALSE(daemon.IsInUse());
      daemon.RunFor(seconds(1));
      CHECK_FALSE(daemon.IsInUse());
      CHECK_FALSE(daemon.IsReadyForOthers());
      // Its drain time may have begun at any time.
      auto serving = daemon.agent->ServingStateAt(daemon.now);
      CHECK(serving.sendUntil < Time(seconds(100)));
    }
    WHEN("it arrives before the next process has read the store")
    {
      daemon.Restart();
      daemon.SendHeartbeat(8);
      daemon.RunFor(milliseconds(300));
      CHECK_FALSE(daemon.IsInUse());
      daemon.LoadRows();
      daemon.RunFor(seconds(1));
      CHECK_FALSE(daemon.IsInUse());
      CHECK_FALSE(daemon.IsReadyForOthers());
    }
    WHEN("the next process reads the rows of another daemon in an outage")
    {
      daemon.Restart();
      const auto rows = daemon.store.Read({ kClusterTable, kService, "" });
      for (const auto& row : rows.rows) {
        daemon.agent->OnRow(daemon.now, row);
      }
      daemon.SendHeartbeat(8);
      daemon.RunFor(seconds(1), false);
      daemon.SendHeartbeat(9);
      CHECK_FALSE(daemon.IsInUse());
    }
    WHEN("the next incarnation of the server starts")
    {
      daemon.Restart();
      daemon.LoadRows();
      daemon.SendHeartbeat(1, "i-2");
      daemon.RunFor(seconds(1));
      CHECK(daemon.IsInUse());
      CHECK(daemon.IsReadyForOthers());
    }
  }
  GIVEN("a server that announces it in a heartbeat")
  {
    daemon.SendHeartbeat(8, "i-1", true);
    daemon.RunFor(milliseconds(100));
    daemon.Restart();
    daemon.LoadRows();
    daemon.SendHeartbeat(6); // Sent before.
    daemon.RunFor(seconds(1));
    CHECK_FALSE(daemon.IsInUse());
    CHECK_FALSE(daemon.IsReadyForOthers());
  }
  GIVEN("a server that deregisters before its first heartbeat to a process")
  {
    daemon.Restart();
    daemon.LoadRows();
    daemon.agent->OnServerDeregistered(daemon.now, "i-1");
    daemon.RunFor(milliseconds(100));
    daemon.Restart();
    daemon.LoadRows();
    daemon.SendHeartbeat(8);
    CHECK_FALSE(daemon.IsInUse());
  }
  GIVEN("a store that is down when the server deregisters")
  {
    daemon.agent->OnServerDeregistered(daemon.now, "i-1");
    daemon.RunFor(seconds(3), false);
    CHECK(daemon.agent->IsRecordingShutdown());
    WHEN("it can be reached again")
    {
      daemon.RunFor(seconds(2));
      CHECK_FALSE(daemon.agent->IsRecordingShutdown());
    }
    WHEN("a heartbeat from before arrives at the next process meanwhile")
    {
      daemon.Restart();
      daemon.SendHeartbeat(8);
      CHECK_FALSE(daemon.IsInUse());
    }
  }
}

// Guards against a daemon that waits for the store for ever after its start.
SCENARIO(
  "A daemon that starts in an outage uses a server that sends heartbeats",
  "[shutdowns]")
{
  RestartedAgent daemon;
  daemon.SendHeartbeat(7);
  CHECK_FALSE(daemon.IsInUse());
  daemon.RunFor(seconds(1), false);
  daemon.SendHeartbeat(8);
  CHECK(daemon.IsInUse());
}

SCENARIO("A record of a shutdown is removed when no heartbeat can be that late",
         "[shutdowns]")
{
  RestartedAgent daemon;
  daemon.LoadRows();
  daemon.SendHeartbeat(7);
  daemon.RunFor(seconds(1));
  daemon.agent->OnServerDeregistered(daemon.now, "i-1");
  daemon.RunFor(seconds(1));
  auto key = ShutdownKey(kService, kAddress);
  REQUIRE(daemon.store.Find(key) != nullptr);

  GIVEN("a server that has not ended")
  {
    daemon.RunFor(std::chrono::minutes(20));
    CHECK(daemon.store.Find(key) != nullptr);
  }
  GIVEN("its next incarnation")
  {
    daemon.SendHeartbeat(1, "i-2");
    daemon.RunFor(std::chrono::minutes(9));
    CHECK(daemon.store.Find(key) != nullptr);
    daemon.RunFor(std::chrono::minutes(2));
    CHECK(daemon.store.Find(key) == nullptr);
  }
}
