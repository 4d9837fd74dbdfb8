#include <catch2/catch.hpp>

#include "cluster/cluster.h"
#include "standins/memorystore.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kService = "agenda";

/** One agent with its server and the store, but without the other members. */
struct Lone
{
  Lone()
    : agent(
        { kService, "a", "10.0.0.1:2", "10.0.0.1:3", "10.0.0.1:1" },
        AgentSettings(),
        [] { return MemberId("self"); },
        [] { return 0.5; })
  {
    this->agent.SetOwnsKeys(true);
  }

  /** Plays some seconds with a heartbeat each; rows come only from own
   * changes. */
  void Play(Duration aTime)
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
};

} // namespace

SCENARIO("Keys are taken as orphans only if their owner is no member",
         "[orphans]")
{
  // Found on a grown deployment: after all daemons had been killed, members
  // took keys whose owners had joined, but whose rows had not come yet, and two
  // servers held them.
  Lone lone;
  RangeRecord range{ kService, { 0, kLastKey }, "other", 3, "" };
  lone.store.Apply({ {}, { ToRow(range) }, {} });
  lone.agent.OnRows(
    lone.now, kService, lone.store.Read({ kClusterTable, kService, "" }));

  GIVEN("an owner whose row has not come here")
  {
    MemberRecord other;
    other.id = "other";
    other.service = kService;
    lone.store.Apply({ {}, { ToRow(other) }, {} });
    lone.Play(seconds(12));
    THEN("it stays the owner")
    {
      CHECK(lone.OwnerOf(0) == "other");
    }
  }
  GIVEN("an owner that is no member")
  {
    lone.Play(seconds(12));
    THEN("its keys are taken")
    {
      CHECK(lone.OwnerOf(0) == "self");
    }
  }
}
