#pragma once

#include <functional>
#include <vector>

#include "base/base.h"

namespace fescuetiller {

/** What the placement policy knows of one backend server. */
struct ServerView
{
  Incarnation id = kNoIncarnation;
  std::string zone;
  uint32_t slots = 0;
  double load = 0;       ///< Busy slots, smoothed.
  bool accepting = true; ///< False while leaving or failed.
};

/** What the placement policy knows of one partition. */
struct PartitionView
{
  PartitionId id;
  Incarnation owner = kNoIncarnation; ///< kNoIncarnation: nobody owns it.
  double load = 0;                    ///< Busy slots, smoothed.
};

/** Servers and partitions of one service, as one daemon sees them. */
struct PlacementView
{
  Time now;
  std::vector<ServerView> servers;
  std::vector<PartitionView> partitions;
};

/** One change of ownership that the policy asks for. */
struct Move
{
  PartitionId partition;
  Incarnation from = kNoIncarnation;
  Incarnation to = kNoIncarnation;

  friend bool operator==(const Move& aLeft, const Move& aRight);
};

/** Decides which partitions should change owners. Deterministic. */
using PlacementPolicy = std::function<std::vector<Move>(const PlacementView&)>;

/** Every partition on the server with its highest rendezvous score. */
std::vector<Move>
RendezvousPlacement(const PlacementView& aView);

} // namespace fescuetiller
