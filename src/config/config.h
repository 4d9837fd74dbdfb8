#pragma once

/** Public header of the configuration library: settings, class targets and
 * drains. */

#include "config/classfile.h"
#include "config/classtarget.h"
#include "config/drain.h"
#include "config/settings.h"
