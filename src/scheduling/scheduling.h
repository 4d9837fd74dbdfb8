#pragma once

/** Public header of the scheduling library: who gets the next slot. */

#include "scheduling/scheduler.h"
#include "scheduling/targetpolicy.h"
