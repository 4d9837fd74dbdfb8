#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "model/model.h"

namespace fescuetiller {

/** Identifies one process of a daemon; a restarted daemon gets another id. */
using MemberId = std::string;

/** Table of the store in which members and key ranges are kept. */
constexpr const char* kClusterTable = "cluster";
/** Table of the store in which members renew their long lease. */
constexpr const char* kLeaseTable = "lease";

enum class MemberState
{
  Ready,    ///< Its backend server accepts requests.
  Draining, ///< Its backend server shuts down, or operators drain it.
  Down,     ///< Its backend server is lost.
};

/** A member of the cluster: a daemon process whose backend server has sent a
 * heartbeat. */
struct MemberRecord
{
  MemberId id;
  std::string service;
  std::string zone;
  std::string address;    ///< For requests from other daemons (TCP).
  std::string udpAddress; ///< For peer messages.
  MemberState state = MemberState::Ready;
  /** Members that monitor this one; most of them must agree to its takeover. */
  std::vector<MemberId> guardians;

  friend bool operator==(const MemberRecord& aLeft, const MemberRecord& aRight);
  friend bool operator!=(const MemberRecord& aLeft, const MemberRecord& aRight);
};

/** Epochs are below this bound, which rows of daemons do not reach. So each has
 * a next one, and fences stay below 2^53, exact in every reader of JSON. */
constexpr uint64_t kMaxEpoch = uint64_t(1) << 40;

/** Ownership of a range of a service's keys. */
struct RangeRecord
{
  std::string service;
  KeyRange range;
  MemberId owner;
  uint64_t epoch = 0;   ///< Incremented when the owner changes.
  std::string handover; ///< Token of the previous owner; empty: none.

  friend bool operator==(const RangeRecord& aLeft, const RangeRecord& aRight);
};

/** Request by operators to drain the member at an address. It is kept when the
 * member's process exits, so that a restarted process is drained again. */
struct DrainRecord
{
  std::string service;
  std::string address; ///< As in the member's record.
  bool drain = false;
  uint64_t revision = 0; ///< Incremented with each accepted change.
  std::string changedBy;

  friend bool operator==(const DrainRecord& aLeft, const DrainRecord& aRight);
};

/** Incarnations of the backend server beside a daemon that have announced their
 * shutdown. It outlives the daemon's process, so that a restarted one sends no
 * requests to such a server. */
struct ShutdownRecord
{
  std::string service;
  std::string address; ///< Of the daemon, as in its member record.
  std::vector<ServerIncarnation> servers; ///< In the order of announcement.

  friend bool operator==(const ShutdownRecord& aLeft,
                         const ShutdownRecord& aRight);
};

StoreKey
MemberKey(const std::string& aService, const MemberId& aId);

StoreKey
RangeKey(const std::string& aService, Key aFirst);

StoreKey
DrainKey(const std::string& aService, const std::string& aAddress);

StoreKey
ShutdownKey(const std::string& aService, const std::string& aAddress);

/** Key of the row that ends the time in which members bring their ranges along
 * from the era before. */
StoreKey
ClaimsClosedKey(const std::string& aService);

StoreKey
LeaseKey(const std::string& aService, const MemberId& aId);

StoreRow
ToRow(const MemberRecord& aRecord);

StoreRow
ToRow(const RangeRecord& aRecord);

StoreRow
ToRow(const DrainRecord& aRecord);

StoreRow
ToRow(const ShutdownRecord& aRecord);

bool
IsMemberKey(const StoreKey& aKey);

bool
IsRangeKey(const StoreKey& aKey);

bool
IsDrainKey(const StoreKey& aKey);

bool
IsShutdownKey(const StoreKey& aKey);

/** Reads a row whose key is of that kind. */
Result<MemberRecord>
ReadMember(const StoreRow& aRow);

Result<RangeRecord>
ReadRange(const StoreRow& aRow);

Result<DrainRecord>
ReadDrain(const StoreRow& aRow);

Result<ShutdownRecord>
ReadShutdown(const StoreRow& aRow);

/** Returns nothing for a row of another kind, a removed or an invalid row. */
std::optional<MemberRecord>
ParseMember(const StoreRow& aRow);

std::optional<RangeRecord>
ParseRange(const StoreRow& aRow);

std::optional<DrainRecord>
ParseDrain(const StoreRow& aRow);

const char*
ToString(MemberState aState);

/** Number of valid acknowledgements that a member needs to grant keys. */
size_t
AcknowledgementsNeeded(size_t aGuardians);

/** Number of guardians that must agree to a takeover. Its sum with the
 * acknowledgements needed exceeds the number of guardians, so that at least one
 * guardian would have to do both. */
size_t
ConsentsNeeded(size_t aGuardians);

} // namespace fescuetiller
