#pragma once

#include <optional>
#include <string>

#include "tableservice/tableservice.h"

namespace fescuetiller {

constexpr const char* kMemberTable = "member";
constexpr const char* kAssignmentTable = "assignment";

enum class MemberState
{
  Active,  ///< Serves and takes new partitions.
  Leaving, ///< Serves what it still owns, takes nothing new.
  Ended,   ///< Serves nothing, for good.
};

/** One daemon and the backend server beside it, as the table service has it. */
struct Member
{
  Incarnation incarnation = kNoIncarnation;
  std::string name;
  std::string service;
  std::string zone;
  std::string controlAddress;
  std::string peerAddress;
  std::string callerAddress;
  std::string operatorAddress;
  MemberState state = MemberState::Active;
  Incarnation grantor = kNoIncarnation; ///< kNoIncarnation: the table service.
  Incarnation endedBy = kNoIncarnation; ///< Adopted the wards, when ended.
  uint32_t slots = 0;
  uint32_t connections = 0;
  bool checksGrant = false;
  std::string writeId;
  RowVersion version = 0;

  friend bool operator==(const Member& aLeft, const Member& aRight);
};

/** Which incarnation owns a partition, as the table service has it. */
struct Assignment
{
  PartitionId partition;
  Incarnation owner = kNoIncarnation; ///< kNoIncarnation: nobody.
  Epoch epoch = 0;
  std::string writeId;
  RowVersion version = 0;

  friend bool operator==(const Assignment& aLeft, const Assignment& aRight);
};

RowKey
MemberKey(Incarnation aIncarnation);

RowKey
AssignmentKey(const PartitionId& aPartition);

/** Row to write for a member; the store sets the version. */
Row
ToRow(const Member& aMember);

Row
ToRow(const Assignment& aAssignment);

/** Nothing when the row is deleted or malformed. */
std::optional<Member>
ParseMember(const Row& aRow);

std::optional<Assignment>
ParseAssignment(const Row& aRow);

/** Write id that a member or assignment row carries; empty when malformed. */
std::string
WriteIdOf(const Row& aRow);

} // namespace fescuetiller
