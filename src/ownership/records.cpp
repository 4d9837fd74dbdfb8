#include "ownership/records.h"

#include <tuple>

#include "wire/wire.h"

namespace fescuetiller {

namespace {

wire::MemberState
ToWire(MemberState aState)
{
  switch (aState) {
    case MemberState::Active:
      return wire::MEMBER_STATE_ACTIVE;
    case MemberState::Leaving:
      return wire::MEMBER_STATE_LEAVING;
    case MemberState::Ended:
      return wire::MEMBER_STATE_ENDED;
  }
  return wire::MEMBER_STATE_UNSPECIFIED;
}

std::optional<MemberState>
FromWire(wire::MemberState aState)
{
  switch (aState) {
    case wire::MEMBER_STATE_ACTIVE:
      return MemberState::Active;
    case wire::MEMBER_STATE_LEAVING:
      return MemberState::Leaving;
    case wire::MEMBER_STATE_ENDED:
      return MemberState::Ended;
    default:
      return std::nullopt;
  }
}

} // namespace

bool
operator==(const Member& aLeft, const Member& aRight)
{
  return aLeft.version == aRight.version &&
         ToRow(aLeft).value == ToRow(aRight).value;
}

bool
operator==(const Assignment& aLeft, const Assignment& aRight)
{
  return std::tie(aLeft.partition,
                  aLeft.owner,
                  aLeft.epoch,
                  aLeft.writeId,
                  aLeft.version) == std::tie(aRight.partition,
                                             aRight.owner,
                                             aRight.epoch,
                                             aRight.writeId,
                                             aRight.version);
}

RowKey
MemberKey(Incarnation aIncarnation)
{
  return { kMemberTable, ToHex(aIncarnation) };
}

RowKey
AssignmentKey(const PartitionId& aPartition)
{
  return { kAssignmentTable, ToString(aPartition) };
}

Row
ToRow(const Member& aMember)
{
  wire::MemberRecord record;
  record.set_incarnation(aMember.incarnation);
  record.set_name(aMember.name);
  record.set_service(aMember.service);
  record.set_zone(aMember.zone);
  record.set_control_address(aMember.controlAddress);
  record.set_peer_address(aMember.peerAddress);
  record.set_caller_address(aMember.callerAddress);
  record.set_operator_address(aMember.operatorAddress);
  record.set_state(ToWire(aMember.state));
  record.set_grantor(aMember.grantor);
  record.set_ended_by(aMember.endedBy);
  record.set_slots(aMember.slots);
  record.set_connections(aMember.connections);
  record.set_checks_grant(aMember.checksGrant);
  record.set_write_id(aMember.writeId);
  return { MemberKey(aMember.incarnation),
           record.SerializeAsString(),
           aMember.version,
           false };
}

Row
ToRow(const Assignment& aAssignment)
{
  wire::AssignmentRecord record;
  record.set_service(aAssignment.partition.service);
  record.set_partition(aAssignment.partition.index);
  record.set_owner(aAssignment.owner);
  record.set_epoch(aAssignment.epoch);
  record.set_write_id(aAssignment.writeId);
  return { AssignmentKey(aAssignment.partition),
           record.SerializeAsString(),
           aAssignment.version,
           false };
}

std::optional<Member>
ParseMember(const Row& aRow)
{
  wire::MemberRecord record;
  if (aRow.deleted || !record.ParseFromString(aRow.value)) {
    return std::nullopt;
  }
  auto state = FromWire(record.state());
  if (!state || record.incarnation() == kNoIncarnation) {
    return std::nullopt;
  }
  Member member;
  member.incarnation = record.incarnation();
  member.name = record.name();
  member.service = record.service();
  member.zone = record.zone();
  member.controlAddress = record.control_address();
  member.peerAddress = record.peer_address();
  member.callerAddress = record.caller_address();
  member.operatorAddress = record.operator_address();
  member.state = *state;
  member.grantor = record.grantor();
  member.endedBy = record.ended_by();
  member.slots = record.slots();
  member.connections = record.connections();
  member.checksGrant = record.checks_grant();
  member.writeId = record.write_id();
  member.version = aRow.version;
  return member;
}

std::optional<Assignment>
ParseAssignment(const Row& aRow)
{
  wire::AssignmentRecord record;
  if (aRow.deleted || !record.ParseFromString(aRow.value)) {
    return std::nullopt;
  }
  Assignment assignment;
  assignment.partition = { record.service(), record.partition() };
  assignment.owner = record.owner();
  assignment.epoch = record.epoch();
  assignment.writeId = record.write_id();
  assignment.version = aRow.version;
  return assignment;
}

std::string
WriteIdOf(const Row& aRow)
{
  if (aRow.key.table == kMemberTable) {
    auto member = ParseMember(aRow);
    return member ? member->writeId : "";
  }
  auto assignment = ParseAssignment(aRow);
  return assignment ? assignment->writeId : "";
}

} // namespace fescuetiller
