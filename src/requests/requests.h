#pragma once

/** Public header of the requests library: requests and their outcomes. */

#include "requests/request.h"
