#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cluster/evacuations.h"
#include "cluster/records.h"

namespace fescuetiller {

/** A datagram between two members. */
struct PeerMessage
{
  enum class Kind
  {
    Renew,          ///< A member renews its lease with a guardian.
    Acknowledge,    ///< The guardian does not agree to a takeover for a while.
    RequestConsent, ///< Asks a guardian to agree to a takeover.
    Consent,        ///< Agrees; renewals are no longer acknowledged.
    Rows,           ///< Rows that the sender has changed in the store.
    Probe,          ///< Checks that the receiver is alive.
    ProbeReply,     ///< Reply to Probe.
    Confirmation,   ///< Tells the age of the configuration only.
    Crashes,        ///< Servers that ended under requests.
  };

  /** What its release knows of passing on rows. */
  enum class Relay
  {
    Able,      ///< The sender passes on rows if it is asked to.
    Requested, ///< The receiver is to pass the rows on in its own zone.
  };

  Kind kind = Kind::Renew;
  MemberId from;
  MemberId to;
  MemberId member; ///< The member whose lease or takeover this is about.
  /** Version of that member's record for which consent is given. */
  RowVersion version = 0;
  int64_t sentAt = 0; ///< By the sender's clock; returned in Acknowledge.
  std::vector<StoreRow> rows; ///< For Rows only.
  /** Load of the sender's backend server; 1: full capacity. */
  double load = 0;
  /** Time until the next heartbeat of the sender's backend server. */
  Duration untilHeartbeat = Duration(0);
  /** Version of the sender's configuration row; 0: none, or not announced. */
  RowVersion configuration = 0;
  /** How long ago the store had no newer configuration; nothing: unknown. */
  std::optional<Duration> configurationAge;
  std::vector<CrashRecord> crashes; ///< For Crashes only.
  /** Era of the store as the sender knows it. */
  StoreEra era = 0;
  /** Zones under evacuation as the sender knows them. */
  EvacuationOrders evacuations;
  /** Whether rows are passed on; empty from releases that pass on none. */
  std::optional<Relay> relay;

  friend bool operator==(const PeerMessage& aLeft, const PeerMessage& aRight);
};

/** Most bytes of a datagram that receivers read. */
constexpr size_t kMaxDatagramBytes = 2048;

/** Encodes a message. If it would exceed a datagram with all zones under
 * evacuation, only those are included that have room, shortest names first. */
std::string
Encode(const PeerMessage& aMessage);

/** Returns nothing if the bytes are not a valid message. */
std::optional<PeerMessage>
DecodePeerMessage(const std::string& aBytes);

} // namespace fescuetiller
