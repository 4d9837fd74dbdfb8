#pragma once

/** Public header of the routing library: which route a request takes, which
 * service of the route, and which daemon of the service. */

#include "routing/destinationpicker.h"
#include "routing/peertable.h"
#include "routing/retrybudget.h"
#include "routing/routetable.h"
