#pragma once

#include <optional>
#include <string>

#include "model/model.h"

namespace fescuetiller {

constexpr const char* kAuditTable = "audit";

/** Entries kept for each service; newer ones overwrite the oldest. Enough for
 * several years of a few changes a day. Reading them all takes one call for
 * each page of 500 rows. */
constexpr uint64_t kAuditEntriesKept = 10000;

/** One entry of the audit trail: who changed what, and with which outcome. */
struct AuditEntry
{
  uint64_t sequence = 0; ///< Counts the entries of one service.
  std::string service;
  std::string who;              ///< The operator.
  int64_t unixMilliseconds = 0; ///< When the change was submitted.
  std::string from;             ///< Host on which the operator's tool ran.
  std::string action;           ///< E.g. "drain".
  std::string subject;          ///< What was changed, e.g. a member's address.
  std::string before;           ///< The state before the change, as text.
  std::string after;            ///< The requested state, as text.
  std::string outcome;          ///< "accepted", or why it was refused.
  std::string writeId;          ///< Unique id of the change.

  friend bool operator==(const AuditEntry& aLeft, const AuditEntry& aRight);
};

/** The row that assigns sequence numbers to a service's audit entries. Each
 * change updates it, so that concurrent changes conflict. */
struct AuditHead
{
  std::string service;
  uint64_t nextSequence = 0; ///< Sequence number of the next entry.
  std::string writeId;       ///< Id of the latest change.
  RowVersion version = 0;    ///< 0: the trail is empty.

  friend bool operator==(const AuditHead& aLeft, const AuditHead& aRight);
};

/** Audit entries are stored in the same part as the service's other rows, so
 * that one transaction can change both. */
StoreKey
AuditKey(const std::string& aService, uint64_t aSequence);

StoreKey
AuditHeadKey(const std::string& aService);

StoreRow
ToRow(const AuditEntry& aEntry);

StoreRow
ToRow(const AuditHead& aHead);

/** Returns nothing when the row was removed or is malformed. */
std::optional<AuditEntry>
ParseAuditEntry(const StoreRow& aRow);

std::optional<AuditHead>
ParseAuditHead(const StoreRow& aRow);

} // namespace fescuetiller
