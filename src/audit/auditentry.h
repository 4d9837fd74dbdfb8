#pragma once

#include <optional>
#include <string>

#include "model/model.h"

namespace fescuetiller {

constexpr const char* kAuditTable = "audit";

/** Entries kept of each service; years of a few changes a day, and a page of
 * 500 rows is read in one call. Older ones are replaced. */
constexpr uint64_t kAuditEntriesKept = 10000;

/** One entry of the audit trail: who changed what, and what became of it. */
struct AuditEntry
{
  uint64_t sequence = 0; ///< Within the service.
  std::string service;
  std::string who;
  int64_t unixMilliseconds = 0;
  std::string from; ///< Host on which the operator's tool ran.
  std::string action;
  std::string subject;
  std::string before;
  std::string after;
  std::string outcome;
  std::string writeId;

  friend bool operator==(const AuditEntry& aLeft, const AuditEntry& aRight);
};

/** The sequence that a service's next entry gets. */
struct AuditHead
{
  std::string service;
  uint64_t nextSequence = 0;
  std::string writeId;
  RowVersion version = 0; ///< 0: the trail is empty.

  friend bool operator==(const AuditHead& aLeft, const AuditHead& aRight);
};

/** The entries of a service stand in the part of its other rows, so that one
 * transaction changes both. */
StoreKey
AuditKey(const std::string& aService, uint64_t aSequence);

StoreKey
AuditHeadKey(const std::string& aService);

StoreRow
ToRow(const AuditEntry& aEntry);

StoreRow
ToRow(const AuditHead& aHead);

/** Nothing when the row was removed or cannot be read. */
std::optional<AuditEntry>
ParseAuditEntry(const StoreRow& aRow);

std::optional<AuditHead>
ParseAuditHead(const StoreRow& aRow);

} // namespace fescuetiller
