#include "fescuetillerd/statuscheck.h"

#include "platform/headers.h"

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** A server responds to a status check at once. Later, the next heartbeat is
 * near. */
constexpr Duration kTimeout = milliseconds(250);

} // namespace

void
StatusCheck::Start(ConnectionPool& aPool,
                   const Tcp::endpoint& aServer,
                   const std::string& aPath,
                   const std::string& aServerId,
                   const std::string& aRequestId)
{
  HttpRequest request(http::verb::get, aPath, 11);
  request.set(http::field::host, ToString(aServer));
  request.set(headers::kRequestId, aRequestId);
  request.set(headers::kTargetServer, aServerId);
  request.set(headers::kTimeLeft, std::to_string(ToMilliseconds(kTimeout)));
  request.keep_alive(true);
  CallOptions options;
  options.connectTimeout = kTimeout;
  options.timeout = kTimeout;
  // Servers may leave out the id in the response to a status check, also on a
  // connection that has carried others. A response that is taken for it by
  // mistake states nothing.
  options.correlationField = headers::kRequestId;
  options.beforeSend = [self = this->shared_from_this()](HttpRequest&) {
    return self->beforeSend();
  };
  Fetch(aPool,
        aServer,
        std::move(request),
        options,
        [self = this->shared_from_this()](const Result<HttpResponse>& aResult) {
          self->onEnd(aResult ? &*aResult : nullptr);
        });
}

} // namespace fescuetiller
