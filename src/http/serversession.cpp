#include "http/serversession.h"

#include <algorithm>
#include <cerrno>
#include <sstream>

#include "http/socketstate.h"

namespace fescuetiller {

namespace {

using boost::system::error_code;

/** HTTP/1.1, as Beast encodes versions. */
constexpr unsigned kHttp11 = 11;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kBodyTooLarge = 413;
constexpr unsigned kHeaderTooLarge = 431;
constexpr unsigned kNotRun = 503;
/** Largest buffer that an idle connection keeps. */
constexpr size_t kIdleBufferBytes = 4 * 1024;
/** How much is read ahead of requests that have to wait. What exceeds it stays
 * with the client. */
constexpr size_t kMaxReadAheadBytes = 64 * 1024;
/** Sizes of single reads: a usual head, and a part of a body. */
constexpr size_t kHeaderReadBytes = 1024;
constexpr size_t kBodyReadBytes = 32 * 1024;
/** Most bytes of a chunk's header or of trailers that wait for their end. */
constexpr size_t kMaxChunkHeadBytes = 8 * 1024;
/** Bodies up to this size are read even if nobody needs them, so that the
 * connection can be kept. */
constexpr uint64_t kMaxUnneededBytes = 4 * 1024;
/** A response in chunks holds one of them, and another that its server has
 * sent. */
constexpr size_t kStreamBytes = 64 * 1024;

/** Response to a request for which there is no room. */
HttpResponse
RoomRefusal()
{
  auto response = TextResponse(kNotRun, "no room for the request\n");
  response.set(http::field::retry_after, "1");
  return response;
}

} // namespace

Exchange::Exchange(HttpRequest aRequest,
                   std::weak_ptr<ServerSession> aSession,
                   std::shared_ptr<PendingResponse> aResponse)
  : request(std::move(aRequest))
  , receivedAt(BootClock::now())
  , session(std::move(aSession))
  , response(std::move(aResponse))
{
}

Exchange::~Exchange()
{
  if (!this->response->IsComplete() && !this->clientDisconnected) {
    this->Abort(ConnectionEnd::NoResponse);
  }
}

void
Exchange::Respond(HttpResponse aResponse)
{
  if (auto open = this->session.lock()) {
    open->Respond(this->response, std::move(aResponse));
  }
}

void
Exchange::StartResponse(ResponseHeaders aHeaders)
{
  this->response->Start(std::move(aHeaders));
  auto open = this->session.lock();
  if (open != nullptr && this->response->heldBytes == 0) {
    open->AccountResponse(*this->response, kStreamBytes);
  }
}

void
Exchange::WriteChunk(asio::const_buffer aChunk, std::function<void()> aNext)
{
  auto open = this->session.lock();
  if (open != nullptr) {
    open->WriteChunk(this->response, aChunk, std::move(aNext));
  }
}

void
Exchange::EndResponse()
{
  auto open = this->session.lock();
  if (open != nullptr) {
    this->response->End();
    open->OnResponseChanged(this->response);
  }
}

void
Exchange::DiscardResponse()
{
  if (!this->response->IsBegun()) {
    this->response->Discard();
  }
}

void
Exchange::Abort()
{
  this->Abort(ConnectionEnd::ResponseAborted);
}

void
Exchange::Abort(ConnectionEnd aEnd)
{
  this->onClientDisconnect = nullptr;
  if (auto open = this->session.lock()) {
    open->Abort(this->response, aEnd);
  }
}

bool
Exchange::HasStartedResponse() const
{
  return this->response->IsBegun();
}

uint64_t
Exchange::ConnectionId() const
{
  auto open = this->session.lock();
  return open == nullptr ? 0
                         : static_cast<uint64_t>(open->socket.native_handle());
}

std::optional<uint64_t>
Exchange::BytesInFlight() const
{
  auto open = this->session.lock();
  if (open == nullptr || open->IsClosed()) {
    return std::nullopt;
  }
  return fescuetiller::BytesInFlight(open->socket);
}

Duration
Exchange::RoundTripTime() const
{
  auto open = this->session.lock();
  return open == nullptr || open->IsClosed()
           ? Duration(0)
           : fescuetiller::RoundTripTime(open->socket);
}

ServerSession::ServerSession(Tcp::socket aSocket,
                             const Handler& aHandler,
                             const SessionRules& aRules,
                             const SessionLimits& aLimits,
                             std::shared_ptr<ConnectionMemory> aMemory)
  : socket(std::move(aSocket))
  , handler(aHandler)
  , rules(aRules)
  , limits(aLimits)
  , memory(std::move(aMemory))
  , since(BootClock::now())
{
  error_code ignored; // A lost connection is seen when it is read.
  this->address = this->socket.remote_endpoint(ignored).address().to_string();
}

ServerSession::~ServerSession()
{
  this->memory->Close(this->id);
}

void
ServerSession::Open(const std::string& aListener)
{
  this->listener = aListener;
  this->id =
    this->memory->Open(aListener, this->address, this->weak_from_this());
}

void
ServerSession::UpdatePhase()
{
  auto phase = ConnectionPhase::Running;
  if (this->pipeline.IsEmpty()) {
    phase = this->input != Input::Nothing ? ConnectionPhase::Reading
            : this->counted               ? ConnectionPhase::Idle
                                          : ConnectionPhase::New;
  }
  this->memory->Account().SetPhase(BootClock::now(), this->id, phase);
}

void
ServerSession::Withdraw(RoomReason aReason)
{
  if (this->state == State::Closed || !this->pipeline.IsEmpty()) {
    return; // Its request has been read in the meantime.
  }
  if (this->input == Input::Nothing && this->HasUnreadData()) {
    return; // Its request is read next.
  }
  if (this->memory->onRefused) {
    this->memory->onRefused(this->listener, this->address, aReason);
  }
  if (this->state == State::Open && this->parser != nullptr &&
      this->parser->is_header_done()) {
    // The pending read uses the buffer, so what is held can be released only by
    // closing the socket. The client may not get this response, then.
    auto response = RoomRefusal();
    if (this->rules.onRefusal) {
      this->rules.onRefusal(this->parser->get(), response);
    }
    response.keep_alive(false);
    response.prepare_payload();
    std::ostringstream text;
    text << response;
    error_code ignored; // The client is disconnected in any case.
    this->socket.non_blocking(true, ignored);
    this->socket.write_some(asio::buffer(text.str()), ignored);
  }
  this->Close(ConnectionEnd::NoRoom);
}

void
ServerSession::Start()
{
  error_code ignored; // Without the option, responses are only delayed.
  this->socket.set_option(Tcp::no_delay(true), ignored);
  this->WaitForData();
}

bool
ServerSession::IsClosed() const
{
  return this->state == State::Closed;
}

bool
ServerSession::IsBusy() const
{
  return this->state == State::Open && !this->pipeline.IsEmpty();
}

bool
ServerSession::IsReadingRequest() const
{
  return this->state == State::Open && this->input != Input::Nothing;
}

void
ServerSession::CloseIfTimedOut(Time aNow)
{
  auto elapsed = aNow - this->since;
  if (this->state == State::Dismissed) {
    if (this->finalResponse == nullptr && elapsed > this->limits.lingerTime) {
      this->Close(ConnectionEnd::Finished);
    }
    return;
  }
  // What has arrived was sent in time, and this process has not read it.
  bool slow = this->input == Input::Part && elapsed > this->headerTimeout &&
              PeekByte(this->socket) <= 0;
  bool idle = this->input == Input::Nothing && this->pipeline.IsEmpty() &&
              elapsed > this->limits.idleTimeout && !this->HasUnreadData();
  // Each write is a bounded part of a response.
  bool unread = this->writing &&
                aNow - this->writeStartedAt >
                  this->limits.readGraceTime +
                    std::chrono::seconds(this->writeBytes /
                                         this->limits.minReadBytesPerSecond);
  if (unread) {
    this->Close(ConnectionEnd::ResponseNotRead);
  } else if (idle) {
    this->Close(ConnectionEnd::IdleTimeout);
  } else if (slow && this->pipeline.IsEmpty()) {
    this->Close(ConnectionEnd::RequestTimeout);
  } else if (slow) {
    this->pipeline.StopReading();
  }
}

void
ServerSession::Close(ConnectionEnd aEnd)
{
  if (this->state == State::Closed) {
    return;
  }
  this->ReportUnanswered(aEnd);
  this->state = State::Closed;
  error_code ignored; // The socket is closed in any case.
  this->socket.close(ignored);
  // Only requests that may run beside others share a space: those of other
  // daemons have their share where they come from.
  for (size_t count = 0;
       this->rules.mayRunConcurrently && count < this->responses.size();
       ++count) {
    this->memory->Shares().OnEnded(this->id, this->address);
  }
  this->memory->Close(this->id);
  // Requests that still run keep this object, but need nothing of these.
  this->parser.reset();
  this->buffer = boost::beast::flat_buffer();
  this->discarded = {};
  auto unanswered = std::move(this->responses);
  this->responses.clear();
  for (const auto& pending : unanswered) {
    pending->Abort(aEnd);
    this->NotifyDisconnect(*pending, aEnd);
  }
}

void
ServerSession::ReportUnanswered(ConnectionEnd aEnd)
{
  if (!this->rules.onUnanswered) {
    return;
  }
  auto now = BootClock::now();
  UnansweredRequest report;
  report.listener = this->listener;
  report.client = this->address;
  report.end = aEnd;
  report.behind = this->responses.size();
  for (const auto& pending : this->responses) {
    --report.behind;
    report.id = pending->requestId;
    report.response = pending->Known();
    report.age = now - pending->receivedAt;
    report.responseAge.reset();
    if (pending->knownSince) {
      report.responseAge = now - *pending->knownSince;
    }
    this->rules.onUnanswered(report);
    ++report.position;
  }
  // What the client has sent to a connection that it closes is of no use.
  bool reading = this->state == State::Open && !IsEndedByClient(aEnd) &&
                 this->HasNextRequest();
  if (reading) {
    bool hasHeader = this->parser != nullptr && this->parser->is_header_done();
    report.id = hasHeader
                  ? std::string(this->parser->get()[this->rules.requestIdField])
                  : "";
    report.response = UnansweredRequest::Response::NotRead;
    report.age = now - this->since;
    report.responseAge.reset();
    this->rules.onUnanswered(report);
  }
}

/** Whether a part of the next request has arrived. */
bool
ServerSession::HasNextRequest()
{
  return this->input != Input::Nothing || this->buffer.size() > 0 ||
         PeekByte(this->socket) > 0;
}

bool
ServerSession::HasUnreadData()
{
  return this->state == State::Open && this->pipeline.IsEmpty() &&
         PeekByte(this->socket) > 0;
}

void
ServerSession::CloseIfIdle()
{
  if (this->state == State::Open && this->pipeline.IsEmpty() &&
      this->input == Input::Nothing && !this->HasUnreadData()) {
    this->Close(ConnectionEnd::Stopped);
  }
}

void
ServerSession::DismissIfIdle(HttpResponse aFinalResponse)
{
  if (this->state == State::Open && this->pipeline.IsEmpty() &&
      this->input == Input::Nothing && !this->HasUnreadData()) {
    this->Dismiss(std::move(aFinalResponse));
  }
}

void
ServerSession::Dismiss(HttpResponse aFinalResponse)
{
  this->state = State::Dismissed;
  this->since = BootClock::now();
  this->finalResponse =
    std::make_unique<HttpResponse>(std::move(aFinalResponse));
  this->finalResponse->version(11);
  this->finalResponse->keep_alive(false);
  this->finalResponse->content_length(this->finalResponse->body().size());
  http::async_write(
    this->socket,
    *this->finalResponse,
    [self = this->shared_from_this()](error_code aError, size_t) {
      if (self->state != State::Dismissed) {
        return;
      }
      if (aError) {
        self->Close(ConnectionEnd::ConnectionLost);
        return;
      }
      error_code ignored; // DiscardData sees a lost connection.
      self->socket.shutdown(Tcp::socket::shutdown_send, ignored);
      self->DiscardData();
    });
}

bool
ServerSession::IsDismissed() const
{
  return this->state == State::Dismissed;
}

/** Whether closing the connection resets it, so that the client does not take
 * the end of the connection for the end of a response. */
void
ServerSession::SetResetOnClose(bool aReset)
{
  error_code ignored; // A lost connection has been reset already.
  this->socket.set_option(asio::socket_base::linger(aReset, 0), ignored);
}

/** Closes the connection after the last response. If the client sends requests
 * before it has responses, the connection stays open until the client closes it
 * or the linger time has passed. */
void
ServerSession::CloseAfterResponse()
{
  error_code ignored; // A lost connection is seen below.
  this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
  if (!this->pipelined && this->buffer.size() == 0 &&
      PeekByte(this->socket) <= 0) {
    this->Close(ConnectionEnd::Finished);
    return;
  }
  this->state = State::Dismissed;
  this->since = BootClock::now();
  this->DiscardData();
}

/** Reads until the client closes the connection: closing it with unread data
 * would reset it, and the client could lose the final response. */
void
ServerSession::DiscardData()
{
  this->discarded.resize(kIdleBufferBytes);
  this->socket.async_read_some(
    asio::buffer(this->discarded),
    [self = this->shared_from_this()](error_code aError, size_t) {
      if (self->state != State::Dismissed) {
        return;
      }
      if (aError) {
        self->Close(ConnectionEnd::Finished);
        return;
      }
      self->DiscardData();
    });
}

void
ServerSession::NotifyDisconnect(const PendingResponse& aPending,
                                ConnectionEnd aEnd)
{
  auto current = aPending.exchange.lock();
  if (current == nullptr || current->clientDisconnected) {
    return;
  }
  current->clientDisconnected = true;
  auto notify = std::move(current->onClientDisconnect);
  current->onClientDisconnect = nullptr;
  if (notify) {
    notify(aEnd);
  }
}

/** Waits until the socket is readable: a request arrived or the client closed
 * the connection. */
void
ServerSession::WaitForData()
{
  if (this->waitingForData || this->state != State::Open) {
    return;
  }
  this->waitingForData = true;
  this->socket.async_wait(Tcp::socket::wait_read,
                          [self = this->shared_from_this()](error_code aError) {
                            self->waitingForData = false;
                            if (self->state != State::Open) {
                              return;
                            }
                            if (aError) {
                              self->Close(ConnectionEnd::ConnectionLost);
                              return;
                            }
                            self->OnReadable();
                          });
}

void
ServerSession::OnReadable()
{
  if (this->input == Input::Part) {
    return; // The pending read gets the data.
  }
  this->pipelined = this->pipelined || !this->pipeline.IsEmpty();
  // A closed connection is readable, too.
  this->sentAhead = this->sentAhead || (this->pipeline.IsExclusive() &&
                                        PeekByte(this->socket) > 0);
  if (this->input == Input::Nothing && this->pipeline.MayRead() &&
      !this->memory->Account().ShouldWait(this->id)) {
    this->ReadHeader();
  } else {
    this->ReadAhead();
  }
}

/** Reads data that has to wait, to detect that the client disconnects. */
void
ServerSession::ReadAhead()
{
  if (this->buffer.size() + this->discardedBytes >= kMaxReadAheadBytes) {
    return;
  }
  auto space = this->buffer.prepare(kIdleBufferBytes);
  auto count = ReadAvailable(this->socket, space);
  if (count > 0 && this->pipeline.IsStopped()) {
    this->pipelined = true;
    this->discardedBytes += static_cast<size_t>(count);
  } else if (count > 0) {
    this->buffer.commit(static_cast<size_t>(count));
    this->arrivals.OnReceived(BootClock::now(), static_cast<size_t>(count));
    if (this->memory->SetInput(this->id, this->InputBytes()) !=
        RoomReason::None) {
      return; // What follows stays with the client until a response is written.
    }
  } else if (count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
    this->Close(count == 0 ? ConnectionEnd::ClientClosed
                           : ConnectionEnd::ConnectionLost);
    return;
  }
  this->WaitForData();
}

/** Continues with the next request if it may be read now. */
void
ServerSession::ReadNext()
{
  if (this->state != State::Open) {
    return;
  }
  if (this->input == Input::Held) {
    if (this->MayPassOn()) {
      this->ReadBody();
    } else {
      this->WaitForData();
    }
    return;
  }
  if (this->input == Input::Part) {
    return;
  }
  if (this->pipeline.MayRead() && this->buffer.size() > 0 &&
      !this->memory->Account().ShouldWait(this->id)) {
    this->pipelined = true;
    this->ReadHeader();
    return;
  }
  if (this->pipeline.IsEmpty() && this->buffer.size() == 0) {
    this->sentAhead = false;
    if (this->buffer.capacity() > kIdleBufferBytes) {
      this->buffer = boost::beast::flat_buffer();
    }
  }
  this->memory->SetInput(this->id, this->InputBytes());
  this->WaitForData();
}

size_t
ServerSession::InputBytes() const
{
  auto bytes = this->buffer.capacity();
  if (this->parser == nullptr) {
    // An idle connection keeps a small buffer.
    return bytes > kIdleBufferBytes ? bytes : 0;
  }
  uint64_t body = this->parser->BodyBytes();
  if (this->readingBody && !this->parser->is_done()) {
    // What the next read adds, so that there is room before it.
    bytes = std::max(bytes, this->buffer.size() + this->ReadSize());
    auto stated = this->parser->content_length();
    body = std::max<uint64_t>(body, stated ? *stated : 0);
  }
  return bytes + this->parser->FieldBytes() * this->limits.bodyCopies +
         static_cast<size_t>(body) * this->limits.bodyCopies;
}

bool
ServerSession::AccountInput()
{
  auto refused = this->memory->SetInput(this->id, this->InputBytes());
  if (refused != RoomReason::None) {
    this->RefuseForRoom(refused);
  }
  return refused == RoomReason::None;
}

size_t
ServerSession::ReadSize() const
{
  auto room = this->buffer.capacity() - this->buffer.size();
  if (!this->readingBody) {
    return std::max(kHeaderReadBytes, std::min(room, kBodyReadBytes));
  }
  auto left = this->parser->content_length_remaining();
  return std::clamp<size_t>(
    left ? static_cast<size_t>(std::min<uint64_t>(*left, kBodyReadBytes))
         : kBodyReadBytes,
    kHeaderReadBytes,
    kBodyReadBytes);
}

void
ServerSession::ReadSome()
{
  this->socket.async_read_some(
    this->buffer.prepare(this->ReadSize()),
    [self = this->shared_from_this()](error_code aError, size_t aSize) {
      if (self->state != State::Open || self->input != Input::Part) {
        return;
      }
      if (aError) {
        self->RejectRequest(aError);
        return;
      }
      self->buffer.commit(aSize);
      self->arrivals.OnReceived(BootClock::now(), aSize);
      self->memory->Account().OnReceived(self->id, aSize);
      self->ParseInput();
    });
}

void
ServerSession::ParseInput()
{
  error_code error = http::error::need_more;
  if (this->buffer.size() > 0) {
    auto consumed = this->parser->put(this->buffer.data(), error);
    this->buffer.consume(consumed);
    this->arrivals.OnConsumed(consumed);
  }
  if (error && error != http::error::need_more) {
    this->RejectRequest(error);
    return;
  }
  if (this->readingBody && this->parser->is_done()) {
    this->OnRequest();
    return;
  }
  if (!this->readingBody && this->parser->is_header_done()) {
    this->OnHeader();
    return;
  }
  if (this->readingBody && this->buffer.size() > kMaxChunkHeadBytes) {
    this->RejectRequest(http::error::header_limit);
    return;
  }
  if (this->AccountInput()) {
    this->ReadSome();
  }
}

bool
ServerSession::MayPassOn()
{
  bool within = this->memory->Shares().MayRunBeside(this->id, this->address);
  return this->pipeline.MayPassOn(this->concurrent && within);
}

void
ServerSession::ReadHeader()
{
  this->input = Input::Part;
  this->since = BootClock::now();
  this->readingBody = false;
  this->parser = std::make_unique<RequestParser>(this->limits.maxFields);
  this->parser->header_limit(this->limits.maxHeaderBytes);
  this->parser->body_limit(this->limits.maxBodyBytes);
  this->headerTimeout = this->limits.headerTimeout;
  this->UpdatePhase();
  this->ParseInput();
}

void
ServerSession::OnHeader()
{
  if (this->DropRequestIfStopped()) {
    return;
  }
  this->headerReceivedAt = this->arrivals.LastConsumed();
  const auto& request = this->parser->get();
  // The client waits for an interim response before it sends the body, and
  // that response belongs to the oldest request.
  // HTTP/1.0 has no requests before the response to the first one.
  this->concurrent =
    request.version() >= kHttp11 && request[http::field::expect].empty() &&
    this->rules.mayRunConcurrently && this->rules.mayRunConcurrently(request);
  if (!this->MayPassOn()) {
    this->input = Input::Held;
    this->WaitForData();
    return;
  }
  this->ReadBody();
}

/** Whether the body of the request is not read: it is long, or its length is
 * not known, and nobody needs it. */
bool
ServerSession::IsBodySkipped() const
{
  auto length = this->parser->content_length();
  return this->rules.needsBody && (!length || *length > kMaxUnneededBytes) &&
         !this->rules.needsBody(this->parser->get());
}

void
ServerSession::SendContinue()
{
  // Written synchronously, since the client does not send its body before it
  // has received this.
  static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  error_code error;
  asio::write(this->socket, asio::buffer(kContinue), error);
  if (error) {
    this->Close(ConnectionEnd::ConnectionLost);
  }
}

void
ServerSession::ReadBody()
{
  this->input = Input::Part;
  this->since = BootClock::now();
  if (this->parser->is_done() || this->IsBodySkipped()) {
    this->OnRequest();
    return;
  }
  this->readingBody = true;
  if (!this->AccountInput()) {
    return;
  }
  const auto& request = this->parser->get();
  if (request.version() >= kHttp11 &&
      request[http::field::expect] == "100-continue") {
    this->SendContinue();
  }
  if (this->state != State::Open) {
    return;
  }
  this->parser->eager(true);
  this->ParseInput();
}

/** Drops the request that is being read if the connection is closed after the
 * responses before it: its client sends it again.
 * @return Whether it was dropped. */
bool
ServerSession::DropRequestIfStopped()
{
  if (this->pipeline.IsEmpty() ||
      (!this->pipeline.IsStopped() && !this->MayAnnounceClose())) {
    return false;
  }
  this->pipeline.StopReading();
  this->input = Input::Nothing;
  this->parser.reset();
  this->readingBody = false;
  this->memory->SetInput(this->id, this->InputBytes());
  this->WaitForData();
  return true;
}

/** Whether the connection is to be closed and the last response of the pipeline
 * can still tell the client that the requests behind it are not run. */
bool
ServerSession::MayAnnounceClose() const
{
  return this->limits.closeAfterResponse && !this->responses.empty() &&
         !this->responses.back()->IsBegun();
}

void
ServerSession::RejectRequest(const error_code& aError)
{
  unsigned status = kBadRequest;
  if (aError == http::error::header_limit) {
    status = kHeaderTooLarge;
  } else if (aError == http::error::body_limit) {
    status = kBodyTooLarge;
  } else if (aError.category() !=
               http::make_error_code(http::error::bad_method).category() ||
             aError == http::error::end_of_stream ||
             aError == http::error::partial_message) {
    this->Close(aError == asio::error::eof ? ConnectionEnd::ClientClosed
                                           : ConnectionEnd::ConnectionLost);
    return;
  }
  if (this->DropRequestIfStopped()) {
    return;
  }
  this->RespondInstead(TextResponse(status, aError.message() + "\n"));
}

void
ServerSession::RefuseForRoom(RoomReason aReason)
{
  if (this->memory->onRefused) {
    this->memory->onRefused(this->listener, this->address, aReason);
  }
  if (!this->parser->is_header_done()) {
    // There may be no request yet that a response could belong to.
    if (this->pipeline.IsEmpty()) {
      this->Close(ConnectionEnd::NoRoom);
      return;
    }
    this->pipeline.StopReading();
    this->input = Input::Nothing;
    this->parser.reset();
    this->memory->SetInput(this->id, this->InputBytes());
    this->WaitForData();
    return;
  }
  if (this->DropRequestIfStopped()) {
    return;
  }
  this->RespondInstead(RoomRefusal());
}

/** Drops what has arrived of requests that are not read. */
void
ServerSession::DropInput()
{
  this->pipelined = this->pipelined || this->buffer.size() > 0;
  this->buffer = boost::beast::flat_buffer();
  this->arrivals.Clear();
  this->memory->SetInput(this->id, this->InputBytes());
}

/** Responds to the request that is being read without passing it on. The rest
 * of it is not read, so the connection is closed after that. */
void
ServerSession::RespondInstead(HttpResponse aResponse)
{
  const auto& request = this->parser->get();
  if (this->rules.onRefusal) {
    this->rules.onRefusal(request, aResponse);
  }
  this->input = Input::Nothing;
  auto pending = std::make_shared<PendingResponse>();
  pending->requestId = std::string(request[this->rules.requestIdField]);
  pending->receivedAt = this->since;
  pending->headRequest = request.method() == http::verb::head;
  this->parser.reset();
  this->readingBody = false;
  this->DropInput();
  this->responses.push_back(pending);
  if (this->rules.mayRunConcurrently) {
    this->memory->Shares().OnStarted(this->id, this->address);
  }
  this->pipeline.OnPassedOn(false);
  this->pipeline.StopReading();
  this->UpdatePhase();
  this->WaitForData();
  this->Respond(pending, std::move(aResponse));
}

void
ServerSession::OnRequest()
{
  if (this->DropRequestIfStopped()) {
    return;
  }
  // The client may have left while its request waited to be read.
  if (PeekByte(this->socket) == 0) {
    this->Close(ConnectionEnd::ClientClosed);
    return;
  }
  this->input = Input::Nothing;
  this->since = BootClock::now();
  bool wholeRequest = this->parser->is_done();
  // The account knows what the request holds before it is passed on.
  this->memory->SetInput(this->id, this->InputBytes());
  auto request = this->parser->Release();
  this->parser.reset();
  this->readingBody = false;
  this->counted = true;
  auto pending = std::make_shared<PendingResponse>();
  pending->requestBytes = this->memory->Account().OnRequestRead(this->id);
  if (this->rules.mayRunConcurrently) {
    this->memory->Shares().OnStarted(this->id, this->address);
  }
  pending->requestId = std::string(request[this->rules.requestIdField]);
  pending->receivedAt = this->headerReceivedAt;
  pending->headRequest = request.method() == http::verb::head;
  pending->mustNotChunk = request.version() < kHttp11;
  this->responses.push_back(pending);
  this->pipeline.OnPassedOn(this->concurrent);
  if (!request.keep_alive() || !wholeRequest) {
    this->pipeline.StopReading();
  }
  if (!wholeRequest) {
    this->DropInput();
  }
  this->UpdatePhase();
  auto current = std::make_shared<Exchange>(
    std::move(request), this->weak_from_this(), pending);
  current->receivedAt = this->headerReceivedAt;
  bool othersWait = this->buffer.size() > 0 || this->responses.size() > 1;
  bool beyondShare =
    othersWait && !this->memory->Shares().MayRunBeside(this->id, this->address);
  current->sentAhead = beyondShare || (this->sentAhead && !this->concurrent);
  pending->exchange = current;
  this->handler(std::move(current));
  this->ReadNext();
}

void
ServerSession::Respond(const std::shared_ptr<PendingResponse>& aPending,
                       HttpResponse aResponse)
{
  aPending->SetWhole(std::move(aResponse));
  this->OnResponseChanged(aPending);
}

void
ServerSession::WriteChunk(const std::shared_ptr<PendingResponse>& aPending,
                          asio::const_buffer aChunk,
                          std::function<void()> aNext)
{
  // A response that waits for its turn must not hold up the call that it comes
  // from: the time limit of that call would pass meanwhile.
  bool waits = !this->responses.empty() && aPending != this->responses.front();
  if (waits && aPending->Hold(aChunk)) {
    this->AccountResponse(*aPending, aChunk.size());
    asio::post(this->socket.get_executor(), std::move(aNext));
  } else {
    aPending->SetChunk(aChunk, std::move(aNext));
  }
  this->OnResponseChanged(aPending);
}

void
ServerSession::AccountResponse(PendingResponse& aPending, size_t aBytes)
{
  if (this->state == State::Open) {
    aPending.heldBytes += aBytes;
    this->memory->Account().AddResponse(this->id, aBytes);
  }
}

void
ServerSession::OnResponseChanged(
  const std::shared_ptr<PendingResponse>& aPending)
{
  if (this->state != State::Open || this->responses.empty()) {
    return;
  }
  if (aPending == this->responses.front()) {
    this->WriteNext();
    return;
  }
  auto bytes = aPending->HeldBytes();
  if (bytes > aPending->waitedBytes) {
    this->pipeline.OnResponseWaiting(bytes - aPending->waitedBytes);
    aPending->waitedBytes = bytes;
    if (aPending->heldBytes == 0) {
      this->AccountResponse(*aPending, aPending->waitedBytes);
    }
  }
}

void
ServerSession::Abort(const std::shared_ptr<PendingResponse>& aPending,
                     ConnectionEnd aEnd)
{
  auto found =
    std::find(this->responses.begin(), this->responses.end(), aPending);
  if (found == this->responses.end()) {
    return;
  }
  if (found == this->responses.begin()) {
    this->Close(aEnd);
    return;
  }
  // The responses before it are written; those behind it cannot be any more.
  aPending->Abort(aEnd);
  this->pipeline.StopReading();
  std::vector<std::shared_ptr<PendingResponse>> behind(std::next(found),
                                                       this->responses.end());
  for (const auto& pending : behind) {
    this->NotifyDisconnect(*pending, aEnd);
  }
}

void
ServerSession::WriteNext()
{
  if (this->writing || this->state != State::Open || this->responses.empty()) {
    return;
  }
  auto& pending = *this->responses.front();
  auto step = pending.NextStep();
  if (step == PendingResponse::Step::Wait) {
    return;
  }
  if (step == PendingResponse::Step::Abort) {
    this->Close(pending.AbortedBy());
    return;
  }
  if (pending.EndsWithConnection()) {
    this->SetResetOnClose(true);
  }
  bool announcesClose = this->limits.closeAfterResponse && !pending.IsBegun();
  if (announcesClose || pending.EndsWithConnection()) {
    this->pipeline.StopReading();
  }
  pending.Begin(!this->pipeline.ClosesAfterNextResponse());
  this->writing = true;
  this->writeStartedAt = BootClock::now();
  this->writeBytes = pending.HeldBytes();
  auto onWritten =
    [self = this->shared_from_this(), written = this->responses.front(), step](
      error_code aError, size_t) { self->OnWritten(step, aError); };
  if (step == PendingResponse::Step::Whole) {
    http::async_write(this->socket, pending.Whole(), std::move(onWritten));
  } else {
    http::async_write(this->socket, pending.Prepare(), std::move(onWritten));
  }
}

void
ServerSession::OnWritten(PendingResponse::Step aStep, const error_code& aError)
{
  this->writing = false;
  if (this->state != State::Open) {
    return;
  }
  if (aError && aError != http::error::need_buffer) {
    this->Close(ConnectionEnd::ConnectionLost);
    return;
  }
  if (aStep != PendingResponse::Step::Chunk) {
    this->FinishResponse();
    return;
  }
  auto next = this->responses.front()->TakeChunkCallback();
  if (next) {
    next();
  }
  this->WriteNext();
}

void
ServerSession::FinishResponse()
{
  const auto& written = *this->responses.front();
  this->sentAhead = this->sentAhead ||
                    (this->pipeline.IsExclusive() && this->buffer.size() > 0);
  this->pipeline.OnResponseWritten(written.waitedBytes);
  this->memory->Account().RemoveRequest(this->id, written.requestBytes);
  this->memory->Account().RemoveResponse(this->id, written.heldBytes);
  if (this->rules.mayRunConcurrently) {
    this->memory->Shares().OnEnded(this->id, this->address);
  }
  if (written.EndsWithConnection()) {
    this->SetResetOnClose(false);
  }
  this->responses.pop_front();
  this->UpdatePhase();
  if (this->input != Input::Part) {
    this->since = BootClock::now();
  }
  bool isLast = this->pipeline.IsStopped() ||
                (this->limits.closeAfterResponse && !this->HasNextRequest());
  if (this->pipeline.IsEmpty() && isLast) {
    this->CloseAfterResponse();
    return;
  }
  this->WriteNext();
  this->ReadNext();
}

} // namespace fescuetiller
