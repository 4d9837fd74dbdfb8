#include <catch2/catch.hpp>

#include "cluster/cluster.h"
#include "standins/memorystore.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kService = "agenda";

/** One agent with its backend server and the store, without other members. */
struct SingleAgent
{
  SingleAgent()
    : agent(
        { kService, "a", "10.0.0.1:2", "10.0.0.1:3", "10.0.0.1:1" },
        AgentSettings(),
        [] { return MemberId("self"); },
        [] { return 0.5; })
  {
    this->agent.SetOwnsKeys(true);
    this->agent.ZoneEvacuations().OnRead(this->now, 1, {}); // No orders.
  }

  /** Runs the agent with a heartbeat every second. It learns no rows except
   * those that it wrote itself. */
  void RunFor(Duration aTime)
  {
    auto end = this->now + aTime;
    for (; this->now < end; this->now += milliseconds(100)) {
      if (this->now >= this->nextHeartbeat) {
        ServerReport report;
        report.service = kService;
        report.address = "10.0.0.1:1";
        report.incarnation.id = "i-1";
        report.slots = 4;
        report.sequence = ++this->heartbeats;
        this->agent.OnHeartbeat(this->now, report);
        this->nextHeartbeat = this->now + seconds(1);
      }
      this->agent.Tick(this->now);
      while (auto change = this->agent.Transactions().Next(this->now)) {
        ++this->transactions;
        this->agent.Transactions().OnResponse(this->now,
                                              this->store.Apply(*change));
      }
    }
  }

  MemberId OwnerOf(Key aFirst) const
  {
    return ParseRange(*this->store.Find(RangeKey(kService, aFirst)))->owner;
  }

  MemoryStore store;
  OwnershipAgent agent;
  Time now = Time(seconds(100));
  Time nextHeartbeat;
  uint64_t heartbeats = 0;
  uint64_t transactions = 0; ///< Sent to the store.
};

} // namespace

SCENARIO("Unowned ranges are taken only if their owner is no member",
         "[unownedranges]")
{
  // Guards against a takeover of ranges whose owner has joined while its member
  // row has not arrived yet: two servers would hold the keys. This happened
  // after all daemons had been killed.
  SingleAgent single;
  RangeRecord range{ kService, { 0, kLastKey }, "other", 3, "" };
  single.store.Apply({ {}, { ToRow(range) }, {} });
  single.agent.OnRows(
    single.now, kService, single.store.Read({ kClusterTable, kService, "" }));

  GIVEN("an owner whose row has not arrived yet")
  {
    MemberRecord other;
    other.id = "other";
    other.service = kService;
    other.address = "10.0.0.2:2";
    other.udpAddress = "10.0.0.2:3";
    single.store.Apply({ {}, { ToRow(other) }, {} });
    single.RunFor(seconds(12));
    THEN("it stays the owner")
    {
      CHECK(single.OwnerOf(0) == "other");
    }
  }
  GIVEN("an owner that is no member")
  {
    single.RunFor(seconds(12));
    THEN("its ranges are taken")
    {
      CHECK(single.OwnerOf(0) == "self");
    }
  }
}

SCENARIO("A row that no longer exists is dropped when a change fails on it",
         "[unownedranges]")
{
  // Guards against a change that fails again and again because the store's
  // response lists only rows that exist.
  SingleAgent single;
  RangeRecord range{ kService, { 0, 99 }, "other", 3, "" };
  single.store.Apply({ {}, { ToRow(range) }, {} });
  single.agent.OnRows(
    single.now, kService, single.store.Read({ kClusterTable, kService, "" }));
  single.store.Apply({ {}, {}, { RangeKey(kService, 0) } });
  single.RunFor(seconds(3));
  auto before = single.transactions;
  single.RunFor(seconds(12));
  CHECK(single.OwnerOf(0) == "self");
  // The change that fails, the first ranges and renewals of the long lease.
  CHECK(single.transactions - before <= 4);
}
