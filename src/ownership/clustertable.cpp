#include "ownership/clustertable.h"

namespace fescuetiller {

bool
ClusterTable::Apply(const Row& aRow)
{
  if (aRow.key.table == kMemberTable) {
    auto member = ParseMember(aRow);
    if (!member) {
      return false;
    }
    auto& known = this->members[member->incarnation];
    if (known.version >= member->version) {
      return false;
    }
    known = *member;
    ++this->changeCount;
    return true;
  }
  if (aRow.key.table == kAssignmentTable) {
    auto assignment = ParseAssignment(aRow);
    if (!assignment) {
      return false;
    }
    auto& known = this->assignments[assignment->partition];
    if (known.version >= assignment->version) {
      return false;
    }
    this->owned[known.owner].erase(assignment->partition);
    if (this->owned[known.owner].empty()) {
      this->owned.erase(known.owner);
    }
    known = *assignment;
    this->owned[known.owner].insert(known.partition);
    ++this->changeCount;
    return true;
  }
  return false;
}

const Member*
ClusterTable::FindMember(Incarnation aIncarnation) const
{
  auto found = this->members.find(aIncarnation);
  return found == this->members.end() ? nullptr : &found->second;
}

const Assignment*
ClusterTable::FindAssignment(const PartitionId& aPartition) const
{
  auto found = this->assignments.find(aPartition);
  return found == this->assignments.end() ? nullptr : &found->second;
}

const std::map<Incarnation, Member>&
ClusterTable::Members() const
{
  return this->members;
}

const std::map<PartitionId, Assignment>&
ClusterTable::Assignments() const
{
  return this->assignments;
}

std::vector<Assignment>
ClusterTable::OwnedBy(Incarnation aOwner) const
{
  std::vector<Assignment> result;
  auto found = this->owned.find(aOwner);
  if (found == this->owned.end()) {
    return result;
  }
  for (const auto& partition : found->second) {
    result.push_back(this->assignments.at(partition));
  }
  return result;
}

Incarnation
ClusterTable::LiveOwner(const PartitionId& aPartition) const
{
  const Assignment* assignment = this->FindAssignment(aPartition);
  if (assignment == nullptr) {
    return kNoIncarnation;
  }
  const Member* owner = this->FindMember(assignment->owner);
  bool ended = owner != nullptr && owner->state == MemberState::Ended;
  return ended ? kNoIncarnation : assignment->owner;
}

Incarnation
ClusterTable::EffectiveGrantor(const Member& aMember) const
{
  Incarnation grantor = aMember.grantor;
  for (size_t step = 0; step <= this->members.size(); ++step) {
    const Member* member = this->FindMember(grantor);
    if (member == nullptr || member->state != MemberState::Ended) {
      return grantor;
    }
    if (member->endedBy == grantor) {
      return kNoIncarnation;
    }
    grantor = member->endedBy;
  }
  return kNoIncarnation;
}

uint64_t
ClusterTable::ChangeCount() const
{
  return this->changeCount;
}

} // namespace fescuetiller
