#include <algorithm>
#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "placement/placement.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

constexpr uint32_t kSlots = 6;
constexpr uint32_t kZones = 3;
constexpr Duration kPlan = std::chrono::milliseconds(200);

/** Fleet in which server n owns partitions 8n to 8n+7, each with a load. */
PlacementView
Fleet(uint32_t aServers, double aPartitionLoad)
{
  PlacementView view;
  view.now = Time(std::chrono::hours(1));
  for (uint32_t index = 0; index < aServers; ++index) {
    ServerView server;
    server.id = index + 1;
    server.zone = std::to_string(index % kZones);
    server.slots = kSlots;
    server.load = 8 * aPartitionLoad;
    view.servers.push_back(server);
  }
  for (uint32_t index = 0; index < 8 * aServers; ++index) {
    PartitionView partition;
    partition.id = { "agenda", index };
    partition.owner = index / 8 + 1;
    partition.load = aPartitionLoad;
    view.partitions.push_back(partition);
  }
  return view;
}

void
SetLoad(PlacementView& aView, uint32_t aPartition, double aLoad)
{
  auto& partition = aView.partitions[aPartition];
  aView.servers[partition.owner - 1].load += aLoad - partition.load;
  partition.load = aLoad;
}

/** Multiplies the load of every partition of a server. */
void
Scale(PlacementView& aView, Incarnation aServer, double aFactor)
{
  for (uint32_t index = 0; index < aView.partitions.size(); ++index) {
    if (aView.partitions[index].owner == aServer) {
      SetLoad(aView, index, aView.partitions[index].load * aFactor);
    }
  }
}

std::vector<Move>
MovesOf(const PlacementPolicy& aPolicy, PlacementView aView, Incarnation aSelf)
{
  aView.self = aSelf;
  return aPolicy(aView);
}

/** Moves that all servers decide on at once, each for itself. */
std::vector<Move>
AllMoves(const PlacementPolicy& aPolicy, const PlacementView& aView)
{
  std::vector<Move> moves;
  for (const auto& server : aView.servers) {
    auto own = MovesOf(aPolicy, aView, server.id);
    moves.insert(moves.end(), own.begin(), own.end());
  }
  return moves;
}

void
Apply(PlacementView& aView, const std::vector<Move>& aMoves)
{
  for (const auto& move : aMoves) {
    auto& partition = aView.partitions[move.partition.index];
    aView.servers[move.from - 1].load -= partition.load;
    aView.servers[move.to - 1].load += partition.load;
    partition.previousOwner = move.from;
    partition.owner = move.to;
    partition.ownedFor = Duration(0);
  }
}

void
Pass(PlacementView& aView, Duration aTime)
{
  aView.now += aTime;
  for (auto& partition : aView.partitions) {
    partition.ownedFor += aTime;
  }
  for (auto& server : aView.servers) {
    server.age += aTime;
  }
}

std::map<Incarnation, size_t>
Receipts(const std::vector<Move>& aMoves)
{
  std::map<Incarnation, size_t> receipts;
  for (const auto& move : aMoves) {
    ++receipts[move.to];
  }
  return receipts;
}

size_t
MostReceipts(const std::vector<Move>& aMoves)
{
  size_t most = 0;
  for (const auto& [server, count] : Receipts(aMoves)) {
    most = std::max(most, count);
  }
  return most;
}

/** Decides, applies and lets time pass; returns how much was moved. */
size_t
RunFor(PlacementView& aView, const PlacementPolicy& aPolicy, Duration aTime)
{
  size_t moved = 0;
  for (Duration passed{}; passed < aTime; passed += kPlan) {
    auto moves = AllMoves(aPolicy, aView);
    Apply(aView, moves);
    Pass(aView, kPlan);
    moved += moves.size();
  }
  return moved;
}

PlacementPolicy
PolicyFor(PlacementGoal aGoal)
{
  PlacementSettings settings;
  settings.goal = aGoal;
  return MakePlacement(settings);
}

double
HighestLoad(const PlacementView& aView)
{
  double highest = 0;
  for (const auto& server : aView.servers) {
    highest = std::max(highest, server.load);
  }
  return highest;
}

} // namespace

