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

  void OnWhole(HttpResponse aResponse) override;
  void OnHead(ResponseHead aHead) override;
  void OnPiece(asio::const_buffer aPiece, std::function<void()> aNext) override;
  void OnEnd() override;
  void OnFailure(const CallFailure& aFailure) override;

private:
  std::shared_ptr<Exchange> exchange;
};

} // namespace fescuetiller
