#include "placementplanners.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <numeric>

namespace fescuetiller {

namespace {

Duration
Seconds(double aSeconds)
{
  return std::chrono::milliseconds(static_cast<int64_t>(aSeconds * 1000));
}

Incarnation
IdOf(int aServer)
{
  return static_cast<Incarnation>(aServer) + 1;
}

int
ServerOf(Incarnation aId)
{
  return static_cast<int>(aId) - 1;
}

std::vector<ModelMove>
ToModel(const std::vector<Move>& aMoves)
{
  std::vector<ModelMove> moves;
  moves.reserve(aMoves.size());
  for (const auto& move : aMoves) {
    moves.push_back({ move.partition.index, ServerOf(move.to) });
  }
  return moves;
}

/** What the balanced planner keeps between the calls of one tick. */
struct BalancedState
{
  PlacementSettings settings;
  std::array<FleetSummary, 2> summaries;
};

using Targets = std::shared_ptr<std::vector<int>>;

/** Plan of a planner that has one target for every partition. */
std::vector<ModelMove>
TowardsTargets(const Fleet& aFleet,
               int aServer,
               const std::vector<int>& aTargets)
{
  std::vector<ModelMove> moves;
  for (uint32_t partition : aFleet.owned[aServer]) {
    if (aTargets[partition] != aServer) {
      moves.push_back({ partition, aTargets[partition] });
    }
  }
  return moves;
}

std::vector<ModelMove>
AtTargets(const std::vector<uint32_t>& aPartitions,
          const std::vector<int>& aTargets)
{
  std::vector<ModelMove> moves;
  moves.reserve(aPartitions.size());
  for (uint32_t partition : aPartitions) {
    moves.push_back({ partition, aTargets[partition] });
  }
  return moves;
}

Planner
TargetPlanner(std::string aName,
              const std::function<void(const Fleet&, std::vector<int>&)>& aFind)
{
  Targets targets = std::make_shared<std::vector<int>>();
  Planner planner;
  planner.name = std::move(aName);
  planner.membershipChanged = [targets, aFind](const Fleet& aFleet) {
    aFind(aFleet, *targets);
  };
  planner.beginTick = [](const Fleet&) {};
  planner.plan = [targets](const Fleet& aFleet, int aServer) {
    return TowardsTargets(aFleet, aServer, *targets);
  };
  planner.assign = [targets](const Fleet&,
                             const std::vector<uint32_t>& aPartitions,
                             bool) { return AtTargets(aPartitions, *targets); };
  return planner;
}

uint64_t
Score(size_t aServer, size_t aPartition)
{
  return MixBits(MixBits(aServer) ^ aPartition);
}

int
HighestScore(const Fleet& aFleet, size_t aPartition)
{
  int best = -1;
  uint64_t bestScore = 0;
  for (size_t server = 0; server < aFleet.servers.size(); ++server) {
    uint64_t score = Score(server, aPartition);
    if (aFleet.servers[server].accepting && score >= bestScore) {
      best = static_cast<int>(server);
      bestScore = score;
    }
  }
  return best;
}

/** Updates targets for servers that came or went since the last call. */
void
FollowScores(const Fleet& aFleet, std::vector<int>& aTargets, size_t& aKnown)
{
  bool first = aTargets.empty();
  aTargets.resize(aFleet.partitions.size(), -1);
  for (size_t partition = 0; partition < aTargets.size(); ++partition) {
    int& target = aTargets[partition];
    if (first || !aFleet.servers[target].accepting) {
      target = HighestScore(aFleet, partition);
      continue;
    }
    for (size_t server = aKnown; server < aFleet.servers.size(); ++server) {
      if (Score(server, partition) > Score(target, partition)) {
        target = static_cast<int>(server);
      }
    }
  }
  aKnown = aFleet.servers.size();
}

void
WalkRing(const Fleet& aFleet, std::vector<int>& aTargets)
{
  constexpr double kBound = 1.25;
  constexpr size_t kPointsAServer = 40;
  std::vector<std::pair<uint64_t, int>> ring;
  double accepting = 0;
  for (size_t server = 0; server < aFleet.servers.size(); ++server) {
    if (!aFleet.servers[server].accepting) {
      continue;
    }
    ++accepting;
    for (size_t point = 0; point < kPointsAServer; ++point) {
      ring.emplace_back(MixBits(Score(server, point) + 1),
                        static_cast<int>(server));
    }
  }
  std::sort(ring.begin(), ring.end());
  double mean = static_cast<double>(aFleet.partitions.size()) / accepting;
  auto bound = static_cast<uint32_t>(std::ceil(kBound * mean));
  std::vector<uint32_t> counts(aFleet.servers.size());
  aTargets.resize(aFleet.partitions.size());
  for (size_t partition = 0; partition < aTargets.size(); ++partition) {
    std::pair<uint64_t, int> from(MixBits(partition * 31 + 7), -1);
    auto place = std::lower_bound(ring.begin(), ring.end(), from);
    place = place == ring.end() ? ring.begin() : place;
    while (counts[place->second] >= bound) {
      ++place;
      place = place == ring.end() ? ring.begin() : place;
    }
    ++counts[place->second];
    aTargets[partition] = place->second;
  }
}

/** What the greedy planner keeps between the calls of one tick. */
struct GreedyState
{
  std::array<std::vector<int>, 2> byLoad; ///< Accepting, least loaded first.
  std::array<double, 2> mean{};
};

void
SortByLoad(const Fleet& aFleet, GreedyState& aState)
{
  for (uint32_t group = 0; group < 2; ++group) {
    const auto& reports = aFleet.Reports(group);
    auto& order = aState.byLoad.at(group);
    order.clear();
    double total = 0;
    for (size_t server = 0; server < aFleet.servers.size(); ++server) {
      if (aFleet.servers[server].accepting) {
        order.push_back(static_cast<int>(server));
      }
      total += server < reports.size() ? reports[server] : 0;
    }
    auto load = [&](int aServer) {
      return static_cast<size_t>(aServer) < reports.size() ? reports[aServer]
                                                           : 0;
    };
    std::sort(order.begin(), order.end(), [&](int aLeft, int aRight) {
      return std::make_pair(load(aLeft), aLeft) <
             std::make_pair(load(aRight), aRight);
    });
    aState.mean.at(group) = total / static_cast<double>(order.size());
  }
}

std::vector<ModelMove>
GreedyMoves(const Fleet& aFleet, const GreedyState& aState, int aServer)
{
  uint32_t group = aFleet.GroupOf(aServer);
  const auto& reports = aFleet.Reports(group);
  const auto& order = aState.byLoad.at(group);
  bool leaving = !aFleet.servers[aServer].accepting;
  std::vector<std::pair<double, uint32_t>> own;
  double load = 0;
  for (uint32_t partition : aFleet.owned[aServer]) {
    own.emplace_back(aFleet.SeenLoad(partition), partition);
    load += own.back().first;
  }
  std::sort(own.rbegin(), own.rend());
  std::vector<ModelMove> moves;
  size_t next = 0;
  for (const auto& [weight, partition] : own) {
    if (!leaving && load <= aState.mean.at(group)) {
      break;
    }
    int to = order[next % order.size()];
    double before = static_cast<size_t>(to) < reports.size() ? reports[to] : 0;
    bool lower = before + weight < load;
    if (to != aServer && (lower || leaving)) {
      moves.push_back({ partition, to });
      load -= weight;
      ++next;
    }
  }
  return moves;
}

} // namespace

PlacementView
ViewOf(const Fleet& aFleet, uint32_t aGroup)
{
  PlacementView view;
  view.now = Time(Seconds(aFleet.now));
  const auto& reports = aFleet.Reports(aGroup);
  for (size_t index = 0; index < aFleet.servers.size(); ++index) {
    const auto& server = aFleet.servers[index];
    if (!server.alive && !server.accepting) {
      continue;
    }
    ServerView seen;
    seen.id = IdOf(static_cast<int>(index));
    seen.zone = "zone-" + std::to_string(server.zone);
    seen.slots = static_cast<uint32_t>(aFleet.ReportedSlots(server));
    seen.load = index < reports.size() ? reports[index] : 0;
    seen.accepting = server.accepting;
    seen.age = Seconds(aFleet.now - server.joinedAt);
    view.servers.push_back(seen);
  }
  for (uint32_t index = 0; index < aFleet.partitions.size(); ++index) {
    const auto& partition = aFleet.partitions[index];
    PartitionView seen;
    seen.id = { "agenda", index };
    seen.owner = partition.owner < 0 ? kNoIncarnation : IdOf(partition.owner);
    seen.ownedFor = Seconds(aFleet.now - partition.ownedSince);
    seen.previousOwner = partition.previousOwner < 0
                           ? kNoIncarnation
                           : IdOf(partition.previousOwner);
    view.partitions.push_back(seen);
  }
  return view;
}

Planner
BalancedPlanner(PlacementGoal aGoal)
{
  auto state = std::make_shared<BalancedState>();
  state->settings.goal = aGoal;
  state->settings.planInterval = std::chrono::seconds(1);
  Planner planner;
  planner.name =
    aGoal == PlacementGoal::Churn ? "balanced, churn" : "balanced, unavailable";
  planner.membershipChanged = [](const Fleet&) {};
  planner.beginTick = [state](const Fleet& aFleet) {
    for (uint32_t group = 0; group < 2; ++group) {
      state->summaries.at(group) =
        Summarise(ViewOf(aFleet, group), state->settings);
    }
  };
  planner.plan = [state](const Fleet& aFleet, int aServer) {
    const auto& summary = state->summaries.at(aFleet.GroupOf(aServer));
    const ServerStanding* self = summary.Find(IdOf(aServer));
    std::vector<PartitionView> own;
    for (uint32_t index : aFleet.owned[aServer]) {
      PartitionView partition;
      partition.id = { "agenda", index };
      partition.owner = IdOf(aServer);
      partition.load = aFleet.SeenLoad(index);
      partition.ownedFor =
        Seconds(aFleet.now - aFleet.partitions[index].ownedSince);
      own.push_back(partition);
    }
    std::vector<const PartitionView*> pointers;
    pointers.reserve(own.size());
    for (const auto& partition : own) {
      pointers.push_back(&partition);
    }
    return ToModel(GiveAway(
      Time(Seconds(aFleet.now)), summary, state->settings, *self, pointers));
  };
  planner.assign = [state](const Fleet&,
                           const std::vector<uint32_t>& aPartitions,
                           bool aSole) {
    std::vector<PartitionView> unowned;
    for (uint32_t index : aPartitions) {
      PartitionView partition;
      partition.id = { "agenda", index };
      unowned.push_back(partition);
    }
    std::vector<const PartitionView*> pointers;
    pointers.reserve(unowned.size());
    for (const auto& partition : unowned) {
      pointers.push_back(&partition);
    }
    const auto& summary = state->summaries[0];
    return ToModel(aSole ? ChooseSuccessors(summary, pointers)
                         : ChooseClaims(summary, pointers));
  };
  return planner;
}

Planner
RendezvousPlanner()
{
  auto known = std::make_shared<size_t>(0);
  return TargetPlanner(
    "rendezvous", [known](const Fleet& aFleet, std::vector<int>& aTargets) {
      FollowScores(aFleet, aTargets, *known);
    });
}

Planner
BoundedLoadsPlanner()
{
  return TargetPlanner("bounded loads", WalkRing);
}

Planner
GreedyPlanner()
{
  auto state = std::make_shared<GreedyState>();
  Planner planner;
  planner.name = "greedy";
  planner.membershipChanged = [](const Fleet&) {};
  planner.beginTick = [state](const Fleet& aFleet) {
    SortByLoad(aFleet, *state);
  };
  planner.plan = [state](const Fleet& aFleet, int aServer) {
    return GreedyMoves(aFleet, *state, aServer);
  };
  planner.assign =
    [state](const Fleet&, const std::vector<uint32_t>& aPartitions, bool) {
      std::vector<ModelMove> moves;
      const auto& order = state->byLoad[0];
      for (size_t index = 0; index < aPartitions.size(); ++index) {
        moves.push_back({ aPartitions[index], order[index % order.size()] });
      }
      return moves;
    };
  return planner;
}

} // namespace fescuetiller
