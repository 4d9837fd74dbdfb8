#pragma once

/** Public header of the placement library: which server should own what. */

#include "placement/placementpolicy.h"
