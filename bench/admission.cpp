// Compares the daemon's admission policy with baselines: the worth of the
// requests that a backend server completes under load, depending on which
// requests run, wait or are refused. Runs in simulated time.

#include <cstdio>

#include "admission/serverload.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kSlots = 6;
constexpr Duration kSimulatedTime = seconds(30);
constexpr uint64_t kSeeds = 5;

/** Creates classes of lookups, bookings, downloads and logs, similar to those
 * of a booking system. At a load of 1 they take all slots of the server. */
std::vector<LoadClass>
MakeBookingClasses(double aLoad)
{
  std::vector<LoadClass> classes = {
    { "booking",
      1,
      milliseconds(60),
      0,
      milliseconds(250),
      seconds(2),
      2,
      0.6 },
    { "lookup", 2, milliseconds(45), 1, milliseconds(200), milliseconds(1500) },
    { "log", 0.5, milliseconds(40), 2, milliseconds(300), milliseconds(1200) },
    { "download", 0.7, milliseconds(75), 3, milliseconds(500), seconds(2) },
  };
  double work = 0;
  for (const auto& each : classes) {
    work += each.perSecond * std::chrono::duration<double>(each.time).count();
  }
  for (auto& each : classes) {
    each.perSecond *= aLoad * kSlots / work;
  }
  return classes;
}

struct Scenario
{
  const char* name;
  double load;                   ///< Offered load; 1 takes all slots.
  std::vector<LoadEvent> events; ///< Changes of the load over time.
};

const std::vector<Scenario>&
Scenarios()
{
  static const std::vector<Scenario> kScenarios = {
    { "steady 80%", 0.8, {} },
    { "steady 100%", 1.0, {} },
    { "steady 150%", 1.5, {} },
    { "steady 300%", 3.0, {} },
    { "80%, bursts of 4x for 2 s",
      0.8,
      { { seconds(5), seconds(7), 4, 1 },
        { seconds(18), seconds(20), 4, 1 } } },
    { "80%, work takes 4x as long for 6 s",
      0.8,
      { { seconds(8), seconds(14), 1, 4 } } },
    { "70%, cold for 8 s, then 3x traffic",
      0.7,
      { { seconds(0), seconds(8), 1, 3 },
        { seconds(12), seconds(18), 3, 1 } } },
  };
  return kScenarios;
}

/** Results of one policy in one scenario, over all seeds. */
struct Row
{
  double earnedShare = 0; ///< Worth of all classes together; mean over seeds.
  double worstClass = 0;  ///< Worth of the worst class; mean over seeds.
  double heldMs = 0;      ///< Longest wait of a request before its refusal.
};

Row
Measure(SlotPolicy (*aPolicy)(uint32_t), const Scenario& aScenario)
{
  auto classes = MakeBookingClasses(aScenario.load);
  Row row;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto results = SimulateLoad(
      aPolicy(kSlots), classes, aScenario.events, kSimulatedTime, seed);
    double worst = 1;
    for (const auto& [name, result] : results) {
      worst = std::min(worst, result.earnedShare);
      row.heldMs = std::max(
        row.heldMs,
        static_cast<double>(ToMilliseconds(result.longestRefusedWait)));
    }
    row.earnedShare += EarnedShare(results, classes) / kSeeds;
    row.worstClass += worst / kSeeds;
  }
  return row;
}

} // namespace

int
main()
{
  std::printf("%-36s %-20s %7s %12s %16s\n",
              "load",
              "policy",
              "worth",
              "worst class",
              "held, refused ms");
  for (const auto& scenario : Scenarios()) {
    for (auto policy : { SlotQueuePolicy,
                         FifoPolicy,
                         StrictPriorityPolicy,
                         EarliestDeadlinePolicy }) {
      auto row = Measure(policy, scenario);
      std::printf("%-36s %-20s %7.3f %12.3f %16.0f\n",
                  scenario.name,
                  policy(kSlots).name.c_str(),
                  row.earnedShare,
                  row.worstClass,
                  row.heldMs);
    }
  }
  return 0;
}
