#include "http/serversession.h"

#include <algorithm>
#include <cerrno>

#include "http/socketstate.h"

namespace fescuetiller {

namespace {

using boost::system::error_code;

/** HTTP/1.1, as Beast encodes versions. */
constexpr unsigned kHttp11 = 11;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kBodyTooLarge = 413;
constexpr unsigned kHeaderTooLarge = 431;
/** Largest buffer that an idle connection keeps. */
constexpr size_t kIdleBufferBytes = 4 * 1024;
/** How much is read ahead of requests that have to wait. What exceeds it stays
 * with the client. */
constexpr size_t kMaxReadAheadBytes = 64 * 1024;

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
  if (!this->responseStarted && !this->clientDisconnected) {
    this->Abort();
  }
}

void
Exchange::Respond(HttpResponse aResponse)
{
  this->responseStarted = true;
  if (auto open = this->session.lock()) {
    open->Respond(this->response, std::move(aResponse));
  }
}

void
Exchange::StartResponse(ResponseHeaders aHeaders)
{
  this->responseStarted = true;
  this->response->Start(std::move(aHeaders));
}

void
Exchange::WriteChunk(asio::const_buffer aChunk, std::function<void()> aNext)
{
  auto open = this->session.lock();
  if (open != nullptr && this->responseStarted) {
    this->response->SetChunk(aChunk, std::move(aNext));
    open->OnResponseChanged(this->response);
  }
}

void
Exchange::EndResponse()
{
  auto open = this->session.lock();
  if (open != nullptr && this->responseStarted) {
    this->response->End();
    open->OnResponseChanged(this->response);
  }
}

void
Exchange::Abort()
{
  this->onClientDisconnect = nullptr;
  if (auto open = this->session.lock()) {
    open->Abort(this->response);
  }
}

bool
Exchange::HasStartedResponse() const
{
  return this->responseStarted;
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

ServerSession::ServerSession(Tcp::socket aSocket,
                             const Handler& aHandler,
                             const ConcurrencyRule& aMayRunConcurrently,
                             const SessionLimits& aLimits)
  : socket(std::move(aSocket))
  , handler(aHandler)
  , mayRunConcurrently(aMayRunConcurrently)
  , limits(aLimits)
  , since(BootClock::now())
{
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
      this->Close();
    }
    return;
  }
  bool slow =
    this->input == Input::Part && elapsed > this->limits.headerTimeout;
  bool idle = this->input == Input::Nothing && this->pipeline.IsEmpty() &&
              elapsed > this->limits.idleTimeout && !this->HasUnreadData();
  if (slow && !this->pipeline.IsEmpty()) {
    this->pipeline.StopReading();
  } else if (slow || idle) {
    this->Close();
  }
}

void
ServerSession::Close()
{
  if (this->state == State::Closed) {
    return;
  }
  this->state = State::Closed;
  error_code ignored; // The socket is closed in any case.
  this->socket.close(ignored);
  auto unanswered = std::move(this->responses);
  this->responses.clear();
  for (const auto& pending : unanswered) {
    pending->Abort();
    this->NotifyDisconnect(*pending);
  }
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
    this->Close();
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
        self->Close();
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
    this->Close();
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
        self->Close();
        return;
      }
      self->DiscardData();
    });
}

void
ServerSession::NotifyDisconnect(const PendingResponse& aPending)
{
  auto current = aPending.exchange.lock();
  if (current == nullptr || current->clientDisconnected) {
    return;
  }
  current->clientDisconnected = true;
  auto notify = std::move(current->onClientDisconnect);
  current->onClientDisconnect = nullptr;
  if (notify) {
    notify();
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
                              self->Close();
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
  if (this->input == Input::Nothing && this->pipeline.MayRead()) {
    this->ReadHeader();
  } else {
    this->ReadAhead();
  }
}

/** Reads data that has to wait, to detect that the client disconnects. */
void
ServerSession::ReadAhead()
{
  if (this->buffer.size() >= kMaxReadAheadBytes) {
    return;
  }
  auto space = this->buffer.prepare(kIdleBufferBytes);
  auto count = ReadAvailable(this->socket, space);
  if (count > 0) {
    this->buffer.commit(static_cast<size_t>(count));
  } else if (count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
    this->Close();
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
    if (this->pipeline.MayPassOn(this->concurrent)) {
      this->ReadBody();
    }
    return;
  }
  if (this->input == Input::Part) {
    return;
  }
  if (this->pipeline.MayRead() && this->buffer.size() > 0) {
    this->pipelined = true;
    this->ReadHeader();
    return;
  }
  if (this->pipeline.IsEmpty() && this->buffer.size() == 0 &&
      this->buffer.capacity() > kIdleBufferBytes) {
    this->buffer = boost::beast::flat_buffer();
  }
  this->WaitForData();
}

void
ServerSession::ReadHeader()
{
  this->input = Input::Part;
  this->since = BootClock::now();
  this->parser = std::make_unique<Parser>();
  this->parser->header_limit(this->limits.maxHeaderBytes);
  this->parser->body_limit(this->limits.maxBodyBytes);
  http::async_read_header(
    this->socket,
    this->buffer,
    *this->parser,
    [self = this->shared_from_this()](error_code aError, size_t) {
      if (self->state != State::Open || self->input != Input::Part) {
        return;
      }
      if (aError) {
        self->RejectRequest(aError);
        return;
      }
      self->OnHeader();
    });
}

void
ServerSession::OnHeader()
{
  if (this->DropRequestIfStopped()) {
    return;
  }
  this->headerReadAt = BootClock::now();
  const auto& request = this->parser->get();
  // The client waits for an interim response before it sends the body, and
  // that response belongs to the oldest request.
  // HTTP/1.0 has no requests before the response to the first one.
  this->concurrent =
    request.version() >= kHttp11 && request[http::field::expect].empty() &&
    this->mayRunConcurrently && this->mayRunConcurrently(request);
  if (!this->pipeline.MayPassOn(this->concurrent)) {
    this->input = Input::Held;
    this->WaitForData();
    return;
  }
  this->ReadBody();
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
    this->Close();
  }
}

