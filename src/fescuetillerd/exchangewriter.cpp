#include "fescuetillerd/exchangewriter.h"

namespace fescuetiller {

ExchangeWriter::ExchangeWriter(std::shared_ptr<Exchange> aExchange)
  : exchange(std::move(aExchange))
{
}

void
ExchangeWriter::OnWhole(HttpResponse aResponse)
{
  RemoveConnectionFields(aResponse);
  this->exchange->onGone = nullptr;
  this->exchange->Respond(std::move(aResponse));
}

void
ExchangeWriter::OnHead(ResponseHead aHead)
{
  RemoveConnectionFields(aHead.message);
  this->exchange->StartBody(std::move(aHead));
}

void
ExchangeWriter::OnPiece(asio::const_buffer aPiece, std::function<void()> aNext)
{
  this->exchange->WritePiece(aPiece, std::move(aNext));
}

void
ExchangeWriter::OnEnd()
{
  this->exchange->onGone = nullptr;
  this->exchange->EndBody();
}

void
ExchangeWriter::OnFailure(const CallFailure&)
{
  this->exchange->Abort();
}

} // namespace fescuetiller
