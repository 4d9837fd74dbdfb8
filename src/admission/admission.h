#pragma once

/** Public header of the admission library, which decides which request gets the
 * next slot of a backend server and which is refused at once. */

#include "admission/coldlimit.h"
#include "admission/crashrecords.h"
#include "admission/linkload.h"
#include "admission/requestlimit.h"
#include "admission/sendshare.h"
#include "admission/servicetimes.h"
#include "admission/slotqueue.h"
#include "admission/slotusage.h"
#include "admission/statedload.h"
#include "admission/statusschedule.h"
