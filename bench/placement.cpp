#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <string>

#include "placementplanners.h"

namespace {

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

constexpr std::array<uint32_t, 5> kSizes = { 8, 12, 128, 1024, 13000 };
constexpr uint32_t kSmallFleet = 128;
constexpr uint64_t kSeedsOfSmallFleets = 5;

std::vector<Planner>
Planners()
{
  return { BalancedPlanner(PlacementGoal::UnavailableTime),
           BalancedPlanner(PlacementGoal::Churn),
           RendezvousPlanner(),
           BoundedLoadsPlanner(),
           GreedyPlanner() };
}

Figures
RunSeeds(uint32_t aServers, Scenario aScenario, size_t aPlanner)
{
  uint64_t seeds = aServers <= kSmallFleet ? kSeedsOfSmallFleets : 1;
  Figures sum;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    Planner planner = Planners().at(aPlanner);
    Figures figures = Fleet(aServers, aScenario, seed).Run(planner);
    auto share = 1.0 / static_cast<double>(seeds);
    sum.maxToMean += figures.maxToMean * share;
    sum.worstMaxToMean += figures.worstMaxToMean * share;
    sum.moved += figures.moved * share;
    sum.least += figures.least * share;
    sum.handedOver += figures.handedOver * share;
    sum.lost += figures.lost * share;
    sum.shed += figures.shed * share;
  }
  return sum;
}

/** The three measures, in the order in which a goal weighs them. */
std::array<double, 3>
MeasuresFor(PlacementGoal aGoal, const Figures& aFigures)
{
  double unavailable = aFigures.Unavailable();
  return aGoal == PlacementGoal::Churn
           ? std::array<double, 3>{ aFigures.moved,
                                    unavailable,
                                    aFigures.maxToMean }
           : std::array<double, 3>{ unavailable,
                                    aFigures.moved,
                                    aFigures.maxToMean };
}

/** Says whether a goal was reached against the best baseline of each measure.
 */
void
PrintGoal(PlacementGoal aGoal,
          const Figures& aOwn,
          const std::vector<Figures>& aBaselines)
{
  constexpr double kTolerance = 1.1;
  bool churn = aGoal == PlacementGoal::Churn;
  auto own = MeasuresFor(aGoal, aOwn);
  auto best = MeasuresFor(aGoal, aBaselines.front());
  for (const auto& baseline : aBaselines) {
    auto measures = MeasuresFor(aGoal, baseline);
    for (size_t index = 0; index < best.size(); ++index) {
      best.at(index) = std::min(best.at(index), measures.at(index));
    }
  }
  auto verdict = [](bool aReached) { return aReached ? "yes" : "no"; };
  std::printf("       goal %-12s %s lowest: %s, %s: %s, max/mean: %s\n",
              churn ? "churn" : "unavailable",
              churn ? "moved" : "unavailable",
              verdict(own[0] < best[0]),
              churn ? "unavailable" : "moved",
              verdict(own[1] <= kTolerance * best[1]),
              verdict(own[2] <= kTolerance * best[2]));
}

void
PrintScenario(uint32_t aServers, Scenario aScenario)
{
  auto planners = Planners();
  std::vector<Figures> all;
  for (size_t index = 0; index < planners.size(); ++index) {
    Figures figures = RunSeeds(aServers, aScenario, index);
    all.push_back(figures);
    std::printf(
      "%6u %-13s %-22s %7.2f %7.2f %9.1f %8.1f %10.1f %9.1f %9.1f %9.1f\n",
      aServers,
      ToString(aScenario),
      planners[index].name.c_str(),
      figures.maxToMean,
      figures.worstMaxToMean,
      figures.moved,
      figures.least,
      figures.Unavailable(),
      figures.handedOver,
      figures.lost,
      figures.shed);
    std::fflush(stdout);
  }
  std::vector<Figures> baselines(all.begin() + 2, all.end());
  PrintGoal(PlacementGoal::UnavailableTime, all[0], baselines);
  PrintGoal(PlacementGoal::Churn, all[1], baselines);
}

double
MicrosecondsOf(const std::function<void()>& aCall)
{
  constexpr int kCalls = 20;
  auto start = std::chrono::steady_clock::now();
  for (int call = 0; call < kCalls; ++call) {
    aCall();
  }
  std::chrono::duration<double, std::micro> passed =
    std::chrono::steady_clock::now() - start;
  return passed.count() / kCalls;
}

size_t
BytesInUse()
{
  return mallinfo2().uordblks + mallinfo2().hblkhd;
}

/** Time and memory of one daemon's whole decision on a whole view. */
void
PrintCost(uint32_t aServers)
{
  Fleet fleet(aServers, Scenario::HotSet, 1);
  fleet.Run(RendezvousPlanner());
  size_t before = BytesInUse();
  PlacementView view = ViewOf(fleet, 0);
  size_t viewBytes = BytesInUse() - before;
  view.self = view.servers.front().id;
  before = BytesInUse();
  FleetSummary summary = Summarise(view, {});
  size_t summaryBytes = BytesInUse() - before;
  PlacementPolicy policy = MakePlacement({});
  PlacementView own = view;
  own.partitions.clear();
  for (const auto& partition : view.partitions) {
    if (partition.owner == view.self) {
      own.partitions.push_back(partition);
    }
  }
  std::printf("%6u %10.1f %14.1f %12zu %14zu\n",
              aServers,
              MicrosecondsOf([&] { policy(view); }),
              MicrosecondsOf([&] { RendezvousPlacement(own); }),
              viewBytes,
              summaryBytes);
}

} // namespace

/** Arguments: the largest number of servers; all by default. */
int
main(int aCount, char** aArguments)
{
  auto largest = static_cast<uint32_t>(
    aCount > 1 ? std::strtoul(aArguments[1], nullptr, 10) : kSizes.back());
  std::printf("Placement, 240 s each, seeds 1 to 5 up to 128 servers, else 1.\n"
              "max/mean: mean over time and highest; unavailable: "
              "partition-seconds, in moves, after losses and by overload\n");
  std::printf("%6s %-13s %-22s %7s %7s %9s %8s %10s %9s %9s %9s\n",
              "server",
              "scenario",
              "policy",
              "max/mn",
              "worst",
              "moved",
              "least",
              "unavail",
              "moves",
              "losses",
              "overload");
  for (uint32_t servers : kSizes) {
    for (Scenario scenario : kScenarios) {
      if (servers <= largest) {
        PrintScenario(servers, scenario);
      }
    }
  }
  std::printf("\nOne daemon's decision: microseconds and bytes\n%6s %10s %14s "
              "%12s %14s\n",
              "server",
              "balanced",
              "rendezvous/own",
              "view bytes",
              "summary bytes");
  for (uint32_t servers : kSizes) {
    if (servers <= largest) {
      PrintCost(servers);
    }
  }
  return 0;
}
