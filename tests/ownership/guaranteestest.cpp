#include <catch2/catch.hpp>

#include "faultycluster.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kServedAgainWithin = seconds(2);

void
StartAll(FaultyCluster& aCluster, size_t aNodes)
{
  for (size_t node = 0; node < aNodes; ++node) {
    aCluster.StartNode(node);
  }
  aCluster.Run(seconds(6));
  REQUIRE(aCluster.ServedCount() == FaultyCluster::kPartitions);
}

void
CheckNoBreach(FaultyCluster& aCluster)
{
  const auto& breaches = aCluster.Checker().Breaches();
  CHECK((breaches.empty() ? "" : breaches.front()) == "");
}

const Member&
RecordOf(FaultyCluster& aCluster, size_t aNode)
{
  const OwnershipSystem& system = aCluster.System(aNode);
  return *system.Table().FindMember(system.Self());
}

} // namespace

TEST_CASE("Partitions are served again soon after a loss", "[guarantees][slow]")
{
  std::function<void(FaultyCluster&, size_t)> lose;

  SECTION("of a daemon alone")
  {
    lose = [](FaultyCluster& aCluster, size_t aNode) {
      aCluster.LoseNode(aNode, false);
    };
  }
  SECTION("of a daemon and its backend server")
  {
    lose = [](FaultyCluster& aCluster, size_t aNode) {
      aCluster.LoseNode(aNode, true);
    };
  }
  SECTION("of a backend server that freezes")
  {
    lose = [](FaultyCluster& aCluster, size_t aNode) {
      for (int repeat = 0; repeat < 4; ++repeat) {
        aCluster.Strike(Fault::BackendFrozen, aNode);
        aCluster.Run(seconds(1));
      }
    };
  }
  for (bool checksGrant : { true, false }) {
    for (uint32_t run = 0; run < 24; ++run) {
      ClusterOptions options;
      options.nodes = 6;
      options.checksGrant = checksGrant;
      options.seed = run + 1;
      FaultyCluster cluster(options);
      StartAll(cluster, options.nodes);
      cluster.Run(milliseconds(30 * run));
      Time from = cluster.Now();
      lose(cluster, run % options.nodes);
      cluster.Run(seconds(4));
      INFO("run " << run << ", backend servers check grants: " << checksGrant);
      CheckNoBreach(cluster);
      CHECK(cluster.ServedCount() == FaultyCluster::kPartitions);
      Duration gap = cluster.Checker().LongestGap(from);
      CHECK(gap > milliseconds(500));
      CHECK(gap <= kServedAgainWithin);
    }
  }
}

TEST_CASE("A whole availability zone is lost", "[guarantees][slow]")
{
  ClusterOptions options;
  options.nodes = 9;
  FaultyCluster cluster(options);
  StartAll(cluster, options.nodes);
  for (size_t node = 0; node < options.nodes; ++node) {
    const Member& member = RecordOf(cluster, node);
    const Member* grantor =
      cluster.System(node).Table().FindMember(member.grantor);
    REQUIRE(grantor != nullptr);
    CHECK(grantor->zone != member.zone);
  }
  Time from = cluster.Now();
  for (size_t node = 0; node < options.nodes; node += 3) {
    cluster.LoseNode(node, true);
  }
  cluster.Run(seconds(5));
  CheckNoBreach(cluster);
  CHECK(cluster.ServedCount() == FaultyCluster::kPartitions);
  CHECK(cluster.Checker().LongestGap(from) <= kServedAgainWithin);
}

