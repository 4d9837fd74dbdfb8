#include "ownership/changes.h"

namespace fescuetiller {

namespace {

/** Gives a partition to an owner at the next epoch. */
void
AddAssignment(Transaction& aChange,
              Assignment aCurrent,
              Incarnation aOwner,
              const std::string& aWriteId)
{
  aChange.conditions.push_back(
    { AssignmentKey(aCurrent.partition), aCurrent.version });
  aCurrent.owner = aOwner;
  aCurrent.epoch += 1;
  aCurrent.writeId = aWriteId;
  aChange.changes.push_back(ToRow(aCurrent));
}

} // namespace

Transaction
WriteMemberChange(const Member& aMember)
{
  Transaction change;
  change.conditions.push_back(
    { MemberKey(aMember.incarnation), aMember.version });
  change.changes.push_back(ToRow(aMember));
  return change;
}

Transaction
TakeOverChange(const Member& aLost,
               Incarnation aBy,
               const std::string& aWriteId,
               const ClusterTable& aTable,
               const std::vector<Move>& aSuccessors)
{
  Member ended = aLost;
  ended.state = MemberState::Ended;
  ended.endedBy = aBy;
  ended.writeId = aWriteId;
  Transaction change = WriteMemberChange(ended);
  std::map<PartitionId, Incarnation> successors;
  for (const auto& move : aSuccessors) {
    successors[move.partition] = move.to;
  }
  for (const auto& assignment : aTable.OwnedBy(aLost.incarnation)) {
    auto successor = successors.find(assignment.partition);
    Incarnation owner =
      successor == successors.end() ? kNoIncarnation : successor->second;
    AddAssignment(change, assignment, owner, aWriteId);
  }
  return change;
}

Transaction
ClaimChange(const Member& aClaimant,
            const std::vector<PartitionId>& aPartitions,
            const std::string& aWriteId,
            const ClusterTable& aTable)
{
  Transaction change;
  change.conditions.push_back(
    { MemberKey(aClaimant.incarnation), aClaimant.version });
  for (const auto& partition : aPartitions) {
    const Assignment* known = aTable.FindAssignment(partition);
    Assignment current = known == nullptr ? Assignment() : *known;
    current.partition = partition;
    AddAssignment(change, current, aClaimant.incarnation, aWriteId);
  }
  return change;
}

Transaction
MoveChange(const Assignment& aAssignment,
           const Member* aTarget,
           const std::string& aWriteId)
{
  Transaction change;
  if (aTarget != nullptr) {
    change.conditions.push_back(
      { MemberKey(aTarget->incarnation), aTarget->version });
  }
  Incarnation owner =
    aTarget == nullptr ? kNoIncarnation : aTarget->incarnation;
  AddAssignment(change, aAssignment, owner, aWriteId);
  return change;
}

} // namespace fescuetiller
