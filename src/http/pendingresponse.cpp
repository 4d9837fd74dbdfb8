#include "http/pendingresponse.h"

namespace fescuetiller {

void
PendingResponse::SetWhole(HttpResponse aResponse)
{
  this->knownSince = BootClock::now();
  this->whole = std::move(aResponse);
}

void
PendingResponse::Start(ResponseHeaders aHeaders)
{
  this->knownSince = BootClock::now();
  this->streamed = std::make_unique<Streamed>();
  this->streamed->base() = aHeaders.message.base();
  this->streamed->version(11);
  if (aHeaders.contentLength) {
    this->streamed->content_length(*aHeaders.contentLength);
  } else if (!this->mustNotChunk) {
    this->streamed->chunked(true);
  }
}

void
PendingResponse::SetChunk(asio::const_buffer aChunk,
                          std::function<void()> aNext)
{
  this->chunk = aChunk;
  this->next = std::move(aNext);
}

void
PendingResponse::End()
{
  this->ended = true;
}

void
PendingResponse::Abort(ConnectionEnd aEnd)
{
  this->aborted = aEnd;
  this->chunk = {};
  this->next = nullptr;
}

UnansweredRequest::Response
PendingResponse::Known() const
{
  if (this->whole || this->ended) {
    return UnansweredRequest::Response::Whole;
  }
  return this->streamed != nullptr ? UnansweredRequest::Response::Started
                                   : UnansweredRequest::Response::None;
}

ConnectionEnd
PendingResponse::AbortedBy() const
{
  return this->aborted.value_or(ConnectionEnd::ResponseAborted);
}

PendingResponse::Step
PendingResponse::NextStep() const
{
  if (this->aborted) {
    return Step::Abort;
  }
  if (this->whole) {
    return Step::Whole;
  }
  if (this->streamed == nullptr) {
    return Step::Wait;
  }
  if (this->next != nullptr) {
    return Step::Chunk;
  }
  return this->ended ? Step::End : Step::Wait;
}

bool
PendingResponse::EndsWithConnection() const
{
  return this->streamed != nullptr && !this->streamed->chunked() &&
         !this->streamed->has_content_length();
}

size_t
PendingResponse::HeldBytes() const
{
  return this->whole ? this->whole->body().size() : this->chunk.size();
}

void
PendingResponse::SetKeepAlive(bool aKeepAlive)
{
  if (this->whole) {
    this->whole->version(11);
    this->whole->keep_alive(aKeepAlive);
    if (this->headRequest || HasNoBody(this->whole->result())) {
      // A stated length is that of the body that GET would return.
      this->whole->body().clear();
    } else {
      this->whole->content_length(this->whole->body().size());
    }
  } else if (this->streamed != nullptr && this->serializer == nullptr) {
    this->streamed->keep_alive(aKeepAlive);
  }
}

HttpResponse&
PendingResponse::Whole()
{
  return *this->whole;
}

PendingResponse::Serializer&
PendingResponse::Prepare()
{
  auto& body = this->streamed->body();
  bool atEnd = this->next == nullptr;
  // The serializer takes a non-const pointer but does not modify the data.
  body.data = atEnd ? nullptr : const_cast<void*>(this->chunk.data());
  body.size = atEnd ? 0 : this->chunk.size();
  body.more = !atEnd;
  if (this->serializer == nullptr) {
    this->serializer = std::make_unique<Serializer>(*this->streamed);
  }
  return *this->serializer;
}

std::function<void()>
PendingResponse::TakeChunkCallback()
{
  auto callback = std::move(this->next);
  this->next = nullptr;
  this->chunk = {};
  return callback;
}

} // namespace fescuetiller