TEST_CASE("Planned stops cut nothing", "[guarantees][slow]")
{
  ClusterOptions options;
  FaultyCluster cluster(options);
  StartAll(cluster, options.nodes);

  SECTION("one after the other")
  {
    for (size_t node = 0; node < 4; ++node) {
      cluster.Stop(node);
      cluster.Run(seconds(3));
      CHECK(cluster.Stopped(node));
    }
    CHECK(cluster.ServedCount() == FaultyCluster::kPartitions);
  }
  SECTION("two that grant each other or the same, at once")
  {
    cluster.Stop(0);
    cluster.Stop(1);
    cluster.Run(seconds(4));
    CHECK(cluster.Stopped(0));
    CHECK(cluster.Stopped(1));
    CHECK(cluster.ServedCount() == FaultyCluster::kPartitions);
  }
  SECTION("while the table service is down they wait and go on serving")
  {
    cluster.Strike(Fault::StoreDown, 0);
    cluster.Run(milliseconds(500));
    Time from = cluster.Now();
    cluster.Stop(0);
    cluster.Run(seconds(2));
    CHECK_FALSE(cluster.Stopped(0));
    CHECK(cluster.ServedCount() == FaultyCluster::kPartitions);
    CHECK(cluster.Checker().LongestGap(from) <= milliseconds(20));

    cluster.Run(seconds(5));
    CHECK(cluster.Stopped(0));
    CHECK(cluster.ServedCount() == FaultyCluster::kPartitions);
  }
  SECTION("drained and returned again and again")
  {
    cluster.Strike(Fault::OperatorsRace, 1);
    cluster.Run(seconds(5));
    CHECK(cluster.ServedCount() == FaultyCluster::kPartitions);
  }
  CheckNoBreach(cluster);
  CHECK(cluster.Checker().CutCount() == 0);
}

TEST_CASE("Nothing that lives stops while the table service is down",
          "[guarantees][slow]")
{
  ClusterOptions options;
  FaultyCluster cluster(options);
  StartAll(cluster, options.nodes);
  Time from = cluster.Now();
  for (int repeat = 0; repeat < 20; ++repeat) {
    cluster.Strike(Fault::StoreDown, 0);
    if (repeat == 5) {
      cluster.Strike(Fault::MessagesLate, 1);
    }
    cluster.Run(seconds(2));
  }
  CheckNoBreach(cluster);
  CHECK(cluster.ServedCount() == FaultyCluster::kPartitions);
  CHECK(cluster.Checker().LongestGap(from) <= milliseconds(20));
  CHECK(cluster.Checker().CutCount() == 0);

  SECTION("a loss waits until it is back")
  {
    cluster.Strike(Fault::StoreDown, 0);
    cluster.LoseNode(3, true);
    cluster.Run(milliseconds(2500));
    CHECK(cluster.ServedCount() < FaultyCluster::kPartitions);
    cluster.Run(seconds(5));
    CHECK(cluster.ServedCount() == FaultyCluster::kPartitions);
    CheckNoBreach(cluster);
  }
}

TEST_CASE("A pair that only grants each other", "[guarantees][slow]")
{
  ClusterOptions options;
  options.nodes = 2;
  FaultyCluster cluster(options);
  StartAll(cluster, options.nodes);
  REQUIRE(RecordOf(cluster, 0).grantor == cluster.System(1).Self());
  REQUIRE(RecordOf(cluster, 1).grantor == cluster.System(0).Self());

  SECTION("cut from everything else it serves on and is never taken over")
  {
    Incarnation first = cluster.System(0).Self();
    for (int repeat = 0; repeat < 5; ++repeat) {
      cluster.Strike(Fault::StoreDown, 0);
      cluster.Run(seconds(2));
    }
    CHECK(cluster.System(0).Self() == first);
    CHECK(cluster.ServedCount() == FaultyCluster::kPartitions);
  }
  SECTION("lost at once, new processes at the same addresses replace it")
  {
    cluster.LoseNode(0, false);
    cluster.LoseNode(1, false);
    cluster.Run(seconds(3));
    CHECK(cluster.ServedCount() == 0);
    cluster.StartNode(0);
    cluster.StartNode(1);
    cluster.Run(seconds(5));
    CHECK(cluster.ServedCount() == FaultyCluster::kPartitions);
  }
  CheckNoBreach(cluster);
}

TEST_CASE("What a quiet daemon sends", "[guarantees][slow]")
{
  ClusterOptions options;
  FaultyCluster cluster(options);
  StartAll(cluster, options.nodes);
  uint64_t writes = cluster.StoreWrites();
  cluster.Run(seconds(10));
  CHECK(cluster.StoreWrites() == writes);
}
