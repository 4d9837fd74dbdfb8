#pragma once

#include <functional>
#include <memory>

#include "http/http.h"

namespace fescuetiller {

/** Passes the answer of a call on to an exchange; an answer that breaks off
 * closes the exchange's connection. */
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
