#pragma once

#include <functional>
#include <memory>

#include "http/upstreamcall.h"

namespace fescuetiller {

/** Answer with its whole body, or why there is none. */
using FetchCallback = std::function<void(Result<HttpResponse>)>;

/** Sends a request and gathers the answer, up to a size that bounds the
 * memory it may take. */
std::shared_ptr<UpstreamCall>
Fetch(ConnectionPool& aPool,
      const Tcp::endpoint& aPeer,
      HttpRequest aRequest,
      const CallOptions& aOptions,
      FetchCallback aDone);

} // namespace fescuetiller
