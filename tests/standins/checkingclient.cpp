#include "standins/checkingclient.h"

#include <sstream>
#include <string_view>
#include <thread>

#include <boost/beast/core/buffers_to_string.hpp>

namespace fescuetiller {

namespace {

using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Longest wait for a further part of an answer; requests in one write have to
 * wait for those before them. */
constexpr Duration kLongestWait = seconds(3);
constexpr Duration kLongestConnect = seconds(1);
/** Longest pause between turns. */
constexpr int64_t kMostPauseMs = 5;
/** One of so many turns opens a new connection. */
constexpr unsigned kNewConnectionShare = 8;
/** One of so many turns sends several requests in one write. */
constexpr unsigned kSeveralShare = 3;
constexpr unsigned kMostInOneWrite = 11;
/** One of so many answers is long, so that daemons pass it on in pieces. */
constexpr unsigned kLongShare = 10;
constexpr size_t kLongBytes = 80000;
/** One of so many bookings is long, if any are. */
constexpr unsigned kUploadShare = 2;
constexpr size_t kLeastUploadBytes = 1024 * 1024;
constexpr size_t kMostUploadBytes = 6 * 1024 * 1024;
constexpr size_t kReadBytes = 16 * 1024;
/** Longer answers are given up. */
constexpr size_t kMaxAnswerBytes = 1024 * 1024;
constexpr std::string_view kAnswerStart = "HTTP/1.";

} // namespace

CheckingClient::CheckingClient(CheckingClientOptions aOptions)
  : options(std::move(aOptions))
  , random(options.seed)
{
}

void
CheckingClient::Run(Time aEnd)
{
  while (BootClock::now() < aEnd) {
    this->TakeTurn();
    std::this_thread::sleep_for(milliseconds(
      std::uniform_int_distribution<int64_t>(0, kMostPauseMs)(this->random)));
  }
  this->Disconnect();
}

const std::vector<CheckedRequest>&
CheckingClient::Requests() const
{
  return this->requests;
}

void
CheckingClient::TakeTurn()
{
  if (this->HasUnaskedBytes()) {
    JudgeBytes(this->requests.back(), "unasked: " + this->BufferText());
    this->Disconnect();
  }
  if (this->options.old || this->random() % kNewConnectionShare == 0) {
    this->Disconnect();
  }
  auto turn = this->DrawRequests();
  bool keepAlive =
    !this->options.old && this->random() % kNewConnectionShare != 0;
  std::ostringstream bytes;
  for (const auto& request : turn) {
    Key key = std::uniform_int_distribution<Key>(0, kLastKey)(this->random);
    bytes << ToHttpRequest(request, key, keepAlive || &request != &turn.back());
  }
  if (!this->socket && !this->Connect()) {
    return; // Nothing was sent.
  }
  error_code error;
  asio::write(*this->socket, asio::buffer(bytes.str()), error);
  bool open = !error;
  for (auto& request : turn) {
    request.sentAt = BootClock::now();
    open = open && this->ReadAnswer(request);
    request.repliedAt = BootClock::now();
    this->requests.push_back(request);
  }
  if (!open) {
    this->Disconnect();
  }
}

std::vector<CheckedRequest>
CheckingClient::DrawRequests()
{
  bool several = !this->options.old && this->random() % kSeveralShare == 0;
  auto count = several ? 2 + this->random() % (kMostInOneWrite - 1) : size_t(1);
  std::vector<CheckedRequest> drawn;
  for (size_t i = 0; i < count; ++i) {
    drawn.push_back(this->DrawRequest());
    drawn.back().id += std::to_string(this->requests.size() + i);
  }
  return drawn;
}

CheckedRequest
CheckingClient::DrawRequest()
{
  // Half of all are lookups, a quarter are bookings.
  const std::pair<Question, const char*> kinds[] = {
    { Question::Lookup, "l" },      { Question::Lookup, "l" },
    { Question::Lookup, "l" },      { Question::Lookup, "l" },
    { Question::Lookup, "l" },      { Question::Lookup, "l" },
    { Question::Booking, "b" },     { Question::Booking, "b" },
    { Question::Booking, "b" },     { Question::HeadLookup, "h" },
    { Question::HeadNoRoute, "m" }, { Question::NoRoute, "n" },
  };
  const auto& [question, letter] = kinds[this->random() % std::size(kinds)];
  CheckedRequest request;
  request.question = question;
  request.id = this->options.name + "-" + letter;
  request.old = this->options.old;
  if (HasRoute(request) && this->random() % kLongShare == 0) {
    request.bodyBytes = kLongBytes;
  }
  if (this->options.uploads && request.question == Question::Booking &&
      this->random() % kUploadShare == 0) {
    request.uploadBytes = std::uniform_int_distribution<size_t>(
      kLeastUploadBytes, kMostUploadBytes)(this->random);
  }
  return request;
}

bool
CheckingClient::Connect()
{
  const auto& node =
    this->options.nodes[this->random() % this->options.nodes.size()];
  this->socket.emplace(this->context);
  error_code error = asio::error::would_block;
  this->socket->async_connect(*ParseEndpoint(node),
                              [&](error_code aError) { error = aError; });
  this->context.restart();
  this->context.run_for(kLongestConnect);
  if (error) {
    this->Disconnect();
    return false;
  }
  error_code ignored; // Without the option, requests are only delayed.
  this->socket->set_option(Tcp::no_delay(true), ignored);
  return true;
}

void
CheckingClient::Disconnect()
{
  if (this->socket) {
    error_code ignored; // The socket is closed in any case.
    this->socket->close(ignored);
    this->context.restart();
    this->context.run(); // Handlers of what was cancelled.
    this->socket.reset();
  }
  this->buffer.clear();
}

bool
CheckingClient::ReadAnswer(CheckedRequest& aRequest)
{
  Parser parser;
  parser.eager(true);
  parser.skip(IsHead(aRequest));
  parser.body_limit(boost::none);
  bool started = false;
  size_t consumed = 0;
  while (!parser.is_done()) {
    if (!started && this->IsNoAnswer()) {
      JudgeBytes(aRequest, this->BufferText());
      return false;
    }
    error_code error = http::error::need_more;
    if (this->buffer.size() >= kAnswerStart.size() || started) {
      started = true;
      auto count = parser.put(this->buffer.data(), error);
      this->buffer.consume(count);
      consumed += count;
    }
    if (consumed + this->buffer.size() > kMaxAnswerBytes) {
      aRequest.reason = "an answer without end";
      return false;
    }
    if (error && error != http::error::need_more) {
      JudgeBytes(aRequest, this->BufferText());
      return false;
    }
    if (parser.is_done()) {
      break;
    }
    error = this->ReadSome();
    if (error == asio::error::eof && started) {
      parser.put_eof(error);
    }
    if (error) {
      aRequest.reason = error.message();
      return false;
    }
  }
  JudgeAnswer(aRequest, parser.get());
  return aRequest.reply != Reply::Wrong && parser.keep_alive();
}

error_code
CheckingClient::ReadSome()
{
  error_code error = asio::error::timed_out;
  this->socket->async_read_some(this->buffer.prepare(kReadBytes),
                                [&](error_code aError, size_t aSize) {
                                  error = aError;
                                  this->buffer.commit(aSize);
                                });
  this->context.restart();
  this->context.run_for(kLongestWait);
  if (!this->context.stopped()) {
    error_code ignored; // The connection is given up in any case.
    this->socket->close(ignored);
    this->context.run();
    return asio::error::timed_out;
  }
  return error;
}

bool
CheckingClient::IsNoAnswer() const
{
  auto text = this->BufferText().substr(0, kAnswerStart.size());
  return kAnswerStart.compare(0, text.size(), text) != 0;
}

bool
CheckingClient::HasUnaskedBytes()
{
  error_code ignored; // A lost connection is seen by the next request.
  if (this->socket && this->buffer.size() == 0 &&
      this->socket->available(ignored) > 0) {
    this->ReadSome();
  }
  return this->buffer.size() > 0;
}

std::string
CheckingClient::BufferText() const
{
  return boost::beast::buffers_to_string(this->buffer.data());
}

} // namespace fescuetiller
