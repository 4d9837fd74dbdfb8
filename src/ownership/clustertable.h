#pragma once

#include <map>
#include <set>
#include <vector>

#include "ownership/records.h"

namespace fescuetiller {

/**
 * Members and assignments as this daemon knows them. A row never replaces one
 * of a newer version, so deltas may arrive in any order and more than once.
 */
class ClusterTable
{
public:
  /** @return Whether the row was newer than what was known. */
  bool Apply(const Row& aRow);

  const Member* FindMember(Incarnation aIncarnation) const;
  const Assignment* FindAssignment(const PartitionId& aPartition) const;

  const std::map<Incarnation, Member>& Members() const;
  const std::map<PartitionId, Assignment>& Assignments() const;

  std::vector<Assignment> OwnedBy(Incarnation aOwner) const;

  /** Who serves a partition: nobody once its owner has ended. */
  Incarnation LiveOwner(const PartitionId& aPartition) const;

  /**
   * Who may take a member over now: its grantor, or whoever adopted the
   * grantor's wards. kNoIncarnation: the table service grants the lease.
   */
  Incarnation EffectiveGrantor(const Member& aMember) const;

  /** Grows with every row applied. */
  uint64_t ChangeCount() const;

private:
  std::map<Incarnation, Member> members;
  std::map<PartitionId, Assignment> assignments;
  std::map<Incarnation, std::set<PartitionId>> owned;
  uint64_t changeCount = 0;
};

} // namespace fescuetiller
