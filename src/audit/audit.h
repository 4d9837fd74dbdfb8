#pragma once

/** Public header of the audit library: recorded changes by operators. */

#include "audit/auditentry.h"
#include "audit/audittrail.h"
#include "audit/changewriter.h"
