#pragma once

/** Public header of the platform library: the table service and its client. */

#include "platform/httptablestore.h"
#include "platform/rowcodec.h"
#include "platform/tablestore.h"
