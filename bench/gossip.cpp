#include <algorithm>

#include <benchmark/benchmark.h>

#include "gossip/gossip.h"

namespace {

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

constexpr Duration kStep = std::chrono::milliseconds(100);
constexpr size_t kRowBytes = 90; ///< About that of a class target.

/** Many gossip systems on one manual clock. */
class Swarm
{
public:
  Swarm(size_t aCount, uint32_t aLossPercent)
    : lossPercent(aLossPercent)
    , inboxes(aCount)
  {
    auto peers = std::make_shared<std::vector<std::string>>();
    for (size_t index = 0; index < aCount; ++index) {
      peers->push_back(std::to_string(index));
    }
    for (size_t index = 0; index < aCount; ++index) {
      this->systems.emplace_back(GossipSettings(),
                                 static_cast<uint32_t>(index + 1));
      this->systems.back().SetPeers(peers);
      this->systems.back().SetOwnLoad(index + 1, 1);
    }
  }

  void Change(RowVersion aVersion)
  {
    Row row{ { "class", "c" + std::to_string(aVersion % 100) },
             std::string(kRowBytes, 'x'),
             aVersion,
             false };
    this->systems[aVersion % this->systems.size()].Learn({ row });
  }

  void Step()
  {
    this->now += kStep;
    std::uniform_int_distribution<uint32_t> percent(0, 99);
    for (size_t index = 0; index < this->systems.size(); ++index) {
      auto received = std::exchange(this->inboxes[index], {});
      for (auto& sent :
           this->systems[index].Tick(this->now, received).messages) {
        if (percent(this->random) >= this->lossPercent) {
          this->inboxes[std::stoul(sent.to)].push_back(
            { std::to_string(index), std::move(sent.message) });
        }
      }
    }
  }

  bool AllKnow(RowVersion aVersion) const
  {
    RowKey key{ "class", "c" + std::to_string(aVersion % 100) };
    return std::all_of(
      this->systems.begin(), this->systems.end(), [&](const auto& aSystem) {
        const Row* row = aSystem.Rows().Find(key);
        return row != nullptr && row->version >= aVersion;
      });
  }

  double MeanBytesSent() const
  {
    double total = 0;
    for (const auto& system : this->systems) {
      total += static_cast<double>(system.Counters().bytesSent);
    }
    return total / static_cast<double>(this->systems.size());
  }

private:
  uint32_t lossPercent;
  Time now = FromBootNanoseconds(1);
  std::mt19937 random{ 5 };
  std::vector<GossipSystem> systems;
  std::vector<std::vector<GossipReceived>> inboxes;
};

/**
 * Simulated seconds until every daemon holds a changed row, while other rows
 * change at the rate of a busy day (36,000 changes), and bytes a daemon sends.
 */
void
Spread(benchmark::State& aState)
{
  constexpr int kChanges = 20;
  constexpr int kStepsBetween = 24; // 2.4 s, 36,000 a day
  constexpr int kMaxSteps = 6000;
  for (auto unused : aState) {
    (void)unused;
    Swarm swarm(static_cast<size_t>(aState.range(0)),
                static_cast<uint32_t>(aState.range(1)));
    std::vector<int> steps;
    std::map<RowVersion, int> open;
    for (int step = 0; step < kMaxSteps; ++step) {
      RowVersion version = static_cast<uint32_t>(step / kStepsBetween) + 1;
      if (step % kStepsBetween == 0 && version <= kChanges) {
        swarm.Change(version);
        open[version] = step;
      }
      swarm.Step();
      for (auto change = open.begin(); change != open.end();) {
        if (swarm.AllKnow(change->first)) {
          steps.push_back(step - change->second);
          change = open.erase(change);
        } else {
          ++change;
        }
      }
      if (open.empty() && version >= kChanges) {
        aState.counters["bytes_per_s"] =
          swarm.MeanBytesSent() / (0.1 * (step + 1));
        break;
      }
    }
    std::sort(steps.begin(), steps.end());
    aState.counters["unfinished"] = static_cast<double>(open.size());
    aState.counters["median_s"] = 0.1 * steps[steps.size() / 2];
    aState.counters["longest_s"] = 0.1 * steps.back();
  }
}

BENCHMARK(Spread)
  ->ArgNames({ "daemons", "loss_percent" })
  ->Args({ 11, 0 })
  ->Args({ 100, 0 })
  ->Args({ 1000, 0 })
  ->Args({ 1000, 10 })
  ->Args({ 13000, 0 })
  ->Args({ 13000, 1 })
  ->Iterations(1)
  ->Unit(benchmark::kSecond);

} // namespace

BENCHMARK_MAIN();
