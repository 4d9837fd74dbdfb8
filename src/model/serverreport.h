#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "model/keyrange.h"

namespace fescuetiller {

/** One start of a backend server. An id may be used again by a later start,
 * which then has a later start time. */
struct ServerIncarnation
{
  std::string id;
  int64_t startedAt = 0; ///< Unix milliseconds, by the server's own clock.

  friend bool operator==(const ServerIncarnation& aLeft,
                         const ServerIncarnation& aRight);
  friend bool operator!=(const ServerIncarnation& aLeft,
                         const ServerIncarnation& aRight);
};

/** Keys that a backend server holds or still works on. */
struct GrantedRange
{
  KeyRange range;
  Fence fence = 0;

  friend bool operator==(const GrantedRange& aLeft, const GrantedRange& aRight);
};

/** Keys that a backend server let go since its last acknowledged heartbeat. */
struct ReleasedRange
{
  KeyRange range;
  std::string handover; ///< Token that keeps the keys warm at the next holder.

  friend bool operator==(const ReleasedRange& aLeft,
                         const ReleasedRange& aRight);
};

/** A heartbeat: what a backend server says of itself. */
struct ServerReport
{
  ServerIncarnation incarnation;
  std::string service;
  std::string address;
  std::string zone;
  uint32_t slots = 1; ///< Requests that it runs at once.
  bool draining = false;
  Duration remainingWarmUp = Duration(0); ///< How much longer it is slow.
  uint64_t sequence = 0; ///< Grows with each heartbeat of a life.
  std::vector<GrantedRange> grantedRanges;
  std::vector<ReleasedRange> releasedRanges;

  friend bool operator==(const ServerReport& aLeft, const ServerReport& aRight);
};

/** Keys that a backend server may serve until its grant ends. */
struct Grant
{
  KeyRange range;
  Fence fence = 0;
  std::string handover; ///< Token of the last holder; empty: none.

  friend bool operator==(const Grant& aLeft, const Grant& aRight);
};

/** Everything that a backend server is to hold, from when its heartbeat was
 * sent. What is left out is released. */
struct Grants
{
  std::vector<Grant> ranges;
  Duration validFor = Duration(0);

  friend bool operator==(const Grants& aLeft, const Grants& aRight);
};

/** Answer to a heartbeat; without grants it renews nothing. */
struct HeartbeatReply
{
  std::optional<Grants> grants;

  friend bool operator==(const HeartbeatReply& aLeft,
                         const HeartbeatReply& aRight);
};

} // namespace fescuetiller
