#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "model/keyrange.h"

namespace fescuetiller {

/** One incarnation of a backend server, from start to exit. A later incarnation
 * may reuse the id; its start time is then later. */
struct ServerIncarnation
{
  std::string id;
  int64_t startedAt = 0; ///< Unix milliseconds, by the server's own clock.

  friend bool operator==(const ServerIncarnation& aLeft,
                         const ServerIncarnation& aRight);
  friend bool operator!=(const ServerIncarnation& aLeft,
                         const ServerIncarnation& aRight);
};

/** Keys that were granted to a backend server and not yet released by it. */
struct GrantedRange
{
  KeyRange range;
  Fence fence = 0;

  friend bool operator==(const GrantedRange& aLeft, const GrantedRange& aRight);
};

/** Keys released by a backend server since its last acknowledged heartbeat. */
struct ReleasedRange
{
  KeyRange range;
  std::string handover; ///< Token that lets the next owner keep the keys warm.

  friend bool operator==(const ReleasedRange& aLeft,
                         const ReleasedRange& aRight);
};

/** Heartbeat of a backend server: its address, its state and its keys. */
struct ServerReport
{
  ServerIncarnation incarnation;
  std::string service;
  std::string address;
  std::string zone;
  uint32_t slots = 1; ///< Requests that it runs concurrently.
  bool draining = false;
  Duration remainingWarmUp = Duration(0); ///< Time until full speed.
  uint64_t sequence = 0; ///< Increases with each heartbeat of an incarnation.
  std::vector<GrantedRange> grantedRanges;
  std::vector<ReleasedRange> releasedRanges;

  friend bool operator==(const ServerReport& aLeft, const ServerReport& aRight);
};

/** Keys that a backend server may serve until the grant expires. */
struct Grant
{
  KeyRange range;
  Fence fence = 0;
  std::string handover; ///< Token of the previous owner; empty: none.

  friend bool operator==(const Grant& aLeft, const Grant& aRight);
};

/** All current grants of a backend server, valid from the time its heartbeat
 * was sent. The server releases the ranges that are not listed. */
struct Grants
{
  std::vector<Grant> ranges;
  Duration validFor = Duration(0);

  friend bool operator==(const Grants& aLeft, const Grants& aRight);
};

/** Response to a heartbeat; without grants, it does not renew anything. */
struct HeartbeatReply
{
  std::optional<Grants> grants;

  friend bool operator==(const HeartbeatReply& aLeft,
                         const HeartbeatReply& aRight);
};

} // namespace fescuetiller
