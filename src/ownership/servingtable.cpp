#include "ownership/servingtable.h"

namespace fescuetiller {

void
ServingTable::Publish(const Serving& aServing)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->incarnation = aServing.incarnation;
  this->leaseUntil = aServing.leaseUntil;
  this->entries.clear();
  for (const auto& owned : aServing.partitions) {
    this->entries[owned.partition] = { owned.epoch, owned.admitting };
  }
}

bool
ServingTable::ServesLocked(Time aNow, const PartitionId& aPartition) const
{
  auto entry = this->entries.find(aPartition);
  return entry != this->entries.end() && entry->second.admitting &&
         aNow < this->leaseUntil;
}

bool
ServingTable::Serves(Time aNow, const PartitionId& aPartition) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->ServesLocked(aNow, aPartition);
}

std::optional<Fence>
ServingTable::Begin(Time aNow, const PartitionId& aPartition)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->ServesLocked(aNow, aPartition)) {
    return std::nullopt;
  }
  ++this->running[aPartition];
  Epoch epoch = this->entries.at(aPartition).epoch;
  return Fence{ aPartition, this->incarnation, epoch, this->leaseUntil };
}

void
ServingTable::End(const PartitionId& aPartition)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto count = this->running.find(aPartition);
  if (--count->second == 0) {
    this->running.erase(count);
  }
}

std::vector<PartitionId>
ServingTable::Idle() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<PartitionId> idle;
  for (const auto& [partition, entry] : this->entries) {
    if (!entry.admitting && this->running.count(partition) == 0) {
      idle.push_back(partition);
    }
  }
  return idle;
}

std::map<PartitionId, size_t>
ServingTable::RunningByPartition() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::map<PartitionId, size_t> counts = this->running;
  for (const auto& [partition, entry] : this->entries) {
    counts.emplace(partition, 0);
  }
  return counts;
}

size_t
ServingTable::Running() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  size_t total = 0;
  for (const auto& [partition, count] : this->running) {
    total += count;
  }
  return total;
}

} // namespace fescuetiller
