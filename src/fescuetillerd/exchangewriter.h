#pragma once

#include <functional>
#include <memory>

#include "http/http.h"

namespace fescuetiller {

/** Forwards the response of a call to an exchange. If the response ends
 * prematurely, the exchange's connection is closed. */
class ExchangeWriter : public ResponseReceiver
{
public:
  explicit ExchangeWriter(std::shared_ptr<Exchange> aExchange);

  void OnCompleteResponse(HttpResponse aResponse) override;
  void OnHeaders(ResponseHeaders aHeaders) override;
  void OnBodyChunk(asio::const_buffer aChunk,
                   std::function<void()> aNext) override;
  void OnBodyEnd() override;
  void OnFailure(const CallFailure& aFailure) override;

private:
  std::shared_ptr<Exchange> exchange;
};

} // namespace fescuetiller
