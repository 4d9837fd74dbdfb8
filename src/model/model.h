#pragma once

/** Public header of the model library: configuration, heartbeats and store rows
 * in the router's own terms, independent of the platform's formats. */

#include "model/configuration.h"
#include "model/crashrecord.h"
#include "model/keyrange.h"
#include "model/serverload.h"
#include "model/servernotice.h"
#include "model/serverreport.h"
#include "model/storecalls.h"
#include "model/storerow.h"
