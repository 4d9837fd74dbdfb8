#pragma once

/** Public header of the platform library: the table service and its client. */

#include "tableservice/httptablestore.h"
#include "tableservice/rowcodec.h"
#include "tableservice/tablestore.h"
