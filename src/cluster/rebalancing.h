#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "cluster/keyload.h"
#include "cluster/records.h"

namespace fescuetiller {

/** Work that a member's backend server is asked for; 1: all that it can do. */
struct MemberLoad
{
  MemberId id;
  double load = 0;
  bool ownsKeys = true; ///< Whether it owns any range yet.
  /** Time until it can grant keys that it is given now. */
  Duration untilGrant = Duration(0);
};

/** Keys to hand to another member. */
struct PlannedMove
{
  KeyRange range;
  MemberId target;

  friend bool operator==(const PlannedMove& aLeft, const PlannedMove& aRight);
};

/** When keys move for the sake of load. */
struct RebalancingPolicy
{
  /** Load below which a server needs no relief: queues are short there. */
  double busy = 0.7;
  /** Excess over the mean that is worth the time in which moving keys wait. */
  double difference = 0.12;
  /** Excess over the mean from which on a member without keys is given some. */
  double shareWithNew = 0.01;
  /** Part of a target's room that one member fills, since others may choose the
   * same target. */
  double fill = 0.7;
  /** Targets of one plan. */
  size_t mostTargets = 4;
  /** Largest number of ranges of one member; a takeover of all of them must
   * fit into one transaction. */
  size_t mostRanges = 30;
};

/** Draws a number from 0 (included) to 1 (excluded). */
using RandomFunction = std::function<double()>;

/** Work that is asked for on some keys; in the unit of the weights. */
double
WorkOf(const std::vector<KeyRange>& aRanges,
       const std::vector<KeyWeight>& aKeys);

/**
 * The keys that a member should hand to those with less load than the mean, if
 * it has more. Members that can grant them soon are preferred, drawn by lot so
 * that not all choose the same. @param aOwn In ascending order. @param aKeys
 * Load by key, in ascending order.
 */
std::vector<PlannedMove>
PlanMoves(const std::vector<KeyRange>& aOwn,
          const std::vector<KeyWeight>& aKeys,
          const std::vector<MemberLoad>& aOthers,
          const RebalancingPolicy& aPolicy,
          const RandomFunction& aRandom);

/** Divides ranges among members so that each gets about the same work; members
 * with less load come first. Splits a range where that evens the parts. */
std::vector<PlannedMove>
Distribute(const std::vector<KeyRange>& aRanges,
           const std::vector<KeyWeight>& aKeys,
           std::vector<MemberLoad> aMembers,
           size_t aMostParts);

} // namespace fescuetiller
