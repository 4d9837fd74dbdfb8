#include "ownership/movetable.h"

namespace fescuetiller {

bool
MoveTable::Start(const Move& aMove, size_t aLimit)
{
  if (this->entries.size() >= aLimit) {
    return false;
  }
  this->entries.emplace(aMove.partition, Entry{ aMove, "" });
  return true;
}

bool
MoveTable::Contains(const PartitionId& aPartition) const
{
  return this->entries.count(aPartition) != 0;
}

bool
MoveTable::Empty() const
{
  return this->entries.empty();
}

std::vector<Move>
MoveTable::Waiting() const
{
  std::vector<Move> waiting;
  for (const auto& [partition, entry] : this->entries) {
    if (entry.writeId.empty()) {
      waiting.push_back(entry.move);
    }
  }
  return waiting;
}

std::vector<std::string>
MoveTable::Writing() const
{
  std::vector<std::string> writing;
  for (const auto& [partition, entry] : this->entries) {
    if (!entry.writeId.empty()) {
      writing.push_back(entry.writeId);
    }
  }
  return writing;
}

bool
MoveTable::BeginWrite(const PartitionId& aPartition,
                      const std::string& aWriteId)
{
  auto found = this->entries.find(aPartition);
  if (found == this->entries.end() || !found->second.writeId.empty()) {
    return false;
  }
  found->second.writeId = aWriteId;
  return true;
}

void
MoveTable::Finish(const PartitionId& aPartition)
{
  this->entries.erase(aPartition);
}

void
MoveTable::CancelWaiting()
{
  for (const auto& move : this->Waiting()) {
    this->entries.erase(move.partition);
  }
}

void
MoveTable::CancelWithoutTarget(const ClusterTable& aTable)
{
  for (const auto& move : this->Waiting()) {
    const Member* target = aTable.FindMember(move.to);
    bool takes = target != nullptr && target->state == MemberState::Active;
    if (move.to != kNoIncarnation && !takes) {
      this->entries.erase(move.partition);
    }
  }
}

void
MoveTable::Clear()
{
  this->entries.clear();
}

} // namespace fescuetiller
