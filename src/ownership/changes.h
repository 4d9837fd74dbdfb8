#pragma once

#include "ownership/clustertable.h"
#include "placement/placement.h"

namespace fescuetiller {

/** Writes one's own member record over the version known. */
Transaction
WriteMemberChange(const Member& aMember);

/**
 * Ends a member and names new owners for everything that it is known to own,
 * in one transaction.
 */
Transaction
TakeOverChange(const Member& aLost,
               Incarnation aBy,
               const std::string& aWriteId,
               const ClusterTable& aTable,
               const std::vector<Move>& aSuccessors);

/** Claims partitions that nobody owns for a member. */
Transaction
ClaimChange(const Member& aClaimant,
            const std::vector<PartitionId>& aPartitions,
            const std::string& aWriteId,
            const ClusterTable& aTable);

/** Hands one partition over; a target of nullptr releases it to nobody. */
Transaction
MoveChange(const Assignment& aAssignment,
           const Member* aTarget,
           const std::string& aWriteId);

} // namespace fescuetiller
