#include "http/fetch.h"

namespace fescuetiller {

namespace {

/** Largest answer: the platform's store sends at most 1 MB of rows, which grow
 * by a third in base64. */
constexpr size_t kMostBytes = 4 * 1024 * 1024;

class Gatherer : public ResponseReceiver
{
public:
  explicit Gatherer(FetchCallback aDone)
    : done(std::move(aDone))
  {
  }

  void OnCompleteResponse(HttpResponse aResponse) override
  {
    this->done(std::move(aResponse));
  }

  void OnHeaders(ResponseHeaders aHeaders) override
  {
    this->response.base() = aHeaders.message.base();
  }

  void OnBodyChunk(asio::const_buffer aChunk,
                   std::function<void()> aNext) override
  {
    if (this->response.body().size() + aChunk.size() <= kMostBytes) {
      this->response.body().append(static_cast<const char*>(aChunk.data()),
                                   aChunk.size());
    } else {
      this->tooLarge = true;
    }
    aNext();
  }

  void OnBodyEnd() override
  {
    if (this->tooLarge) {
      this->done(tl::unexpected(Error{
        ErrorCode::Unknown, "read answer", "peer", "answer is too large" }));
      return;
    }
    this->done(std::move(this->response));
  }

  void OnFailure(const CallFailure& aFailure) override
  {
    this->done(tl::unexpected(aFailure.error));
  }

private:
  FetchCallback done;
  HttpResponse response;
  bool tooLarge = false;
};

} // namespace

std::shared_ptr<UpstreamCall>
Fetch(ConnectionPool& aPool,
      const Tcp::endpoint& aPeer,
      HttpRequest aRequest,
      const CallOptions& aOptions,
      FetchCallback aDone)
{
  return UpstreamCall::Start(aPool,
                             aPeer,
                             std::move(aRequest),
                             aOptions,
                             std::make_shared<Gatherer>(std::move(aDone)));
}

} // namespace fescuetiller
