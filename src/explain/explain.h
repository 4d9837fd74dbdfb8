#pragma once

/** Public header of the explain library: traces one request through the logs
 * of the daemons. */

#include "explain/requesttrace.h"
