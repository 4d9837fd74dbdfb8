#include <catch2/catch.hpp>

#include "faultycluster.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kFaultsFrom = milliseconds(3500);

/**
 * A run that passes through every step: four nodes start, a fifth joins, one
 * is drained and returns, one stops, one is lost.
 */
void
RunLife(FaultyCluster& aCluster, Step aStep, const std::function<void()>& aArm)
{
  // Only a cluster that starts has partitions that nobody owns.
  bool atStart = aStep == Step::Claim;
  if (atStart) {
    aArm();
  }
  for (size_t node = 0; node < 4; ++node) {
    aCluster.StartNode(node);
  }
  aCluster.Run(kFaultsFrom);
  if (!atStart) {
    aArm();
  }
  aCluster.StartNode(4);
  aCluster.Run(seconds(3));
  aCluster.Drain(2, true);
  aCluster.Run(seconds(3));
  aCluster.Drain(2, false);
  aCluster.Run(seconds(3));
  aCluster.Stop(0);
  aCluster.Run(seconds(3));
  aCluster.LoseNode(1, true);
  aCluster.Run(seconds(8));
  aCluster.CompareWithStore();
}

std::string
FirstBreach(FaultyCluster& aCluster)
{
  const auto& breaches = aCluster.Checker().Breaches();
  return breaches.empty() ? "" : breaches.front();
}

void
CheckEnd(FaultyCluster& aCluster)
{
  if (aCluster.ServedCount() < FaultyCluster::kPartitions) {
    aCluster.DeclareLost();
    aCluster.Run(seconds(4));
  }
  CHECK(aCluster.Struck());
  CHECK(FirstBreach(aCluster) == "");
  CHECK(aCluster.Checker().RunCount() > 1000);
  CHECK(aCluster.ServedCount() == FaultyCluster::kPartitions);
}

} // namespace

TEST_CASE("Every fault at every step", "[matrix][slow]")
{
  for (bool checksGrant : { true, false }) {
    for (size_t step = 0; step < CountOf<Step>(); ++step) {
      for (size_t fault = 0; fault < CountOf<Fault>(); ++fault) {
        Step atStep = static_cast<Step>(step);
        Fault strikes = static_cast<Fault>(fault);
        ClusterOptions options;
        options.checksGrant = checksGrant;
        options.seed = static_cast<uint32_t>(step * 100 + fault);
        FaultyCluster cluster(options);
        RunLife(cluster, atStep, [&] { cluster.Arm(atStep, strikes); });
        INFO(ToString(strikes)
             << " at " << ToString(atStep)
             << ", backend servers check grants: " << checksGrant);
        CheckEnd(cluster);
      }
    }
  }
}

TEST_CASE("Two faults", "[matrix][slow]")
{
  for (size_t first = 0; first < CountOf<Fault>(); ++first) {
    for (size_t second = 0; second < CountOf<Fault>(); ++second) {
      for (Step step : { Step::Renew, Step::Move, Step::TakeOver }) {
        ClusterOptions options;
        options.seed = static_cast<uint32_t>(first * 100 + second);
        FaultyCluster cluster(options);
        RunLife(cluster, step, [&] {
          cluster.Arm(step, static_cast<Fault>(first));
          cluster.ArmSecond(static_cast<Fault>(second), milliseconds(300));
        });
        INFO(ToString(static_cast<Fault>(first))
             << " at " << ToString(step) << ", then "
             << ToString(static_cast<Fault>(second)) << " at its grantor");
        CheckEnd(cluster);
      }
    }
  }
}

TEST_CASE("The same fault twice", "[matrix][slow]")
{
  for (size_t fault = 0; fault < CountOf<Fault>(); ++fault) {
    for (size_t step = 0; step < CountOf<Step>(); ++step) {
      ClusterOptions options;
      options.seed = static_cast<uint32_t>(fault);
      FaultyCluster cluster(options);
      Fault strikes = static_cast<Fault>(fault);
      RunLife(cluster, static_cast<Step>(step), [&] {
        cluster.Arm(static_cast<Step>(step), strikes);
        cluster.ArmAgain(strikes, seconds(2));
      });
      INFO(ToString(strikes)
           << " twice from " << ToString(static_cast<Step>(step)));
      CheckEnd(cluster);
    }
  }
}
