#pragma once

#include <vector>

#include "cluster/clusterview.h"
#include "cluster/membermonitor.h"
#include "cluster/rebalancing.h"

namespace fescuetiller {

/** Maximum number of parts into which one change divides ranges, so that all
 * rows and conditions fit into one transaction of the store. */
constexpr size_t kMaxParts = 30;
/** Maximum number of ranges that one change takes from earlier owners. */
constexpr size_t kMaxTakenRanges = 40;
/** Maximum number of first ranges that fit into one change; further members get
 * keys by moves. */
constexpr size_t kMaxFirstRanges = 98;

/** Keys that a member hands over, with the handover token of its server. */
struct KeyHandover
{
  PlannedMove plan;
  std::string handover;
};

/**
 * Adds a member. Earlier members of the same service with the same address are
 * removed and the new member takes their ranges: since the new process could
 * bind the address, theirs have exited, and they granted keys to the same
 * backend server.
 */
StoreTransaction
MakeJoinChange(const ClusterView& aView, const MemberRecord& aRecord);

/** Adds ranges that a member has owned since the era before, on condition that
 * members may still bring ranges along. */
void
AddKeptRanges(StoreTransaction& aChange,
              const std::string& aService,
              const MemberId& aOwner,
              const std::vector<KeyRange>& aRanges,
              StoreEra aEra);

/** Divides all keys evenly among members, on condition that no range exists.
 * @param aIsFirst Whether no range is known, also none of another writer. Else
 * fewer members get one, so that there is room for more conditions. */
StoreTransaction
MakeFirstRangesChange(const std::string& aService,
                      std::vector<MemberId> aMembers,
                      StoreEra aEra = 0,
                      bool aIsFirst = true);

/** Ends the time in which members bring ranges along from the era before.
 * @param aValue Value of the row, different in each change. */
StoreTransaction
MakeCloseClaimsChange(const ClusterView& aView,
                      const std::string& aService,
                      const std::string& aValue);

/** Moves keys of a member to others, on condition that the member records of
 * the targets have not changed. All targets must be members. */
StoreTransaction
MakeMoveChange(const ClusterView& aView,
               const std::string& aService,
               const MemberId& aOwner,
               const std::vector<KeyHandover>& aHandovers);

/** Merges two adjacent ranges of a member; empty if there are none. Ranges that
 * the server does not hold yet are left alone, since each needs its handover.
 * @param aHeld The ranges that the member's server holds. */
StoreTransaction
MakeMergeChange(const ClusterView& aView,
                const std::string& aService,
                const MemberId& aOwner,
                const std::vector<KeyRange>& aHeld);

/** Removes a lost member and divides its ranges among others. */
StoreTransaction
MakeTakeoverChange(const ClusterView& aView,
                   const LostMember& aLost,
                   const std::vector<KeyWeight>& aKeys,
                   const std::vector<MemberLoad>& aTargets);

/** Takes from a range the keys that others contain as well; their epochs rise
 * above its own. Empty if these are too many. */
StoreTransaction
MakeTrimChange(const ClusterView& aView, const Versioned<RangeRecord>& aRange);

/** Records that a server beside the daemon at an address has announced its
 * shutdown. The record keeps the latest incarnations. */
StoreTransaction
MakeShutdownChange(const ClusterView& aView,
                   const std::string& aService,
                   const std::string& aAddress,
                   const ServerIncarnation& aServer);

/** Adds a change of the owner of a whole range, without a handover token. */
void
AddOwnerChange(StoreTransaction& aChange,
               const Versioned<RangeRecord>& aRange,
               const MemberId& aOwner);

} // namespace fescuetiller
