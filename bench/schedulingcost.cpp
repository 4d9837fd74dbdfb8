#include <benchmark/benchmark.h>

#include "scheduling/scheduling.h"

namespace {

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

/** Cost of one request's offer and end against the number of classes. */
void
OfferAndFinish(benchmark::State& aState)
{
  Scheduler scheduler(9);
  std::vector<ClassTarget> targets;
  for (int64_t index = 0; index < aState.range(0); ++index) {
    ClassTarget target;
    target.service = "clearance-desk";
    target.name = "class-" + std::to_string(index);
    target.latency = std::chrono::milliseconds(100 * (index + 1));
    targets.push_back(target);
  }
  scheduler.SetTargets(targets);
  Time now = FromBootNanoseconds(1);
  uint64_t id = 0;
  for (auto unused : aState) {
    (void)unused;
    now += std::chrono::microseconds(80);
    ++id;
    benchmark::DoNotOptimize(
      scheduler.Offer(now,
                      { id,
                        "clearance-desk",
                        targets[id % targets.size()].name,
                        std::to_string(id % 1000),
                        now,
                        now + std::chrono::seconds(1) }));
    benchmark::DoNotOptimize(scheduler.Finished(now, id > 40 ? id - 40 : 0));
  }
}

BENCHMARK(OfferAndFinish)->Arg(2)->Arg(5)->Arg(20);

} // namespace

BENCHMARK_MAIN();
