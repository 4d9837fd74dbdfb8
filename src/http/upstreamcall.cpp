#include "http/upstreamcall.h"

#include <algorithm>
#include <limits>
#include <regex>

#include <netinet/tcp.h>

#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace fescuetiller {

namespace {

using boost::system::error_code;

/** Response bodies up to this size are passed on whole, so that headers and
 * body are sent by one write instead of two. */
constexpr uint64_t kMaxWholeBodyBytes = 32 * 1024;
/** Chunk size for longer responses; limits the memory that a call uses. */
constexpr size_t kChunkBytes = 32 * 1024;
/** From this body size on, the response is read while the request is still
 * being written, since the peer may respond before it has read the whole body.
 */
constexpr size_t kLongBodyBytes = 16 * 1024;
/** Size limit for the bodies of skipped responses, which hold up the call. */
constexpr size_t kMaxSkippedBytes = 1024 * 1024;
/** Many more than a server sends while it works on a request. */
constexpr size_t kMaxInterimResponses = 1000;
/** Size limit for response headers, a common default of HTTP servers. */
constexpr uint32_t kMaxHeaderBytes = 64 * 1024;
/** Largest buffer that an idle connection keeps. */
constexpr size_t kIdleBufferBytes = 4 * 1024;
/** Number of requests after which a connection is closed whose ids are kept. */
constexpr size_t kMaxRequestsPerConnection = 1000;
/** Share of the timeout in a peer's Keep-Alive header after which a connection
 * is not reused. The margin avoids sending a request while the peer closes the
 * connection. */
constexpr double kKeepAliveShare = 0.8;

/** The timeout of a "Keep-Alive: timeout=N" header, if present. */
std::optional<Duration>
KeepAliveTimeout(const http::fields& aFields)
{
  const std::string value(aFields[http::field::keep_alive]);
  const std::string name = "timeout=";
  auto start = value.find(name);
  unsigned seconds = 0;
  if (start == std::string::npos) {
    return std::nullopt;
  }
  start += name.size();
  auto end = value.find_first_not_of("0123456789", start);
  if (!boost::conversion::try_lexical_convert(value.substr(start, end - start),
                                              seconds)) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

/** Whether a text contains the beginning of a status line, "HTTP/1.1 200". */
bool
ContainsStatusLine(boost::string_view aText)
{
  static const std::regex kStatusLine("HTTP/1\\.[0-9] [0-9]{3}");
  return aText.find("HTTP/1.") != boost::string_view::npos &&
         std::regex_search(aText.begin(), aText.end(), kStatusLine);
}

/** Whether the bytes that were read are no response, rather than the beginning
 * of one that broke off. */
bool
IsMalformed(const error_code& aError)
{
  return aError.category() == http::make_error_code(http::error{}).category() &&
         aError != http::error::end_of_stream &&
         aError != http::error::partial_message;
}

void
SetOptions(Tcp::socket& aSocket, Duration aAckTimeout)
{
  error_code ignored; // Without the options, calls only take longer.
  aSocket.set_option(Tcp::no_delay(true), ignored);
  unsigned timeout = static_cast<unsigned>(ToMilliseconds(aAckTimeout));
  ::setsockopt(aSocket.native_handle(),
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &timeout,
               sizeof(timeout));
}

} // namespace

std::shared_ptr<UpstreamCall>
UpstreamCall::Start(ConnectionPool& aPool,
                    const Tcp::endpoint& aPeer,
                    HttpRequest aRequest,
                    CallOptions aOptions,
                    std::shared_ptr<ResponseReceiver> aReceiver)
{
  std::shared_ptr<UpstreamCall> call(new UpstreamCall(aPool,
                                                      aPeer,
                                                      std::move(aRequest),
                                                      std::move(aOptions),
                                                      std::move(aReceiver)));
  if (!call->options.mayRepeatResponses) {
    call->connection = aPool.Take(aPeer, call->startedAt);
  } else if (call->request.method() != http::verb::head) {
    // The end of a repeated response would be unknown to a HEAD request.
    call->connection = aPool.Take(aPeer, call->startedAt, call->RequestId());
  }
  // Posted, so that the receiver is not called before Start has returned.
  asio::post(aPool.Context(), [call] {
    if (call->ended) {
      return;
    }
    if (call->connection == nullptr) {
      call->Connect();
    } else {
      call->Send();
    }
  });
  return call;
}

UpstreamCall::UpstreamCall(ConnectionPool& aPool,
                           const Tcp::endpoint& aPeer,
                           HttpRequest aRequest,
                           CallOptions aOptions,
                           std::shared_ptr<ResponseReceiver> aReceiver)
  : pool(aPool)
  , peer(aPeer)
  , request(std::move(aRequest))
  , options(std::move(aOptions))
  , receiver(std::move(aReceiver))
  , timer(aPool.Context())
  , startedAt(BootClock::now())
{
}

void
UpstreamCall::Cancel()
{
  if (this->ended) {
    return;
  }
  this->ended = true;
  this->timer.cancel();
  this->receiver.reset();
  if (this->connection != nullptr) {
    error_code ignored; // The socket is closed in any case.
    this->connection->socket.close(ignored);
  }
}

CallStage
UpstreamCall::Stage() const
{
  return this->stage;
}

void
UpstreamCall::ArmTimer(Duration aTimeout, const char* aOperation)
{
  this->timer.expires_after(aTimeout);
  this->timer.async_wait([self = this->shared_from_this(),
                          aOperation](error_code aError) {
    // A wait that had ended before the timer was set again, but was not
    // handled yet, ends without an error.
    bool isDue = self->timer.expiry() <= asio::steady_timer::clock_type::now();
    if (!aError && isDue && !self->ended) {
      self->Fail(aOperation, asio::error::timed_out);
    }
  });
}

void
UpstreamCall::Connect()
{
  ++this->pool.opened;
  this->connection = std::make_unique<Connection>(this->pool.Context());
  this->ArmTimer(std::min(this->options.connectTimeout, this->options.timeout),
                 "connect");
  this->connection->socket.async_connect(
    this->peer, [self = this->shared_from_this()](error_code aError) {
      if (self->ended) {
        return;
      }
      if (aError) {
        self->Fail("connect", aError);
        return;
      }
      SetOptions(self->connection->socket, self->options.ackTimeout);
      self->Send();
    });
}

void
UpstreamCall::Send()
{
  auto left = this->options.timeout - (BootClock::now() - this->startedAt);
  if (left <= Duration(0)) {
    this->Fail("send request", asio::error::timed_out);
    return;
  }
  if (this->options.beforeSend && !this->options.beforeSend(this->request)) {
    this->withdrawn = true;
    this->Fail(
      "send request", error_code(), "the request may no longer be sent");
    return;
  }
  this->ArmTimer(left, "wait for answer");
  this->WriteRequest();
}

void
UpstreamCall::WriteRequest()
{
  // From here on the peer may have received the request, even if writing it
  // fails.
  this->stage = CallStage::Sent;
  if (this->options.mayRepeatResponses) {
    this->connection->OnSent(this->RequestId());
  }
  http::async_write(
    this->connection->socket,
    this->request,
    [self = this->shared_from_this()](error_code aError, size_t aSize) {
      if (self->ended) {
        return;
      }
      if (aError) {
        self->OnWriteFailed(aError, aSize);
        return;
      }
      self->requestWritten = true;
      if (!self->ReadsWhileWriting()) {
        self->ReadHeaders();
      }
    });
  if (this->ReadsWhileWriting()) {
    this->ReadHeaders();
  }
}

void
UpstreamCall::OnWriteFailed(const error_code& aError, size_t aSize)
{
  this->writeError = aError;
  if (this->stage == CallStage::ResponseStarted) {
    // The peer need not read a long body before it responds. Whether the
    // response is complete is decided when it ends.
    return;
  }
  bool mayBeProcessed = this->options.mayProcessPart && aSize > 0;
  this->stage = mayBeProcessed ? CallStage::Sent : CallStage::NotSent;
  // A response may have arrived before the connection failed. Otherwise,
  // reading it fails at once.
  if (!mayBeProcessed || !this->ReadsWhileWriting()) {
    this->Fail("send request", aError);
  }
}

bool
UpstreamCall::ReadsWhileWriting() const
{
  return this->request.body().size() >= kLongBodyBytes;
}

bool
UpstreamCall::IsEndLost() const
{
  // The system reports the failure of a connection to one operation only. If
  // that was the write, reading ends as if the peer had closed the connection.
  // A broken pipe is reported if the peer did so before the connection failed.
  return this->parser->need_eof() && this->writeError &&
         this->writeError != asio::error::broken_pipe;
}

void
UpstreamCall::PrepareParser()
{
  this->parser = std::make_unique<ResponseParser>(this->connection->buffer);
  this->parser->header_limit(kMaxHeaderBytes);
  this->parser->body_limit(std::numeric_limits<uint64_t>::max());
  if (this->request.method() == http::verb::head) {
    this->parser->skip(true);
  }
}

void
UpstreamCall::ReadHeaders()
{
  this->PrepareParser();
  http::async_read_header(
    this->connection->socket,
    this->connection->buffer,
    *this->parser,
    [self = this->shared_from_this()](error_code aError, size_t) {
      if (self->ended) {
        return;
      }
      if (aError && self->writeError && !IsMalformed(aError)) {
        self->Fail("send request", self->writeError);
        return;
      }
      if (aError) {
        self->Fail("read head of answer", aError);
        return;
      }
      self->OnHeaders();
    });
}

std::string_view
UpstreamCall::RequestId() const
{
  auto id = this->request[this->options.correlationField];
  return { id.data(), id.size() };
}

bool
UpstreamCall::IsResponseToRequest() const
{
  const auto& field = this->options.correlationField;
  if (field.empty()) {
    return true;
  }
  auto echoed = this->parser->get()[field];
  if (!echoed.empty() && echoed == this->request[field]) {
    return true;
  }
  if (!echoed.empty()) {
    this->ReportUnexpected(UnexpectedData::Kind::OtherId, false);
    return false;
  }
  bool accepted =
    !this->options.mayRepeatResponses || this->connection->responses == 0;
  this->ReportUnexpected(UnexpectedData::Kind::NoId, accepted);
  return accepted;
}

bool
UpstreamCall::MayBeTwoResponses() const
{
  if (!this->options.mayRepeatResponses || this->connection->responses == 0) {
    return false;
  }
  // The last value of the first response has taken in the status line of the
  // second one.
  const auto& response = this->parser->get();
  return ContainsStatusLine(response.reason()) ||
         response.count(this->options.correlationField) > 1 ||
         std::any_of(response.begin(), response.end(), [](const auto& aField) {
           return ContainsStatusLine(aField.value());
         });
}

void
UpstreamCall::ReportUnexpected(UnexpectedData::Kind aKind,
                               bool aAccepted,
                               const std::string& aReason) const
{
  UnexpectedData data;
  data.kind = aKind;
  data.peer = this->peer;
  const auto& field = this->options.correlationField;
  if (!field.empty()) {
    data.requestId = std::string(this->request[field]);
    data.responseId = std::string(this->parser->get()[field]);
  }
  data.status = this->parser->get().result_int();
  data.accepted = aAccepted;
  data.reason = aReason;
  this->pool.Report(data);
}

void
UpstreamCall::OnHeaders()
{
  // Interim (1xx) responses precede the final one.
  if (this->parser->IsInterim()) {
    if (++this->interimResponses > kMaxInterimResponses) {
      this->Fail(
        "read head of answer", error_code(), "too many interim answers");
      return;
    }
    this->ReadHeaders();
    return;
  }
  if (this->MayBeTwoResponses()) {
    this->ReportUnexpected(UnexpectedData::Kind::TwoHeads, false);
    this->Fail("read head of answer", error_code(), "parts of two answers");
    return;
  }
  bool expected = this->IsResponseToRequest();
  ++this->connection->responses;
  if (!expected) {
    this->SkipResponse();
    return;
  }
  this->stage = CallStage::ResponseStarted;
  // Without a body, the stated length says nothing about what follows.
  if (this->parser->is_done()) {
    this->Complete();
    return;
  }
  auto length = this->parser->content_length();
  if (length && *length <= kMaxWholeBodyBytes) {
    this->body.resize(static_cast<size_t>(*length));
    this->ReadWholeBody();
    return;
  }
  this->body.resize(kChunkBytes);
  this->streaming = true;
  this->connection->buffer.reserve(kChunkBytes);
  ResponseHeaders headers;
  headers.message.base() = this->parser->get().base();
  if (length) {
    headers.contentLength = *length;
  }
  auto self = this->shared_from_this();
  this->receiver->OnHeaders(std::move(headers));
  if (!this->ended) {
    this->ReadChunk();
  }
}

void
UpstreamCall::SkipResponse()
{
  // A response to HEAD has no body, so it is unknown where one to another
  // request ends. One without a length takes in what follows.
  if (this->request.method() == http::verb::head || this->parser->need_eof() ||
      this->skippedBytes > kMaxSkippedBytes) {
    this->Fail("match answer", error_code(), "an answer to another request");
    return;
  }
  if (this->parser->is_done()) {
    this->body.clear();
    this->ReadHeaders();
    return;
  }
  this->body.resize(kChunkBytes);
  this->ReadBody(true, [this](size_t aSize) {
    this->skippedBytes += aSize;
    this->SkipResponse();
  });
}

void
UpstreamCall::ReadWholeBody()
{
  this->ReadBody(false, [this](size_t aSize) {
    this->bodyBytes = aSize;
    this->Complete();
  });
}

/** Reads into the body buffer.
 * @param aMore Whether the body may be longer than the buffer.
 * @param aRead Called with the number of bytes, unless the call has ended. */
void
UpstreamCall::ReadBody(bool aMore, std::function<void(size_t)> aRead)
{
  auto& target = this->parser->get().body();
  target.data = this->body.data();
  target.size = this->body.size();
  target.more = aMore;
  http::async_read(this->connection->socket,
                   this->connection->buffer,
                   *this->parser,
                   [self = this->shared_from_this(),
                    read = std::move(aRead)](error_code aError, size_t) {
                     if (self->ended) {
                       return;
                     }
                     if (aError && aError != http::error::need_buffer) {
                       self->Fail("read answer", aError);
                       return;
                     }
                     if (self->parser->is_done() && self->IsEndLost()) {
                       self->Fail("read answer", self->writeError);
                       return;
                     }
                     read(self->body.size() - self->parser->get().body().size);
                   });
}

void
UpstreamCall::ReadChunk()
{
  if (this->parser->is_done()) {
    this->Complete();
    return;
  }
  if (this->options.stallTimeout) {
    this->ArmTimer(*this->options.stallTimeout, "wait for rest of answer");
  }
  this->ReadBody(true, [this](size_t aSize) {
    if (aSize == 0) {
      this->ReadChunk();
      return;
    }
    auto self = this->shared_from_this();
    this->receiver->OnBodyChunk(asio::buffer(this->body.data(), aSize), [self] {
      if (!self->ended) {
        self->ReadChunk();
      }
    });
  });
}

HttpResponse
UpstreamCall::TakeResponse()
{
  HttpResponse response;
  response.base() = this->parser->get().base();
  this->body.resize(this->bodyBytes);
  response.body() = std::move(this->body);
  return response;
}

void
UpstreamCall::Complete()
{
  this->ended = true;
  this->timer.cancel();
  auto finalReceiver = std::move(this->receiver);
  if (this->streaming) {
    this->ReturnConnection();
    finalReceiver->OnBodyEnd();
    return;
  }
  auto response = this->TakeResponse();
  this->ReturnConnection();
  finalReceiver->OnCompleteResponse(std::move(response));
}

bool
UpstreamCall::MayHaveUnreadBody() const
{
  return HasNoBody(this->parser->get().result()) &&
         (this->parser->chunked() ||
          this->parser->content_length().value_or(0) > 0);
}

bool
UpstreamCall::IsReusable() const
{
  // Data that no request waits for makes the rest of the connection unsafe.
  if (!this->requestWritten || !this->parser->keep_alive() ||
      this->parser->need_eof() || this->connection->buffer.size() > 0 ||
      this->MayHaveUnreadBody()) {
    return false;
  }
  if (!this->options.mayRepeatResponses) {
    return true;
  }
  // A repeated response could not be recognized without an id, and after a HEAD
  // request it is unknown where it would end.
  const auto& field = this->options.correlationField;
  return this->parser->get()[field] == this->request[field] &&
         this->request.method() != http::verb::head &&
         this->connection->sentIds.size() < kMaxRequestsPerConnection;
}

void
UpstreamCall::ReturnConnection()
{
  if (this->connection->buffer.size() > 0) {
    this->ReportUnexpected(UnexpectedData::Kind::AfterResponse, false);
  }
  if (!this->IsReusable()) {
    this->connection.reset();
    return;
  }
  auto idle = KeepAliveTimeout(this->parser->get());
  auto allowed = this->options.idleTimeout;
  if (idle) {
    allowed = std::min<Duration>(
      allowed, std::chrono::duration_cast<Duration>(*idle * kKeepAliveShare));
  }
  this->connection->idleUntil = BootClock::now() + allowed;
  if (this->connection->buffer.capacity() > kIdleBufferBytes) {
    this->connection->buffer.clear();
    this->connection->buffer.shrink_to_fit();
  }
  this->pool.Put(this->peer, std::move(this->connection));
}

void
UpstreamCall::Fail(const std::string& aOperation,
                   const error_code& aError,
                   const std::string& aMessage)
{
  this->ended = true;
  this->timer.cancel();
  if (IsMalformed(aError)) {
    this->ReportUnexpected(
      UnexpectedData::Kind::Malformed, false, aError.message());
  }
  error_code ignored; // The socket is closed in any case.
  this->connection->socket.close(ignored);
  CallFailure failure;
  failure.stage = this->stage;
  failure.connectionRefused = aError == asio::error::connection_refused;
  failure.timedOut = aError == asio::error::timed_out;
  failure.withdrawn = this->withdrawn;
  failure.error = { this->stage == CallStage::NotSent ? ErrorCode::Unavailable
                                                      : ErrorCode::Unknown,
                    aOperation,
                    ToString(this->peer),
                    aMessage.empty() ? aError.message() : aMessage };
  auto finalReceiver = std::move(this->receiver);
  finalReceiver->OnFailure(failure);
}

} // namespace fescuetiller
