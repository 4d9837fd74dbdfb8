#pragma once

#include <optional>
#include <string>
#include <vector>

#include "model/model.h"

namespace fescuetiller {

/** Identifies one run of one daemon. */
using MemberId = std::string;

/** Table of the store in which members and key ranges are kept. */
constexpr const char* kClusterTable = "cluster";
/** Table of the store in which members renew their long lease. */
constexpr const char* kLeaseTable = "lease";

enum class MemberState
{
  Ready,    ///< Its backend server takes requests.
  Draining, ///< Its backend server leaves.
  Down,     ///< Its backend server does not answer.
};

/** One run of one daemon whose backend server has announced itself. */
struct MemberRecord
{
  MemberId id;
  std::string service;
  std::string zone;
  std::string address;    ///< Takes requests from other daemons (TCP).
  std::string udpAddress; ///< Takes lease messages (UDP).
  MemberState state = MemberState::Ready;
  /** Members that watch this one; most of them must agree to its takeover. */
  std::vector<MemberId> guardians;

  friend bool operator==(const MemberRecord& aLeft, const MemberRecord& aRight);
  friend bool operator!=(const MemberRecord& aLeft, const MemberRecord& aRight);
};

/** Who owns a range of a service's keys. */
struct RangeRecord
{
  std::string service;
  KeyRange range;
  MemberId owner;
  uint64_t epoch = 0; ///< Grows with each change of the owner.
  std::string handover;

  friend bool operator==(const RangeRecord& aLeft, const RangeRecord& aRight);
};

/** Whether operators want the member at an address drained. It outlives the
 * member's process, so that a restarted one is drained again. */
struct DrainRecord
{
  std::string service;
  std::string address; ///< As in the member's record.
  bool drain = false;
  uint64_t revision = 0; ///< Grows by one with each accepted change.
  std::string changedBy;

  friend bool operator==(const DrainRecord& aLeft, const DrainRecord& aRight);
};

StoreKey
MemberKey(const std::string& aService, const MemberId& aId);

StoreKey
RangeKey(const std::string& aService, Key aFirst);

StoreKey
DrainKey(const std::string& aService, const std::string& aAddress);

StoreKey
LeaseKey(const std::string& aService, const MemberId& aId);

StoreRow
ToRow(const MemberRecord& aRecord);

StoreRow
ToRow(const RangeRecord& aRecord);

StoreRow
ToRow(const DrainRecord& aRecord);

/** Nothing for a row of another kind or one that cannot be read. */
std::optional<MemberRecord>
ParseMember(const StoreRow& aRow);

std::optional<RangeRecord>
ParseRange(const StoreRow& aRow);

std::optional<DrainRecord>
ParseDrain(const StoreRow& aRow);

const char*
ToString(MemberState aState);

/** Valid acknowledgements without which a member may not grant keys. */
size_t
AcknowledgementsNeeded(size_t aGuardians);

/** Guardians that must agree to a takeover. Together with the
 * acknowledgements these are more than all guardians, so that one of them
 * would have to do both. */
size_t
ConsentsNeeded(size_t aGuardians);

} // namespace fescuetiller
