#include "http/upstreamcall.h"

#include <limits>

#include <netinet/tcp.h>

#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace fescuetiller {

namespace {

using boost::system::error_code;

/** Answers up to this size are passed on whole: one write instead of two. */
constexpr uint64_t kWholeBytes = 32 * 1024;
/** Size of the pieces of longer answers; bounds the memory of a call. */
constexpr size_t kPieceBytes = 32 * 1024;
/** Bodies from this size on are written while the answer is awaited, since the
 * peer may answer before it has read them. */
constexpr size_t kLongRequestBytes = 16 * 1024;
/** Fields of a response; the usual limit of HTTP servers. */
constexpr uint32_t kHeaderBytes = 64 * 1024;
/** Room kept at an idle connection. */
constexpr size_t kIdleBufferBytes = 4 * 1024;
/** Part of a peer's announced idle time after which a connection is not used
 * again, so that a request does not cross the peer's close. */
constexpr double kIdleShare = 0.8;

/** Seconds of "Keep-Alive: timeout=N", if given. */
std::optional<Duration>
AnnouncedIdle(const http::fields& aFields)
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

void
SetOptions(Tcp::socket& aSocket, Duration aAckTimeout)
{
  error_code ignored; // The call works without them, only slower or longer.
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
  call->connection = aPool.Take(aPeer, call->startedAt);
  // Posted, so that the receiver hears nothing before Start has returned.
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
    error_code ignored; // The socket is given up either way.
    this->connection->socket.close(ignored);
  }
}

void
UpstreamCall::ArmTimer(Duration aTimeout, const char* aStep)
{
  this->timer.expires_after(aTimeout);
  this->timer.async_wait(
    [self = this->shared_from_this(), aStep](error_code aError) {
      if (!aError && !self->ended) {
        self->Fail(aStep, asio::error::timed_out);
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
  this->ArmTimer(left, "wait for answer");
  this->Write();
}

void
UpstreamCall::Write()
{
  // From here on the peer may have read the request, whatever is known of it.
  this->stage = CallStage::Sent;
  http::async_write(
    this->connection->socket,
    this->request,
    [self = this->shared_from_this()](error_code aError, size_t) {
      if (self->ended) {
        return;
      }
      if (aError) {
        // A long body may be answered, and its rest reset, midway.
        if (self->stage == CallStage::Sent) {
          // The rest of the request never left, so the peer cannot run it.
          self->stage = CallStage::NotSent;
          self->Fail("send request", aError);
        }
        return;
      }
      self->written = true;
      if (self->request.body().size() < kLongRequestBytes) {
        self->ReadHead();
      }
    });
  if (this->request.body().size() >= kLongRequestBytes) {
    this->ReadHead();
  }
}

void
UpstreamCall::PrepareParser()
{
  this->parser = std::make_unique<Parser>();
  this->parser->header_limit(kHeaderBytes);
  this->parser->body_limit(std::numeric_limits<uint64_t>::max());
  if (this->request.method() == http::verb::head) {
    this->parser->skip(true);
  }
}

void
UpstreamCall::ReadHead()
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
      if (aError) {
        self->Fail("read head of answer", aError);
        return;
      }
      self->OnHeaders();
    });
}

bool
UpstreamCall::Matches() const
{
  const auto& field = this->options.correlationField;
  if (field.empty()) {
    return true;
  }
  auto echoed = this->parser->get()[field];
  return echoed.empty() || echoed == this->request[field];
}

