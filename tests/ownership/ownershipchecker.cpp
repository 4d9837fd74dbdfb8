#include "ownershipchecker.h"

#include <algorithm>

namespace fescuetiller {

namespace {

constexpr Duration kLeavingGrace = std::chrono::seconds(3);

} // namespace

void
OwnershipChecker::Breach(Time aNow,
                         const PartitionId& aPartition,
                         const std::string& aIs)
{
  int64_t at = ToMilliseconds(aNow.time_since_epoch());
  this->breaches.push_back(std::to_string(at) + " ms " + ToString(aPartition) +
                           ": " + aIs);
}

void
OwnershipChecker::Served(Time aNow,
                         const PartitionId& aPartition,
                         const std::vector<size_t>& aNodes,
                         bool aAnswers)
{
  if (aNodes.size() > 1) {
    this->Breach(aNow,
                 aPartition,
                 "served by node " + std::to_string(aNodes[0]) + " and node " +
                   std::to_string(aNodes[1]));
  }
  if (!aAnswers) {
    return;
  }
  History& history = this->partitions[aPartition];
  history.gaps.push_back({ history.lastServed, aNow });
  history.lastServed = aNow;
}

void
OwnershipChecker::Started(Time aNow, size_t aNode, const Fence& aFence)
{
  History& history = this->partitions[aFence.partition];
  ++this->runs;
  if (aFence.epoch < history.newest) {
    this->Breach(aNow, aFence.partition, "started under an older epoch");
    return;
  }
  bool newOwner = aFence.epoch > history.newest;
  if (!newOwner && aFence.incarnation != history.holder) {
    this->Breach(aNow, aFence.partition, "two holders of one epoch");
  }
  auto left = this->leaving.find(aNode);
  bool late =
    left != this->leaving.end() && aNow - left->second > kLeavingGrace;
  if (newOwner && late) {
    this->Breach(aNow, aFence.partition, "given to a leaving server");
  }
  history.newest = aFence.epoch;
  history.holder = aFence.incarnation;
}

void
OwnershipChecker::Committed(Time aNow, const Fence& aFence)
{
  if (aFence.epoch < this->partitions[aFence.partition].newest) {
    this->Breach(
      aNow, aFence.partition, "committed after a newer epoch started");
  }
}

void
OwnershipChecker::Cut(Time /*aNow*/, size_t /*aNode*/, const Fence& /*aFence*/)
{
  ++this->cuts;
}

void
OwnershipChecker::Acknowledged(const Transaction& aChange)
{
  for (const auto& row : aChange.changes) {
    if (row.key.table != kAssignmentTable) {
      continue;
    }
    auto assignment = ParseAssignment(row);
    History& history = this->partitions[assignment->partition];
    if (assignment->epoch > history.acknowledged) {
      history.acknowledged = assignment->epoch;
      history.acknowledgedOwner = assignment->owner;
    }
  }
}

void
OwnershipChecker::Leaving(Time aNow, size_t aNode)
{
  this->leaving.emplace(aNode, aNow);
}

void
OwnershipChecker::Returned(size_t aNode)
{
  this->leaving.erase(aNode);
}

void
OwnershipChecker::CompareWith(const std::vector<Row>& aRows)
{
  for (const auto& row : aRows) {
    auto kept = ParseAssignment(row);
    if (!kept) {
      continue;
    }
    const History& history = this->partitions[kept->partition];
    bool same = kept->epoch == history.acknowledged &&
                kept->owner == history.acknowledgedOwner;
    if (kept->epoch <= history.acknowledged && !same) {
      this->Breach({}, kept->partition, "acknowledged assignment was lost");
    }
  }
}

const std::vector<std::string>&
OwnershipChecker::Breaches() const
{
  return this->breaches;
}

Duration
OwnershipChecker::LongestGap(Time aFrom) const
{
  Duration longest(0);
  for (const auto& [partition, history] : this->partitions) {
    for (const auto& [from, to] : history.gaps) {
      if (to >= aFrom) {
        longest = std::max(longest, to - std::max(from, aFrom));
      }
    }
  }
  return longest;
}

size_t
OwnershipChecker::CutCount() const
{
  return this->cuts;
}

size_t
OwnershipChecker::RunCount() const
{
  return this->runs;
}

} // namespace fescuetiller
