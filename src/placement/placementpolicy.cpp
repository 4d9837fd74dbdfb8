#include "placement/placementpolicy.h"

#include <tuple>

namespace fescuetiller {

namespace {

Incarnation
HighestScore(const PlacementView& aView, const PartitionId& aPartition)
{
  Incarnation best = kNoIncarnation;
  uint64_t bestScore = 0;
  std::string key = ToString(aPartition);
  for (const auto& server : aView.servers) {
    if (!server.accepting) {
      continue;
    }
    uint64_t score = HashKey(key, server.id);
    if (best == kNoIncarnation || score > bestScore) {
      best = server.id;
      bestScore = score;
    }
  }
  return best;
}

} // namespace

bool
operator==(const Move& aLeft, const Move& aRight)
{
  return std::tie(aLeft.partition, aLeft.from, aLeft.to) ==
         std::tie(aRight.partition, aRight.from, aRight.to);
}

std::vector<Move>
RendezvousPlacement(const PlacementView& aView)
{
  std::vector<Move> moves;
  for (const auto& partition : aView.partitions) {
    Incarnation best = HighestScore(aView, partition.id);
    if (best != kNoIncarnation && best != partition.owner) {
      moves.push_back({ partition.id, partition.owner, best });
    }
  }
  return moves;
}

} // namespace fescuetiller
