#pragma once

#include <vector>

#include "cluster/clusterview.h"
#include "cluster/membermonitor.h"
#include "cluster/rebalancing.h"

namespace fescuetiller {

/** Parts that ranges are divided into by one change at most: all rows and
 * conditions must fit into one transaction of the store. */
constexpr size_t kMostParts = 30;
/** Ranges of one earlier owner that one change takes. */
constexpr size_t kMostTaken = 40;
/** First ranges that fit into one change; further members get keys by moves. */
constexpr size_t kMostFirstRanges = 98;

/** Keys that a member hands over, with the token of its server. */
struct KeyHandover
{
  PlannedMove plan;
  std::string handover;
};

/**
 * Enters a member. Earlier members with its address end: the new process has
 * bound it, so theirs are gone, and their grants are its own server's.
 */
StoreTransaction
JoinChange(const ClusterView& aView, const MemberRecord& aRecord);

/** Divides all keys evenly among members, unless any range exists. */
StoreTransaction
FirstRangesChange(const std::string& aService, std::vector<MemberId> aMembers);

/** Hands over keys of a member, on condition that the targets' records have not
 * changed. The targets are members. */
StoreTransaction
MoveChange(const ClusterView& aView,
           const std::string& aService,
           const MemberId& aOwner,
           const std::vector<KeyHandover>& aKeys);

/** Joins two adjacent ranges of a member; no rows if it has none. */
StoreTransaction
MergeChange(const ClusterView& aView,
            const std::string& aService,
            const MemberId& aOwner);

/** Ends a lost member and gives its ranges to others. */
StoreTransaction
TakeoverChange(const ClusterView& aView,
               const LostMember& aLost,
               const std::vector<KeyWeight>& aKeys,
               const std::vector<MemberLoad>& aTargets);

/** Gives a range without a living owner to a member. */
void
AddAdoption(StoreTransaction& aChange,
            const Versioned<RangeRecord>& aRange,
            const MemberId& aOwner);

} // namespace fescuetiller
