#include <benchmark/benchmark.h>

#include "ownership/ownership.h"

namespace {

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

/** Cost of one idle tick against the number of members known. */
void
IdleTick(benchmark::State& aState)
{
  OwnershipSettings settings;
  settings.partitions = { { "agenda", 64 } };
  OwnershipSystem system(
    settings, RendezvousPlacement, [] { return Incarnation(1); });
  std::vector<Row> rows;
  for (int64_t index = 0; index < aState.range(0); ++index) {
    Member member;
    member.incarnation = static_cast<Incarnation>(index + 2);
    member.service = "agenda";
    member.version = 1;
    rows.push_back(ToRow(member));
  }
  Time now;
  system.Tick(now, { RowsLearned{ rows } });
  for (auto unused : aState) {
    (void)unused;
    now += std::chrono::milliseconds(10);
    benchmark::DoNotOptimize(system.Tick(now, {}));
  }
}

BENCHMARK(IdleTick)->Arg(10)->Arg(100)->Arg(1000)->Arg(13000);

} // namespace

BENCHMARK_MAIN();