void
ServerSession::ReadBody()
{
  this->input = Input::Part;
  this->since = BootClock::now();
  const auto& request = this->parser->get();
  if (request.version() >= kHttp11 &&
      request[http::field::expect] == "100-continue") {
    this->SendContinue();
  }
  if (this->state != State::Open) {
    return;
  }
  if (this->parser->is_done()) {
    this->OnRequest();
    return;
  }
  http::async_read(
    this->socket,
    this->buffer,
    *this->parser,
    [self = this->shared_from_this()](error_code aError, size_t) {
      if (self->state != State::Open || self->input != Input::Part) {
        return;
      }
      if (aError) {
        self->RejectRequest(aError);
        return;
      }
      self->OnRequest();
    });
}

/** Drops the request that is being read if the connection is closed after the
 * responses before it: its client sends it again.
 * @return Whether it was dropped. */
bool
ServerSession::DropRequestIfStopped()
{
  if (this->pipeline.IsEmpty() ||
      (!this->pipeline.IsStopped() && !this->limits.closeAfterResponse)) {
    return false;
  }
  this->pipeline.StopReading();
  this->input = Input::Nothing;
  this->WaitForData();
  return true;
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
    this->Close();
    return;
  }
  if (this->DropRequestIfStopped()) {
    return;
  }
  this->input = Input::Nothing;
  auto pending = std::make_shared<PendingResponse>();
  pending->headRequest = this->parser->get().method() == http::verb::head;
  this->responses.push_back(pending);
  this->pipeline.OnPassedOn(false);
  this->pipeline.StopReading();
  this->WaitForData();
  this->Respond(pending, TextResponse(status, aError.message() + "\n"));
}

void
ServerSession::OnRequest()
{
  if (this->DropRequestIfStopped()) {
    return;
  }
  // The client may have left while its request waited to be read.
  if (PeekByte(this->socket) == 0) {
    this->Close();
    return;
  }
  this->input = Input::Nothing;
  this->since = BootClock::now();
  auto request = this->parser->release();
  this->parser.reset();
  auto pending = std::make_shared<PendingResponse>();
  pending->headRequest = request.method() == http::verb::head;
  pending->mustNotChunk = request.version() < kHttp11;
  this->responses.push_back(pending);
  this->pipeline.OnPassedOn(this->concurrent);
  if (!request.keep_alive()) {
    this->pipeline.StopReading();
  }
  auto current = std::make_shared<Exchange>(
    std::move(request), this->weak_from_this(), pending);
  current->receivedAt = this->headerReadAt;
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
ServerSession::OnResponseChanged(
  const std::shared_ptr<PendingResponse>& aPending)
{
  if (this->state != State::Open || this->responses.empty()) {
    return;
  }
  if (aPending == this->responses.front()) {
    this->WriteNext();
  } else if (aPending->waitedBytes == 0) {
    aPending->waitedBytes = aPending->HeldBytes();
    this->pipeline.OnResponseWaiting(aPending->waitedBytes);
  }
}

void
ServerSession::Abort(const std::shared_ptr<PendingResponse>& aPending)
{
  auto found =
    std::find(this->responses.begin(), this->responses.end(), aPending);
  if (found == this->responses.end()) {
    return;
  }
  if (found == this->responses.begin()) {
    this->Close();
    return;
  }
  // The responses before it are written; those behind it cannot be any more.
  aPending->Abort();
  this->pipeline.StopReading();
  std::vector<std::shared_ptr<PendingResponse>> behind(std::next(found),
                                                       this->responses.end());
  for (const auto& pending : behind) {
    this->NotifyDisconnect(*pending);
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
    this->Close();
    return;
  }
  if (pending.EndsWithConnection()) {
    this->SetResetOnClose(true);
  }
  if (this->limits.closeAfterResponse || pending.EndsWithConnection()) {
    this->pipeline.StopReading();
  }
  pending.SetKeepAlive(!this->pipeline.ClosesAfterNextResponse());
  this->writing = true;
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
    this->Close();
    return;
  }
  if (aStep != PendingResponse::Step::Chunk) {
    this->FinishResponse();
    return;
  }
  auto next = this->responses.front()->TakeChunkCallback();
  next();
  this->WriteNext();
}

void
ServerSession::FinishResponse()
{
  const auto& written = *this->responses.front();
  this->pipeline.OnResponseWritten(written.waitedBytes);
  if (written.EndsWithConnection()) {
    this->SetResetOnClose(false);
  }
  this->responses.pop_front();
  if (this->input != Input::Part) {
    this->since = BootClock::now();
  }
  if (this->pipeline.IsEmpty() && this->pipeline.IsStopped()) {
    this->CloseAfterResponse();
    return;
  }
  this->WriteNext();
  this->ReadNext();
}

} // namespace fescuetiller