void
UpstreamCall::OnHeaders()
{
  // 1xx responses precede the answer.
  auto status = this->parser->get().result_int();
  if (status >= 100 && status < 200) {
    this->ReadHead();
    return;
  }
  this->skipping = !this->Matches();
  if (!this->skipping) {
    this->stage = CallStage::ResponseStarted;
  }
  auto length = this->parser->content_length();
  if (this->parser->is_done() || (length && *length <= kWholeBytes)) {
    this->body.resize(length ? static_cast<size_t>(*length) : 0);
    this->ReadWhole();
    return;
  }
  this->body.resize(kPieceBytes);
  if (this->skipping) {
    this->Fail(
      "match answer", error_code(), "a long answer to another request");
    return;
  }
  this->streaming = true;
  this->connection->buffer.reserve(kPieceBytes);
  ResponseHeaders head;
  head.message.base() = this->parser->get().base();
  if (length) {
    head.contentLength = *length;
  }
  auto hold = this->shared_from_this();
  this->receiver->OnHeaders(std::move(head));
  if (!this->ended) {
    this->ReadPiece();
  }
}

void
UpstreamCall::ReadWhole()
{
  if (this->parser->is_done()) {
    this->Complete();
    return;
  }
  this->ReadBody(false, [this](size_t aSize) {
    this->bodyBytes = aSize;
    this->Complete();
  });
}

/** Reads into the body buffer. @param aMore Whether more follows later.
 * @param aRead Gets the number of bytes; not called after the end. */
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
                     read(self->body.size() - self->parser->get().body().size);
                   });
}

void
UpstreamCall::ReadPiece()
{
  if (this->parser->is_done()) {
    this->Complete();
    return;
  }
  this->ReadBody(true, [this](size_t aSize) {
    if (aSize == 0) {
      this->ReadPiece();
      return;
    }
    auto self = this->shared_from_this();
    this->receiver->OnBodyChunk(asio::buffer(this->body.data(), aSize), [self] {
      if (!self->ended) {
        self->ReadPiece();
      }
    });
  });
}

HttpResponse
UpstreamCall::TakeWhole()
{
  HttpResponse whole;
  whole.base() = this->parser->get().base();
  this->body.resize(this->bodyBytes);
  whole.body() = std::move(this->body);
  return whole;
}

void
UpstreamCall::Complete()
{
  if (this->skipping) {
    this->ReadHead();
    return;
  }
  this->ended = true;
  this->timer.cancel();
  auto taker = std::move(this->receiver);
  if (this->streaming) {
    this->Release();
    taker->OnBodyEnd();
    return;
  }
  auto whole = this->TakeWhole();
  this->Release();
  taker->OnCompleteResponse(std::move(whole));
}

void
UpstreamCall::Release()
{
  // Bytes beyond the answer belong to no request, and neither does a request
  // that is still being written: such a connection is not used again.
  if (!this->written || !this->parser->keep_alive() ||
      this->parser->need_eof() || this->connection->buffer.size() > 0) {
    this->connection.reset();
    return;
  }
  auto idle = AnnouncedIdle(this->parser->get());
  auto allowed = this->options.idleTimeout;
  if (idle) {
    allowed = std::min<Duration>(
      allowed, std::chrono::duration_cast<Duration>(*idle * kIdleShare));
  }
  this->connection->idleUntil = BootClock::now() + allowed;
  if (this->connection->buffer.capacity() > kIdleBufferBytes) {
    this->connection->buffer = boost::beast::flat_buffer();
  }
  this->pool.Put(this->peer, std::move(this->connection));
}

void
UpstreamCall::Fail(const std::string& aStep,
                   const error_code& aError,
                   const std::string& aMessage)
{
  this->ended = true;
  this->timer.cancel();
  error_code ignored; // The socket is given up either way.
  this->connection->socket.close(ignored);
  CallFailure failure;
  failure.stage = this->stage;
  failure.connectionRefused = aError == asio::error::connection_refused;
  failure.error = { this->stage == CallStage::NotSent ? ErrorCode::Unavailable
                                                      : ErrorCode::Unknown,
                    aStep,
                    ToString(this->peer),
                    aMessage.empty() ? aError.message() : aMessage };
  auto taker = std::move(this->receiver);
  taker->OnFailure(failure);
}

} // namespace fescuetiller
