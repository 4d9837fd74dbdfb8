#pragma once

/** Public header of the base library: time, errors, identifiers. */

#include "base/decay.h"
#include "base/error.h"
#include "base/event.h"
#include "base/ids.h"
#include "base/time.h"
