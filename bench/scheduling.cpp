#include <cstdio>
#include <cstring>

#include "scheduling/simulation.h"
#include "schedulingpolicies.h"

namespace {

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

constexpr uint64_t kSeed = 5;
const double kLoads[] = { 0.5, 0.8, 1, 1.3, 2 };

struct Scenario
{
  const char* name;
  LoadShape shape;
  BackendFault fault;
};

const Scenario kScenarios[] = {
  { "steady", LoadShape::Steady, BackendFault::None },
  { "bursty", LoadShape::Bursty, BackendFault::None },
  { "hot-key", LoadShape::HotKey, BackendFault::None },
  { "frozen", LoadShape::Steady, BackendFault::Frozen },
  { "reports-idle", LoadShape::Steady, BackendFault::ReportsIdle },
  { "reports-full", LoadShape::Steady, BackendFault::ReportsFull },
  { "cold-join", LoadShape::Steady, BackendFault::ColdJoin },
};

double
Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

void
Print(const Scenario& aScenario,
      const SimulationSettings& aSettings,
      const SchedulingPolicy& aPolicy,
      const SimulationResult& aResult)
{
  for (const auto& result : aResult.classes) {
    double neighbours = result.neighbours == 0
                          ? 100
                          : 100.0 *
                              static_cast<double>(result.neighboursThrough) /
                              static_cast<double>(result.neighbours);
    std::printf("%-12s %-8s %3.0f%% %-14s %-14s %6.2f %6.2f %7.1f %7.1f %6.2f "
                "%2u %5.3f %s\n",
                aScenario.name,
                aSettings.service.name.c_str(),
                aSettings.load * 100,
                aPolicy.name.c_str(),
                result.name.c_str(),
                result.WithinShare() * 100,
                result.Share() * 100,
                Milliseconds(result.p99),
                Milliseconds(result.refusedAfter),
                neighbours,
                result.mostRunning,
                aResult.goodput,
                result.met ? "met" : "-");
  }
}

} // namespace

/** Prints one line for each scenario, load, policy and class. "--variants"
 * adds the variants of the target policy. */
int
main(int aCount, char** aArguments)
{
  std::vector<SchedulingPolicy> policies = BaselinePolicies();
  policies.push_back(MakeTargetPolicy());
  if (aCount > 1 && std::strcmp(aArguments[1], "--variants") == 0) {
    for (auto& variant : VariantPolicies()) {
      policies.push_back(variant);
    }
  }
  std::printf(
    "scenario     service  load policy         class          within%%"
    " through%% p99ms refusedms neighbours%% most goodput\n");
  for (const auto& scenario : kScenarios) {
    for (const auto& service : { Agenda(), Dossier(), Nordvik() }) {
      for (double load : kLoads) {
        SimulationSettings settings;
        settings.service = service;
        settings.shape = scenario.shape;
        settings.fault = scenario.fault;
        settings.load = load;
        settings.seed = kSeed;
        for (const auto& policy : policies) {
          Print(scenario, settings, policy, Simulate(settings, policy));
        }
      }
    }
  }
  return 0;
}
