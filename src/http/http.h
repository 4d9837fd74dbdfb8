#pragma once

/** Public header of the HTTP library, an asynchronous server and client. */

#include "http/connectionmemory.h"
#include "http/connectionpool.h"
#include "http/deflate.h"
#include "http/fetch.h"
#include "http/messages.h"
#include "http/server.h"
#include "http/unansweredrequest.h"
#include "http/upstreamcall.h"
#include "http/urlquery.h"
