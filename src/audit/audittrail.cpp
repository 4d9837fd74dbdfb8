#include "audit/audittrail.h"

#include <algorithm>

namespace fescuetiller {

Result<AuditHead>
ReadAuditHead(TableStore& aStore)
{
  auto read = aStore.ReadRows({ AuditHeadKey() });
  if (!read) {
    return tl::unexpected(read.error());
  }
  if (read->rows.empty()) {
    return AuditHead();
  }
  auto head = ParseAuditHead(read->rows[0]);
  if (!head) {
    return tl::unexpected(Error{ ErrorCode::Invalid,
                                 "read audit trail",
                                 "table service",
                                 "the head row is malformed" });
  }
  return *head;
}

Result<std::vector<AuditEntry>>
ReadAuditTrail(TableStore& aStore, uint64_t aCount)
{
  auto head = ReadAuditHead(aStore);
  if (!head) {
    return tl::unexpected(head.error());
  }
  uint64_t count = std::min({ aCount, head->nextSequence, kAuditEntriesKept });
  std::vector<RowKey> keys;
  for (uint64_t back = 1; back <= count; ++back) {
    keys.push_back(AuditKey(head->nextSequence - back));
  }
  if (keys.empty()) {
    return std::vector<AuditEntry>();
  }
  auto read = aStore.ReadRows(keys);
  if (!read) {
    return tl::unexpected(read.error());
  }
  std::vector<AuditEntry> entries;
  for (const auto& row : read->rows) {
    auto entry = ParseAuditEntry(row);
    if (entry) {
      entries.push_back(*entry);
    }
  }
  std::sort(entries.begin(),
            entries.end(),
            [](const AuditEntry& aLeft, const AuditEntry& aRight) {
              return aLeft.sequence > aRight.sequence;
            });
  return entries;
}

} // namespace fescuetiller
