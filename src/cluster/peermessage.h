#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cluster/records.h"

namespace fescuetiller {

/** A datagram between a member and its guardians. */
struct PeerMessage
{
  enum class Kind
  {
    Renew,          ///< "I live": a member to its guardian.
    Acknowledge,    ///< The guardian will not agree to a takeover for a while.
    RequestConsent, ///< May the silent member be taken over?
    Consent,        ///< Yes; its renewals are not acknowledged any more.
    Rows,           ///< Rows that the sender has changed in the store.
    Probe,          ///< Does the receiver live?
    ProbeReply,     ///< It does.
  };

  Kind kind = Kind::Renew;
  MemberId from;
  MemberId to;
  MemberId member; ///< The member in question.
  /** Version of the member's record that a consent is for. */
  RowVersion version = 0;
  int64_t sentAt = 0; ///< Sender's clock; echoed by an acknowledgement.
  std::vector<StoreRow> rows;
  /** Work asked of the sender's server, and the time until it calls next. */
  double load = 0;
  Duration untilHeartbeat = Duration(0);

  friend bool operator==(const PeerMessage& aLeft, const PeerMessage& aRight);
};

std::string
Encode(const PeerMessage& aMessage);

/** Nothing for bytes that are no message. */
std::optional<PeerMessage>
DecodePeerMessage(const std::string& aBytes);

} // namespace fescuetiller
