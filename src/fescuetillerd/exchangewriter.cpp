#include "fescuetillerd/exchangewriter.h"

namespace fescuetiller {

ExchangeWriter::ExchangeWriter(std::shared_ptr<Exchange> aExchange)
  : exchange(std::move(aExchange))
{
}

void
ExchangeWriter::OnCompleteResponse(HttpResponse aResponse)
{
  RemoveHopByHopFields(aResponse);
  this->exchange->onClientDisconnect = nullptr;
  this->exchange->Respond(std::move(aResponse));
}

void
ExchangeWriter::OnHeaders(ResponseHeaders aHeaders)
{
  RemoveHopByHopFields(aHeaders.message);
  this->exchange->StartResponse(std::move(aHeaders));
}

void
ExchangeWriter::OnBodyChunk(asio::const_buffer aChunk,
                            std::function<void()> aNext)
{
  this->exchange->WriteChunk(aChunk, std::move(aNext));
}

void
ExchangeWriter::OnBodyEnd()
{
  this->exchange->onClientDisconnect = nullptr;
  this->exchange->EndResponse();
}

void
ExchangeWriter::OnFailure(const CallFailure&)
{
  this->exchange->Abort();
}

} // namespace fescuetiller
