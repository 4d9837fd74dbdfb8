#pragma once

/** Public header of the metrics library: writes metrics for Prometheus. */

#include "metrics/prometheus.h"
