#include "fescuetillerd/loadmeter.h"

#include <cmath>

namespace fescuetiller {

namespace {

/** Time in which the weight of a sample falls to 1/e. */
constexpr std::chrono::duration<double> kSmoothing = std::chrono::seconds(3);

} // namespace

void
LoadMeter::Sample(Time aNow, const std::map<PartitionId, size_t>& aRunning)
{
  std::chrono::duration<double> passed = aNow - this->lastSample;
  double keep = std::exp(-passed.count() / kSmoothing.count());
  std::map<PartitionId, double> next;
  for (const auto& [partition, count] : aRunning) {
    auto known = this->busy.find(partition);
    double before = known == this->busy.end() ? 0 : known->second;
    next[partition] = before * keep + static_cast<double>(count) * (1 - keep);
  }
  this->busy = std::move(next);
  this->lastSample = aNow;
}

const std::map<PartitionId, double>&
LoadMeter::Partitions() const
{
  return this->busy;
}

double
LoadMeter::Total() const
{
  double total = 0;
  for (const auto& [partition, load] : this->busy) {
    total += load;
  }
  return total;
}

} // namespace fescuetiller
