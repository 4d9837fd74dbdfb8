#include <catch2/catch.hpp>

#include "admission/serverload.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kSlots = 6;
constexpr Duration kSimulatedTime = seconds(30);

/** Four classes of different priority that need all slots at a load of 1. */
std::vector<LoadClass>
Classes(double aLoad)
{
  constexpr double kPerSecond = kSlots / 0.05 / 4;
  std::vector<LoadClass> classes;
  for (const char* name : { "booking", "lookup", "log", "download" }) {
    LoadClass each;
    each.name = name;
    each.perSecond = kPerSecond * aLoad;
    each.time = milliseconds(50);
    each.priority = static_cast<uint32_t>(classes.size());
    each.target = milliseconds(250);
    each.deadline = milliseconds(1500);
    classes.push_back(each);
  }
  return classes;
}

double
Served(const std::map<std::string, LoadResult>& aResults)
{
  int served = 0;
  int offered = 0;
  for (const auto& [name, result] : aResults) {
    served += result.inTime + result.late;
    offered += result.offered;
  }
  return static_cast<double>(served) / offered;
}

double
Served(const LoadResult& aResult)
{
  return static_cast<double>(aResult.inTime + aResult.late) / aResult.offered;
}

} // namespace

SCENARIO("No class is starved under overload", "[load]")
{
  // With priorities alone, the least urgent classes get almost no slots while
  // more urgent ones need all of them.
  for (double load : { 1.5, 2.0, 3.0, 5.0 }) {
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      auto results = SimulateLoad(
        SlotQueuePolicy(kSlots), Classes(load), {}, kSimulatedTime, seed);
      INFO("load " << load << ", seed " << seed);
      for (const auto& [name, result] : results) {
        INFO(name << " " << Served(result) << " of all " << Served(results));
        CHECK(Served(result) >= Served(results) / 4);
      }
      // No class is served less often than a less urgent one.
      constexpr double kTolerance = 0.05;
      CHECK(Served(results["booking"]) >=
            Served(results["lookup"]) - kTolerance);
      CHECK(Served(results["lookup"]) >= Served(results["log"]) - kTolerance);
      CHECK(Served(results["log"]) >= Served(results["download"]) - kTolerance);
    }
  }
}

SCENARIO(
  "The slot queue earns at least as much under overload as simpler queues",
  "[load]")
{
  const std::vector<LoadEvent> kBurst = { { seconds(5), seconds(7), 4, 1 } };
  const std::vector<LoadEvent> kSlow = { { seconds(8), seconds(14), 1, 4 } };
  for (const auto& [load, events] : { std::pair(1.5, std::vector<LoadEvent>()),
                                      std::pair(3.0, std::vector<LoadEvent>()),
                                      std::pair(0.8, kBurst),
                                      std::pair(0.8, kSlow) }) {
    auto classes = Classes(load);
    auto earned = [&, &events = events](const SlotPolicy& aPolicy) {
      return EarnedShare(
        SimulateLoad(aPolicy, classes, events, kSimulatedTime, 7), classes);
    };
    double own = earned(SlotQueuePolicy(kSlots));
    INFO("load " << load << ", events " << events.size() << ", own " << own);
    CHECK(own >= earned(FifoPolicy(kSlots)));
    CHECK(own >= earned(EarliestDeadlinePolicy(kSlots)));
  }
}

// Guards against an admission that serves refused clients late instead of
// others in time.
SCENARIO("Under lasting overload, clients that come back do not displace those "
         "that can still be answered in time",
         "[load][clientretries]")
{
  for (double load : { 1.5, 2.0, 3.0 }) {
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      auto classes = Classes(load);
      auto simulate = [&](RetryTarget aTarget) {
        return SimulateLoad(
          SlotQueuePolicy(kSlots), classes, {}, kSimulatedTime, seed, aTarget);
      };
      auto recognized = simulate(RetryTarget::Recognized);
      auto known = simulate(RetryTarget::FirstAttempt);
      auto anew = simulate(RetryTarget::EachAttempt);
      INFO("load " << load << ", seed " << seed);
      INFO("recognized " << EarnedShare(recognized, classes) << ", known "
                         << EarnedShare(known, classes) << ", anew "
                         << EarnedShare(anew, classes));
      // Clients that request the same may be taken for each other.
      constexpr double kTolerance = 0.03;
      CHECK(EarnedShare(recognized, classes) >
            EarnedShare(known, classes) - kTolerance);
      CHECK(EarnedShare(recognized, classes) > EarnedShare(anew, classes));
    }
  }
}
