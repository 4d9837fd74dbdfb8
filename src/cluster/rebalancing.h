#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "cluster/keyload.h"
#include "cluster/records.h"

namespace fescuetiller {

/** Load of a member's backend server and when the member can take more keys. */
struct MemberLoad
{
  MemberId id;
  /** 1: full capacity of the server. What the server does not offer of it
   * counts as in use. */
  double load = 0;
  bool ownsKeys = true; ///< Whether it already owns any range.
  /** Time until it can grant keys that are moved to it now. */
  Duration untilGrant = Duration(0);
};

/** Keys to move to another member. */
struct PlannedMove
{
  KeyRange range;
  MemberId target;

  friend bool operator==(const PlannedMove& aLeft, const PlannedMove& aRight);
};

/** When and how far keys are moved for load balancing. */
struct RebalancingPolicy
{
  /** Load up to which a server keeps its keys, since its queues are short,
   * unless there are members without keys. */
  double busyLoad = 0.7;
  /** Load above the mean that justifies a move, during which requests for the
   * moved keys wait. */
  double minExcess = 0.12;
  /** Load above the mean from which members without keys are given some. */
  double minExcessForNew = 0.01;
  /** Share of a target's spare load that one member uses, since others may
   * choose the same target. */
  double targetFill = 0.7;
  /** Share of what a server with a request limit accepts for which it keeps
   * keys. Its responses tell when the limit ends. */
  double keptShare = 0.5;
  /** Maximum number of targets of one plan. */
  size_t maxTargets = 4;
  /** Maximum number of ranges of one member; a takeover of all of them must fit
   * into one transaction. */
  size_t maxRanges = 30;
};

/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
using RandomFunction = std::function<double()>;

/** Sum of the work on some keys, in the unit of the weights. */
double
WorkOf(const std::vector<KeyRange>& aRanges,
       const std::vector<KeyWeight>& aKeys);

/**
 * Selects keys that a member with more load than the mean should move to
 * members with less. Members that can grant keys soon are preferred, with a
 * random factor so that not all members choose the same target.
 *
 * @param aOwn The member's ranges in ascending order.
 * @param aKeys Load by key, in ascending order.
 * @param aUnusable Share of the own server's capacity that it does not offer.
 */
std::vector<PlannedMove>
PlanMoves(const std::vector<KeyRange>& aOwn,
          const std::vector<KeyWeight>& aKeys,
          double aUnusable,
          const std::vector<MemberLoad>& aOthers,
          const RebalancingPolicy& aPolicy,
          const RandomFunction& aRandom);

/** Divides ranges among members so that each gets about the same work,
 * beginning with the least loaded member. Ranges are split where needed. */
std::vector<PlannedMove>
DistributeRanges(const std::vector<KeyRange>& aRanges,
                 const std::vector<KeyWeight>& aKeys,
                 std::vector<MemberLoad> aMembers,
                 size_t aMaxParts);

} // namespace fescuetiller
