#pragma once

/** Public header of the placement library: which server should own what. */

#include "placement/balancedplacement.h"
#include "placement/fleetsummary.h"
#include "placement/hotkeys.h"
#include "placement/placementpolicy.h"
#include "placement/placementsettings.h"
