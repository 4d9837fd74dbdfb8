#pragma once

#include <vector>

#include "audit/auditentry.h"

namespace fescuetiller {

/** The sequence of a service's next entry. */
Result<AuditHead>
ReadAuditHead(const StoreCalls& aStore, const std::string& aService);

/** The newest entries of a service, newest first; at most aCount. */
Result<std::vector<AuditEntry>>
ReadAuditTrail(const StoreCalls& aStore,
               const std::string& aService,
               size_t aCount);

} // namespace fescuetiller
