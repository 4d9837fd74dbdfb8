#pragma once

/** Public header of the metrics library. */

#include "metrics/classmetrics.h"
#include "metrics/prometheus.h"
#include "metrics/unavailabletime.h"
