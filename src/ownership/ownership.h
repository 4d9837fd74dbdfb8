#pragma once

/** Public header of the ownership library: members, leases, takeovers, moves.
 */

#include "ownership/backendcondition.h"
#include "ownership/changes.h"
#include "ownership/clustertable.h"
#include "ownership/grantorchoice.h"
#include "ownership/leasegrantor.h"
#include "ownership/leaseholder.h"
#include "ownership/lostmemberwatch.h"
#include "ownership/messages.h"
#include "ownership/movetable.h"
#include "ownership/ownershipsystem.h"
#include "ownership/records.h"
#include "ownership/servingtable.h"
#include "ownership/transactionqueue.h"
