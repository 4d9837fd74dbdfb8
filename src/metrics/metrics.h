#pragma once

/** Public header of the metrics library. */

#include "metrics/prometheus.h"
