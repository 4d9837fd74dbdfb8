#include "audit/audittrail.h"

#include <algorithm>

namespace fescuetiller {

Result<AuditHead>
ReadAuditHead(const StoreCalls& aStore, const std::string& aService)
{
  auto row = ReadRow(aStore, AuditHeadKey(aService));
  if (!row) {
    return tl::unexpected(row.error());
  }
  if (!*row) {
    AuditHead empty;
    empty.service = aService;
    return empty;
  }
  auto head = ParseAuditHead(**row);
  if (!head) {
    return tl::unexpected(Error{ ErrorCode::Invalid,
                                 "read audit trail",
                                 "service " + aService,
                                 "the head row is malformed" });
  }
  return *head;
}

Result<std::vector<AuditEntry>>
ReadAuditTrail(const StoreCalls& aStore,
               const std::string& aService,
               size_t aCount)
{
  auto read = aStore.read(kAuditTable, aService);
  if (!read) {
    return tl::unexpected(read.error());
  }
  std::vector<AuditEntry> entries;
  for (const auto& row : read->rows) {
    if (auto entry = ParseAuditEntry(row)) {
      entries.push_back(*entry);
    }
  }
  std::sort(entries.begin(),
            entries.end(),
            [](const AuditEntry& aLeft, const AuditEntry& aRight) {
              return aLeft.sequence > aRight.sequence;
            });
  entries.resize(std::min(entries.size(), aCount));
  return entries;
}

} // namespace fescuetiller
