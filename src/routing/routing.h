#pragma once

/** Public header of the routing library, which selects the route of a request,
 * a service of the route and a daemon of the service. */

#include "routing/clientretries.h"
#include "routing/destinationpicker.h"
#include "routing/peertable.h"
#include "routing/retrybudget.h"
#include "routing/routetable.h"
#include "routing/servernotices.h"
#include "routing/zonechoice.h"
