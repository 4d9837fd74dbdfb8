#pragma once

#include <optional>
#include <string>

#include "tableservice/tableservice.h"
#include "wire/wire.h"

namespace fescuetiller {

constexpr const char* kAuditTable = "audit";

/** Entries kept; a week of 36,000 changes a day. Older ones are replaced. */
constexpr uint64_t kAuditEntriesKept = 262144;

/** One entry of the audit trail: who changed what, and what became of it. */
struct AuditEntry
{
  uint64_t sequence = 0;
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

/** The sequence that the next entry gets. */
struct AuditHead
{
  uint64_t nextSequence = 0;
  std::string writeId;
  RowVersion version = 0; ///< 0: the trail is empty.

  friend bool operator==(const AuditHead& aLeft, const AuditHead& aRight);
};

RowKey
AuditKey(uint64_t aSequence);

RowKey
AuditHeadKey();

wire::AuditRecord
ToWire(const AuditEntry& aEntry);

Row
ToRow(const AuditEntry& aEntry);

Row
ToRow(const AuditHead& aHead);

/** Nothing when the row is deleted or malformed. */
std::optional<AuditEntry>
ParseAuditEntry(const Row& aRow);

std::optional<AuditHead>
ParseAuditHead(const Row& aRow);

} // namespace fescuetiller
