#include "http/fetch.h"

namespace fescuetiller {

namespace {

/** Size limit for response bodies. The platform's store sends at most 1 MB of
 * rows, which base64 enlarges by a third. */
constexpr size_t kMaxBodyBytes = 4 * 1024 * 1024;

/** Collects the chunks of a response and passes the result to a callback. */
class ResponseCollector : public ResponseReceiver
{
public:
  explicit ResponseCollector(FetchCallback aCallback)
    : callback(std::move(aCallback))
  {
  }

  void OnCompleteResponse(HttpResponse aResponse) override
  {
    this->callback(std::move(aResponse));
  }

  void OnHeaders(ResponseHeaders aHeaders) override
  {
    this->response.base() = aHeaders.message.base();
  }

  void OnBodyChunk(asio::const_buffer aChunk,
                   std::function<void()> aNext) override
  {
    if (this->response.body().size() + aChunk.size() <= kMaxBodyBytes) {
      this->response.body().append(static_cast<const char*>(aChunk.data()),
                                   aChunk.size());
      aNext();
      return;
    }
    auto report = std::move(this->callback);
    if (auto running = this->call.lock()) {
      running->Cancel(); // May delete this receiver.
    }
    report(
      tl::unexpected(Error{ ErrorCode::Unknown,
                            "read answer",
                            "peer",
                            "response body exceeds the size limit of 4 MiB" }));
  }

  void OnBodyEnd() override { this->callback(std::move(this->response)); }

  void OnFailure(const CallFailure& aFailure) override
  {
    this->callback(tl::unexpected(aFailure.error));
  }

  /** The call is cancelled if its response is too large. */
  void SetCall(const std::shared_ptr<UpstreamCall>& aCall)
  {
    this->call = aCall;
  }

private:
  FetchCallback callback;
  std::weak_ptr<UpstreamCall> call;
  HttpResponse response;
};

} // namespace

std::shared_ptr<UpstreamCall>
Fetch(ConnectionPool& aPool,
      const Tcp::endpoint& aPeer,
      HttpRequest aRequest,
      const CallOptions& aOptions,
      FetchCallback aCallback)
{
  auto collector = std::make_shared<ResponseCollector>(std::move(aCallback));
  auto call =
    UpstreamCall::Start(aPool, aPeer, std::move(aRequest), aOptions, collector);
  collector->SetCall(call);
  return call;
}

} // namespace fescuetiller
