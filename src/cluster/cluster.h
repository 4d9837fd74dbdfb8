#pragma once

/** Public header of the cluster library: who the members are, which of them
 * owns which keys, and every decision about that. Pure: time and messages in,
 * messages out. */

#include "cluster/changes.h"
#include "cluster/clusterview.h"
#include "cluster/keyload.h"
#include "cluster/ownershipagent.h"
#include "cluster/peermessage.h"
#include "cluster/rebalancing.h"
#include "cluster/records.h"
#include "cluster/transactionqueue.h"
