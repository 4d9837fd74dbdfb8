#include <benchmark/benchmark.h>

#include <algorithm>
#include <cmath>
#include <malloc.h>
#include <random>
#include <set>

#include "placement/placement.h"

namespace {

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

constexpr uint32_t kKeys = 846000;    ///< Of one daemon among 13,000.
constexpr uint32_t kRequests = 12300; ///< A second, of one daemon.
constexpr uint32_t kDecaySeconds = 10;
constexpr double kDecay = 0.5;
constexpr size_t kWatched = 16;

/** Keys of one daemon by Zipf's law; the hottest change on demand. */
class KeyStream
{
public:
  KeyStream()
  {
    double sum = 0;
    for (uint32_t rank = 1; rank <= kKeys; ++rank) {
      sum += std::pow(rank, -0.9);
      this->bounds.push_back(sum);
    }
  }

  void ChangeHottest() { ++this->epoch; }

  std::string NameOf(size_t aRank) const
  {
    uint64_t generation = aRank < 340 ? this->epoch : 0;
    return "visit-" + ToHex(HashKey(std::to_string(aRank), generation));
  }

  std::string Next()
  {
    std::uniform_real_distribution<double> any(0, this->bounds.back());
    auto bound = std::lower_bound(
      this->bounds.begin(), this->bounds.end(), any(this->random));
    return this->NameOf(static_cast<size_t>(bound - this->bounds.begin()));
  }

  double ShareOf(size_t aRank) const
  {
    return std::pow(static_cast<double>(aRank + 1), -0.9) / this->bounds.back();
  }

private:
  std::mt19937_64 random{ 1 };
  std::vector<double> bounds;
  uint64_t epoch = 0;
};

void
Feed(HotKeys& aKeys, KeyStream& aStream, uint32_t aSeconds)
{
  for (uint32_t second = 1; second <= aSeconds; ++second) {
    for (uint32_t request = 0; request < kRequests; ++request) {
      aKeys.Record(aStream.Next());
    }
    if (second % kDecaySeconds == 0) {
      aKeys.Decay(kDecay);
    }
  }
}

/** Share of the true hottest keys among as many that the sketch names. */
double
Recall(const HotKeys& aKeys, const KeyStream& aStream)
{
  std::set<std::string> named;
  for (const auto& hot : aKeys.Top(kWatched)) {
    named.insert(hot.key);
  }
  double found = 0;
  for (size_t rank = 0; rank < kWatched; ++rank) {
    found += static_cast<double>(named.count(aStream.NameOf(rank)));
  }
  return found / kWatched;
}

/** Mean relative error of the sure weights of the true hottest keys. */
double
Error(const HotKeys& aKeys, const KeyStream& aStream)
{
  auto held = aKeys.Top(1U << 20U);
  double sum = 0;
  for (size_t rank = 0; rank < kWatched; ++rank) {
    double sure = 0;
    for (const auto& hot : held) {
      if (hot.key == aStream.NameOf(rank)) {
        sure = (hot.weight - hot.error) / aKeys.Total();
      }
    }
    sum += std::abs(sure / aStream.ShareOf(rank) - 1);
  }
  return sum / kWatched;
}

/** Recall of the 16 hottest keys, a minute on and 1, 5, 10, 30 s after all of
 * the 340 hottest changed. */
void
RecallOfHottest(benchmark::State& aState)
{
  for (auto unused : aState) {
    (void)unused;
    KeyStream stream;
    HotKeys keys(static_cast<size_t>(aState.range(0)));
    Feed(keys, stream, 60);
    aState.counters["before"] = Recall(keys, stream);
    aState.counters["error"] = Error(keys, stream);
    stream.ChangeHottest();
    Feed(keys, stream, 1);
    aState.counters["after_1s"] = Recall(keys, stream);
    Feed(keys, stream, 4);
    aState.counters["after_5s"] = Recall(keys, stream);
    Feed(keys, stream, 5);
    aState.counters["after_10s"] = Recall(keys, stream);
    Feed(keys, stream, 20);
    aState.counters["after_30s"] = Recall(keys, stream);
    aState.counters["error_30s"] = Error(keys, stream);
  }
}
BENCHMARK(RecallOfHottest)
  ->Arg(64)
  ->Arg(256)
  ->Arg(1024)
  ->Arg(4096)
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

/** Time of one record and memory of a full sketch. */
void
RecordKey(benchmark::State& aState)
{
  KeyStream stream;
  std::vector<std::string> names;
  for (uint32_t index = 0; index < 200000; ++index) {
    names.push_back(stream.Next());
  }
  auto info = mallinfo2();
  size_t before = info.uordblks + info.hblkhd;
  HotKeys keys(static_cast<size_t>(aState.range(0)));
  for (const auto& name : names) {
    keys.Record(name);
  }
  info = mallinfo2();
  aState.counters["bytes"] =
    static_cast<double>(info.uordblks + info.hblkhd - before);
  size_t next = 0;
  for (auto unused : aState) {
    (void)unused;
    keys.Record(names[next++ % names.size()]);
  }
}
BENCHMARK(RecordKey)->Arg(64)->Arg(256)->Arg(1024)->Arg(4096);

} // namespace

BENCHMARK_MAIN();
