#pragma once

/** Public header of the requests library: requests and their outcomes. */

#include "requests/backoff.h"
#include "requests/forwarding.h"
#include "requests/issuestamp.h"
#include "requests/percentcoding.h"
#include "requests/request.h"
#include "requests/requesttable.h"
#include "requests/retrybudget.h"
