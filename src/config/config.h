#pragma once

/** Public header of the configuration library: settings and class targets. */

#include "config/classtarget.h"
#include "config/settings.h"
