#pragma once

#include <vector>

#include "audit/auditentry.h"

namespace fescuetiller {

/** Reads the head of a service's trail; an empty one when there is none yet. */
Result<AuditHead>
ReadAuditHead(const StoreCalls& aStore, const std::string& aService);

/** Reads at most aCount entries of a service, newest first. */
Result<std::vector<AuditEntry>>
ReadAuditTrail(const StoreCalls& aStore,
               const std::string& aService,
               size_t aCount);

} // namespace fescuetiller
