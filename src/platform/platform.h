#pragma once

/** Public header of the platform library: names and formats of the platform,
 * and the client of its store. It contains no routing or ownership logic. */

#include "platform/base64.h"
#include "platform/blockingstore.h"
#include "platform/configurationcodec.h"
#include "platform/evacuationkeys.h"
#include "platform/headers.h"
#include "platform/heartbeatcodec.h"
#include "platform/jsonvalue.h"
#include "platform/serverheaders.h"
#include "platform/storeclient.h"
#include "platform/storecodec.h"
