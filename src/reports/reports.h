#pragma once

/** Public header of the reports library: what operators are told. */

#include "reports/healthreport.h"
#include "reports/statusreport.h"
