#include "http/pendingresponse.h"

#include <cassert>

namespace fescuetiller {

namespace {

/** Most bytes of a body that are kept until its turn. */
constexpr size_t kMaxHeldBytes = 32 * 1024;

} // namespace

void
PendingResponse::SetWhole(HttpResponse aResponse)
{
  this->Discard();
  this->knownSince = BootClock::now();
  this->whole = std::move(aResponse);
}

void
PendingResponse::Discard()
{
  assert(!this->begun);
  this->whole.reset();
  this->serializer.reset();
  this->streamed.reset();
  this->held.clear();
  this->chunk = {};
  this->next = nullptr;
  this->ended = false;
  this->knownSince.reset();
}

void
PendingResponse::Start(ResponseHeaders aHeaders)
{
  this->Discard();
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

bool
PendingResponse::Hold(asio::const_buffer aChunk)
{
  bool hasRoom = this->held.size() + aChunk.size() <= kMaxHeldBytes;
  if (hasRoom) {
    this->held.append(static_cast<const char*>(aChunk.data()), aChunk.size());
  }
  return hasRoom;
}

void
PendingResponse::End()
{
  this->ended = true;
}

void
PendingResponse::Abort(ConnectionEnd aEnd)
{
  this->aborted = this->aborted.value_or(aEnd);
  this->held.clear();
  this->chunk = {};
  this->next = nullptr;
}

UnansweredRequest::Response
PendingResponse::Known() const
{
  if (this->IsComplete()) {
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
  if (!this->held.empty() || this->next != nullptr) {
    return Step::Chunk;
  }
  return this->ended ? Step::End : Step::Wait;
}

bool
PendingResponse::IsBegun() const
{
  return this->begun;
}

bool
PendingResponse::IsComplete() const
{
  return this->whole || this->ended;
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
  return this->whole ? this->whole->body().size()
                     : this->held.size() + this->chunk.size();
}

void
PendingResponse::Begin(bool aKeepAlive)
{
  this->begun = true;
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
  auto data = this->held.empty() ? this->chunk : asio::buffer(this->held);
  bool atEnd = this->NextStep() == Step::End;
  // The serializer takes a non-const pointer but does not modify the data.
  body.data = atEnd ? nullptr : const_cast<void*>(data.data());
  body.size = atEnd ? 0 : data.size();
  body.more = !atEnd;
  if (this->serializer == nullptr) {
    this->serializer = std::make_unique<Serializer>(*this->streamed);
  }
  return *this->serializer;
}

std::function<void()>
PendingResponse::TakeChunkCallback()
{
  if (!this->held.empty()) {
    this->held = {};
    return nullptr;
  }
  auto callback = std::move(this->next);
  this->next = nullptr;
  this->chunk = {};
  return callback;
}

} // namespace fescuetiller
