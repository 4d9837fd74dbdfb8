#include "http/fetch.h"

namespace fescuetiller {

namespace {

/** Largest answer: the platform's store sends at most 1 MB of rows, which grow
 * by a third in base64. */
constexpr size_t kMostBytes = 4 * 1024 * 1024;

class Gatherer : public ResponseReceiver
{
public:
  explicit Gatherer(FetchDone aDone)
    : done(std::move(aDone))
  {
  }

  void OnWhole(HttpResponse aResponse) override
  {
    this->done(std::move(aResponse));
  }

  void OnHead(ResponseHead aHead) override
  {
    this->response.base() = aHead.message.base();
  }

  void OnPiece(asio::const_buffer aPiece, std::function<void()> aNext) override
  {
    if (this->response.body().size() + aPiece.size() <= kMostBytes) {
      this->response.body().append(static_cast<const char*>(aPiece.data()),
                                   aPiece.size());
    } else {
      this->tooLarge = true;
    }
    aNext();
  }

  void OnEnd() override
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
  FetchDone done;
  HttpResponse response;
  bool tooLarge = false;
};

} // namespace

std::shared_ptr<UpstreamCall>
Fetch(ConnectionPool& aPool,
      const Tcp::endpoint& aPeer,
      HttpRequest aRequest,
      const CallOptions& aOptions,
      FetchDone aDone)
{
  return UpstreamCall::Start(aPool,
                             aPeer,
                             std::move(aRequest),
                             aOptions,
                             std::make_shared<Gatherer>(std::move(aDone)));
}

} // namespace fescuetiller
