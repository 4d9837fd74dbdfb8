#include <catch2/catch.hpp>

#include "faultycluster.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/**
 * Searches pairs of faults at renewals and acknowledgements for a breach.
 * @return Description of the first one; empty when there is none.
 */
std::string
FindBreachWithDrift(ClusterOptions aOptions)
{
  for (size_t first = 0; first < CountOf<Fault>(); ++first) {
    for (size_t second = 0; second < CountOf<Fault>(); ++second) {
      for (Step step : { Step::Renew, Step::Acknowledge }) {
        aOptions.seed = static_cast<uint32_t>(first * 100 + second);
        FaultyCluster cluster(aOptions);
        for (size_t node = 0; node < aOptions.nodes; ++node) {
          cluster.StartNode(node);
        }
        cluster.Run(seconds(3));
        cluster.Arm(step, static_cast<Fault>(first));
        cluster.ArmSecond(static_cast<Fault>(second), milliseconds(300));
        cluster.ArmAgain(static_cast<Fault>(second), milliseconds(600));
        cluster.Run(seconds(6));
        const auto& breaches = cluster.Checker().Breaches();
        if (!breaches.empty()) {
          return std::string(ToString(static_cast<Fault>(first))) + " at " +
                 ToString(step) + ", then " +
                 ToString(static_cast<Fault>(second)) + ": " + breaches.front();
        }
      }
    }
  }
  return "";
}

/** Searches with the clocks of the even nodes fast, then with them slow. */
std::string
FindBreach(ClusterOptions aOptions)
{
  std::string breach = FindBreachWithDrift(aOptions);
  if (breach.empty()) {
    aOptions.drift = -aOptions.drift;
    breach = FindBreachWithDrift(aOptions);
  }
  return breach;
}

} // namespace

TEST_CASE("The checker finds broken rules", "[broken][slow]")
{
  ClusterOptions options;

  SECTION("all rules kept: no breach")
  {
    CHECK(FindBreach(options) == "");
    options.checksGrant = false;
    CHECK(FindBreach(options) == "");
  }
  SECTION("no margin for clocks that drift apart")
  {
    options.lease.driftMargin = Duration(0);
    std::string breach = FindBreach(options);
    INFO(breach);
    CHECK(breach != "");
  }
  SECTION("a grantor acknowledges without holding a lease itself")
  {
    options.lease.rules.acknowledges = [](bool) { return true; };
    std::string breach = FindBreach(options);
    INFO(breach);
    CHECK(breach != "");
  }
  SECTION("the lease counts from the acknowledgement")
  {
    options.lease.rules.leaseStart = [](Time, Time aAcked) { return aAcked; };
    std::string breach = FindBreach(options);
    INFO(breach);
    CHECK(breach != "");
  }
  SECTION("the old grantor counts while another one is being named")
  {
    options.lease.rules.oldGrantorCounts = [] { return true; };
    std::string breach = FindBreach(options);
    INFO(breach);
    CHECK(breach != "");
  }
  SECTION("dispatches without a fence")
  {
    options.checksGrant = false;
    options.checksDeadline = false;
    std::string breach = FindBreach(options);
    INFO(breach);
    CHECK(breach != "");
  }
}
