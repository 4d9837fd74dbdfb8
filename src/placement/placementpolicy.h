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
  /** Busy slots and queued requests, smoothed, as its daemon measured them. */
  double load = 0;
  bool accepting = true;                ///< False while leaving or failed.
  Duration age = std::chrono::hours(1); ///< Since it was first known.
  /** Requests answered a second, smoothed; 0 when not measured. */
  double throughput = 0;
};

/** What the placement policy knows of one partition. */
struct PartitionView
{
  PartitionId id;
  Incarnation owner = kNoIncarnation; ///< kNoIncarnation: nobody owns it.
  double load = 0;                    ///< As for a server.
  Duration ownedFor = std::chrono::hours(1);  ///< Since the owner changed.
  Incarnation previousOwner = kNoIncarnation; ///< When that is known.
};

/** Servers and partitions of one service, as one daemon sees them. */
struct PlacementView
{
  Time now;
  std::vector<ServerView> servers;
  std::vector<PartitionView> partitions;
  /** Whose moves are asked for; kNoIncarnation: those of every server. */
  Incarnation self = kNoIncarnation;
  /** The caller alone decides on the partitions that nobody owns. */
  bool soleDecider = false;
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
