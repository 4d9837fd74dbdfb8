#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "ownership/clustertable.h"
#include "placement/placement.h"

namespace fescuetiller {

/**
 * Partitions that this daemon hands over. Each stops admitting, waits until
 * none of its requests runs, and is then written; only before the write may
 * the move be given up.
 */
class MoveTable
{
public:
  /** @return False when aLimit moves are under way already. */
  bool Start(const Move& aMove, size_t aLimit);

  bool Contains(const PartitionId& aPartition) const;

  bool Empty() const;

  /** Moves that wait for their requests to end. */
  std::vector<Move> Waiting() const;

  /** Write ids of moves whose transaction has no outcome yet. */
  std::vector<std::string> Writing() const;

  /** @return Whether the partition was waiting; it is being written now. */
  bool BeginWrite(const PartitionId& aPartition, const std::string& aWriteId);

  void Finish(const PartitionId& aPartition);

  /** Gives up every move that waits; they admit again. */
  void CancelWaiting();

  /** Gives up those that wait for a target that takes nothing any more. */
  void CancelWithoutTarget(const ClusterTable& aTable);

  void Clear();

private:
  struct Entry
  {
    Move move;
    std::string writeId; ///< Empty while it waits.
  };

  std::map<PartitionId, Entry> entries;
};

} // namespace fescuetiller
