#pragma once

/** Public header of the audit library: records the changes that operators
 * make. */

#include "audit/auditentry.h"
#include "audit/audittrail.h"
#include "audit/changewriter.h"
