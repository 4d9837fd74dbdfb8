#pragma once

/** Public header of the model library: what the platform tells the router, in
 * the router's own terms. */

#include "model/configuration.h"
#include "model/keyrange.h"
#include "model/serverreport.h"
#include "model/storecalls.h"
#include "model/storerow.h"
