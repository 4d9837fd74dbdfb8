#pragma once

#include <vector>

#include "audit/auditentry.h"

namespace fescuetiller {

/** The sequence of the next entry, from the table service. */
Result<AuditHead>
ReadAuditHead(TableStore& aStore);

/** The newest entries, newest first; at most aCount. */
Result<std::vector<AuditEntry>>
ReadAuditTrail(TableStore& aStore, uint64_t aCount);

} // namespace fescuetiller