TEST_CASE("A fleet under load keeps its owners or mends them", "[placement]")
{
  auto goal = GENERATE(PlacementGoal::UnavailableTime, PlacementGoal::Churn);
  auto policy = PolicyFor(goal);
  auto view = Fleet(12, 0.35);

  SECTION("an even load moves nothing")
  {
    CHECK(AllMoves(policy, view).empty());

    SECTION("nor does a difference that is smaller than its cost")
    {
      Scale(view, 1, 1.2);
      Scale(view, 2, 0.8);
      CHECK(RunFor(view, policy, std::chrono::minutes(2)) == 0);
    }
    SECTION("nor noise on servers that are nearly idle")
    {
      auto idle = Fleet(12, 0.002);
      Scale(idle, 1, 5);
      CHECK(RunFor(idle, policy, std::chrono::minutes(2)) == 0);
    }
  }
  SECTION("an overloaded server gives, and it alone")
  {
    Scale(view, 1, 2.2);
    auto moves = AllMoves(policy, view);
    REQUIRE_FALSE(moves.empty());
    for (const auto& move : moves) {
      CHECK(move.from == 1);
      CHECK(move.to != 1);
    }
    CHECK(MovesOf(policy, view, 1) == moves);

    SECTION("until it is relieved, and then nothing moves any more")
    {
      size_t moved = RunFor(view, policy, std::chrono::minutes(5));
      CHECK(moved <= 6);
      CHECK(HighestLoad(view) < 0.85 * 8 * 0.35 * 2.2);
      CHECK(RunFor(view, policy, std::chrono::minutes(10)) == 0);
    }
    SECTION("but keeps a partition that was moved a moment ago")
    {
      for (auto& partition : view.partitions) {
        partition.ownedFor = std::chrono::seconds(1);
      }
      CHECK(AllMoves(policy, view).empty());
    }
    SECTION("and none goes to a server that gave a moment ago")
    {
      for (auto& partition : view.partitions) {
        partition.previousOwner = partition.owner % 12 + 1;
        partition.ownedFor = std::chrono::seconds(4);
      }
      for (uint32_t index = 0; index < 8; ++index) {
        view.partitions[index].ownedFor = std::chrono::hours(1);
      }
      view.partitions[8].previousOwner = 2;
      for (const auto& move : AllMoves(policy, view)) {
        CHECK(move.to == 2);
      }
    }
  }
  SECTION("any mix of loads comes to rest")
  {
    for (uint32_t index = 0; index < view.partitions.size(); ++index) {
      SetLoad(
        view, index, 0.05 * static_cast<double>(HashKey("load", index) % 17));
    }
    RunFor(view, policy, std::chrono::minutes(10));
    CHECK(RunFor(view, policy, std::chrono::minutes(10)) == 0);
  }
}

TEST_CASE("Servers that decide at once don't meet at one", "[placement]")
{
  auto goal = GENERATE(PlacementGoal::UnavailableTime, PlacementGoal::Churn);
  auto policy = PolicyFor(goal);
  auto view = Fleet(120, 0.35);

  SECTION("many overloaded servers and one idle, for as long as reports lag")
  {
    for (Incarnation server = 1; server <= 30; ++server) {
      Scale(view, server, 3);
    }
    Scale(view, 100, 0);
    auto reported = view.servers;
    std::vector<Move> moves;
    for (int step = 0; step < 10; ++step) {
      auto some = AllMoves(policy, view);
      Apply(view, some);
      Pass(view, kPlan);
      view.servers = reported;
      moves.insert(moves.end(), some.begin(), some.end());
    }
    CHECK(moves.size() >= 20);
    CHECK(MostReceipts(moves) <= 4);
  }
  SECTION("a joining server is filled little by little to its share")
  {
    ServerView joined;
    joined.id = 121;
    joined.zone = "0";
    joined.slots = kSlots;
    joined.age = Duration(0);
    view.servers.push_back(joined);
    size_t soon = RunFor(view, policy, std::chrono::seconds(3));
    CHECK(soon <= 3);
    size_t later = RunFor(view, policy, std::chrono::minutes(3));
    CHECK(soon + later >= 3);
    CHECK(soon + later <= 8);
    CHECK(RunFor(view, policy, std::chrono::minutes(3)) == 0);
  }
}

TEST_CASE("A server that misleads draws and pushes little", "[placement]")
{
  auto goal = GENERATE(PlacementGoal::UnavailableTime, PlacementGoal::Churn);
  auto policy = PolicyFor(goal);
  auto view = Fleet(24, 0.35);
  auto owned = [&view](Incarnation aServer) {
    return std::count_if(
      view.partitions.begin(), view.partitions.end(), [&](const auto& aOwned) {
        return aOwned.owner == aServer;
      });
  };

  SECTION("one that always reports no load and many slots")
  {
    for (int step = 0; step < 600; ++step) {
      view.servers[0].load = 0;
      view.servers[0].slots = 1000;
      Apply(view, AllMoves(policy, view));
      Pass(view, kPlan);
    }
    CHECK(owned(1) <= 12);
  }
  SECTION("one that claims a single slot and a load that can't be")
  {
    for (int step = 0; step < 600; ++step) {
      view.servers[0].load = 1e6;
      view.servers[0].slots = 1;
      for (auto& partition : view.partitions) {
        partition.load = partition.owner == 1 ? 1e5 : 0.35;
      }
      Apply(view, AllMoves(policy, view));
      Pass(view, kPlan);
    }
    CHECK(owned(1) >= 2);
    for (Incarnation server = 2; server <= 24; ++server) {
      CHECK(owned(server) >= 6);
      CHECK(owned(server) <= 12);
    }
  }
  SECTION("one whose busy slots answer less than those of the others")
  {
    for (auto& server : view.servers) {
      server.throughput = 100 * server.load;
    }
    PlacementSettings settings;
    double before = Summarise(view, settings).Find(1)->capacity;
    view.servers[0].throughput *= 0.35;
    double after = Summarise(view, settings).Find(1)->capacity;
    CHECK(after == Approx(before / 2));
  }
}

