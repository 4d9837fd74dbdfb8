#pragma once

/** Public header of the cluster library, which decides on membership and key
 * ownership. Does no I/O and reads no clock: time and messages are passed in,
 * messages and transactions are returned. */

#include "cluster/changes.h"
#include "cluster/clusterview.h"
#include "cluster/keyload.h"
#include "cluster/ownershipagent.h"
#include "cluster/peermessage.h"
#include "cluster/rebalancing.h"
#include "cluster/records.h"
#include "cluster/storeera.h"
#include "cluster/transactionqueue.h"
