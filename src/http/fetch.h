#pragma once

#include <functional>
#include <memory>

#include "http/upstreamcall.h"

namespace fescuetiller {

/** Gets the response with its whole body, or an error. */
using FetchCallback = std::function<void(Result<HttpResponse>)>;

/** Sends a request and collects the whole response in memory. Fails if the
 * response exceeds a size limit. */
std::shared_ptr<UpstreamCall>
Fetch(ConnectionPool& aPool,
      const Tcp::endpoint& aPeer,
      HttpRequest aRequest,
      const CallOptions& aOptions,
      FetchCallback aCallback);

} // namespace fescuetiller