TEST_CASE("Partitions without an owner find one", "[placement]")
{
  auto policy = PolicyFor(PlacementGoal::UnavailableTime);

  SECTION("in an empty deployment")
  {
    auto view = Fleet(11, 0);
    for (auto& partition : view.partitions) {
      partition.owner = kNoIncarnation;
    }
    view.partitions.resize(64);
    auto all = MovesOf(policy, view, 1);
    REQUIRE(all.size() == 64);

    SECTION("all servers choose the same owners, each near its share")
    {
      for (const auto& server : view.servers) {
        CHECK(MovesOf(policy, view, server.id) == all);
      }
      CHECK(MostReceipts(all) == 6);
      CHECK(Receipts(all).size() == 11);
    }
    SECTION("none claims while servers still join")
    {
      view.servers[0].age = std::chrono::milliseconds(400);
      CHECK(MovesOf(policy, view, 1).empty());
      CHECK(MovesOf(policy, view, 2) == all);
    }
    SECTION("but for how long a server waits there is a bound")
    {
      view.servers[0].age = std::chrono::seconds(2);
      view.servers[5].age = Duration(0);
      CHECK(MovesOf(policy, view, 1) == all);
    }
  }
  SECTION("after a loss, over many servers of every zone")
  {
    auto view = Fleet(120, 0.35);
    view.servers[0].accepting = false;
    view.self = 2;
    view.soleDecider = true;
    for (uint32_t index = 0; index < 8; ++index) {
      view.partitions[index].owner = kNoIncarnation;
    }
    auto moves = policy(view);
    REQUIRE(moves.size() == 8);
    CHECK(MostReceipts(moves) <= 2);
    std::map<std::string, size_t> zones;
    for (const auto& move : moves) {
      CHECK(move.to != 1);
      ++zones[view.servers[move.to - 1].zone];
    }
    CHECK(zones.size() == kZones);
    CHECK(zones["0"] >= 2);
    CHECK(zones["1"] >= 2);
  }
  SECTION("from a server that leaves")
  {
    auto view = Fleet(12, 0.35);
    view.servers[3].accepting = false;
    auto moves = MovesOf(policy, view, 4);
    REQUIRE(moves.size() == 8);
    CHECK(MostReceipts(moves) <= 3);
    CHECK(Receipts(moves).count(4) == 0);
    CHECK(MovesOf(policy, view, 5).empty());
  }
  SECTION("and nowhere when no server accepts")
  {
    auto view = Fleet(2, 0.35);
    view.partitions[0].owner = kNoIncarnation;
    view.servers[0].accepting = false;
    view.servers[1].accepting = false;
    CHECK(AllMoves(policy, view).empty());
  }
}

TEST_CASE("The goal of the deployment decides what is worth a move",
          "[placement]")
{
  auto unavailable = PolicyFor(PlacementGoal::UnavailableTime);
  auto churn = PolicyFor(PlacementGoal::Churn);

  SECTION("a server above the mean, with slots to spare")
  {
    auto view = Fleet(24, 0.2);
    Scale(view, 1, 1.65);
    CHECK_FALSE(MovesOf(unavailable, view, 1).empty());
    CHECK(MovesOf(churn, view, 1).empty());
  }
  SECTION("a server close to the end of its slots")
  {
    auto view = Fleet(24, 0.45);
    Scale(view, 1, 1.4);
    CHECK_FALSE(MovesOf(unavailable, view, 1).empty());
    CHECK(MovesOf(churn, view, 1).empty());
  }
  SECTION("a server without free slots")
  {
    auto view = Fleet(24, 0.5);
    Scale(view, 1, 1.6);
    CHECK_FALSE(MovesOf(unavailable, view, 1).empty());
    CHECK_FALSE(MovesOf(churn, view, 1).empty());
  }
}
