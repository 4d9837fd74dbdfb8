#include "fescuetillerd/pacedresponse.h"

#include <utility>

#include "platform/headers.h"

namespace fescuetiller {

PacedResponse::PacedResponse(Uplink& aUplink,
                             std::shared_ptr<Exchange> aExchange,
                             uint64_t aId,
                             Time aDeadline)
  : uplink(aUplink)
  , exchange(std::move(aExchange))
  , requestId(exchange->request[headers::kRequestId])
  , id(aId)
  , deadline(aDeadline)
{
}

void
PacedResponse::OnCompleteResponse(HttpResponse aResponse)
{
  RemoveHopByHopFields(aResponse);
  this->exchange->onClientDisconnect = nullptr;
  if (this->headers) {
    this->Cancel(); // This response takes the place of the one that began.
  }
  this->uplink.load.OnSent(this->id, aResponse.body().size());
  constexpr unsigned kFirstRedirect = 300;
  this->uplink.load.OnEnded(this->id, aResponse.result_int() < kFirstRedirect);
  this->exchange->Respond(std::move(aResponse));
}

void
PacedResponse::OnHeaders(ResponseHeaders aHeaders)
{
  RemoveHopByHopFields(aHeaders.message);
  this->uplink.load.OnStarted(this->id, aHeaders.contentLength);
  this->headers = std::move(aHeaders);
  this->uplink.OnStarted(this->shared_from_this());
}

void
PacedResponse::OnBodyChunk(asio::const_buffer aChunk,
                           std::function<void()> aNext)
{
  this->chunks.emplace_back(static_cast<const char*>(aChunk.data()),
                            aChunk.size());
  this->uplink.bufferedBytes += aChunk.size();
  if (this->uplink.MayBuffer() || this->MaySendAtOnce()) {
    aNext();
  } else {
    this->next = std::move(aNext);
  }
  this->uplink.SendNext();
}

void
PacedResponse::OnBodyEnd()
{
  this->complete = true;
  if (this->IsSent()) {
    this->End();
  }
}

void
PacedResponse::OnFailure(const CallFailure&)
{
  this->Cancel();
  this->exchange->Abort();
}

bool
PacedResponse::HasPassedOn() const
{
  return this->exchange->HasStartedResponse();
}

void
PacedResponse::Cancel()
{
  if (this->over) {
    return;
  }
  this->over = true;
  this->next = nullptr;
  for (const auto& chunk : this->chunks) {
    this->uplink.bufferedBytes -= chunk.size();
  }
  this->chunks.resize(this->writing ? 1 : 0);
  this->uplink.load.OnEnded(this->id, false);
  this->uplink.ResumeReading();
}

bool
PacedResponse::CanSend() const
{
  return !this->over && !this->writing && !this->chunks.empty();
}

bool
PacedResponse::IsSent() const
{
  return this->complete && this->chunks.empty();
}

bool
PacedResponse::IsOver() const
{
  return this->over;
}

bool
PacedResponse::MaySendAtOnce() const
{
  return this->uplink.load.MaySendAtOnce(this->id, this->chunks.front().size());
}

void
PacedResponse::StartResponse()
{
  if (this->headers) {
    this->exchange->StartResponse(std::move(*this->headers));
    this->headers.reset();
  }
}

void
PacedResponse::SendChunk()
{
  this->StartResponse();
  this->writing = true;
  this->exchange->WriteChunk(asio::buffer(this->chunks.front()),
                             [self = this->shared_from_this()] {
                               self->writing = false;
                               if (self->over) {
                                 return;
                               }
                               auto size = self->chunks.front().size();
                               self->chunks.pop_front();
                               self->uplink.bufferedBytes -= size;
                               self->uplink.load.OnSent(self->id, size);
                               if (self->IsSent()) {
                                 self->End();
                               }
                               self->uplink.ResumeReading();
                               self->uplink.SendNext();
                             });
}

void
PacedResponse::End()
{
  this->over = true;
  this->uplink.load.OnEnded(this->id, true);
  this->exchange->onClientDisconnect = nullptr;
  this->StartResponse();
  this->exchange->EndResponse();
}

} // namespace fescuetiller
