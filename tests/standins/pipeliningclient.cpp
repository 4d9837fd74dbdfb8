#include "standins/pipeliningclient.h"

#include <sstream>
#include <string_view>

#include <boost/beast/core/buffers_to_string.hpp>

namespace fescuetiller {

namespace {

using boost::system::error_code;
using std::chrono::milliseconds;

constexpr int64_t kMostInGroup = 6;
/** Longest pause between the requests of a group. */
constexpr int64_t kMostPauseMs = 60;
/** Longest pause between groups, and one that is long enough for idle timeouts.
 */
constexpr int64_t kMostGroupPauseMs = 150;
constexpr int64_t kMostIdlePauseMs = 1500;
constexpr int64_t kIdlePauseShare = 12;
/** One of so many groups begins with a new connection. */
constexpr int64_t kNewConnectionShare = 10;
/** One of so many requests is written in two parts. */
constexpr int64_t kPartsShare = 15;
constexpr int64_t kMostPartPauseMs = 400;
constexpr Duration kReconnectPause = milliseconds(50);
/** One of so many answers is long, so that daemons pass it on in pieces. */
constexpr int64_t kLongShare = 6;
/** Longer than any limit. */
constexpr Duration kEndlessWork = milliseconds(6000);
/** Time to read an answer that has waited for those before it. */
constexpr Duration kReadGrace = milliseconds(100);
/** Pause before bytes that have arrived at the limit are looked at again. */
constexpr Duration kArrivedPause = milliseconds(1);
constexpr size_t kReadBytes = 64 * 1024;
constexpr std::string_view kAnswerStart = "HTTP/1.";

} // namespace

PipeliningClient::PipeliningClient(asio::io_context& aContext,
                                   PipeliningClientOptions aOptions)
  : context(aContext)
  , options(std::move(aOptions))
  , random(options.seed)
  , sendTimer(aContext)
  , limitTimer(aContext)
{
}

void
PipeliningClient::Start()
{
  this->ScheduleSend(milliseconds(this->Draw(0, kMostGroupPauseMs)));
}

const std::deque<PipelinedRequest>&
PipeliningClient::Requests() const
{
  return this->requests;
}

int64_t
PipeliningClient::Draw(int64_t aLeast, int64_t aMost)
{
  return std::uniform_int_distribution<int64_t>(aLeast, aMost)(this->random);
}

PipelinedRequest&
PipeliningClient::Oldest()
{
  return this->requests[this->requests.size() - this->waiting];
}

void
PipeliningClient::ScheduleSend(Duration aPause)
{
  this->sendTimer.expires_after(aPause);
  this->sendTimer.async_wait([this, turn = ++this->sendTurn](error_code) {
    if (turn == this->sendTurn) {
      this->Send();
    }
  });
}

void
PipeliningClient::Send()
{
  if (!this->unwritten.empty()) {
    this->FinishWriting();
    return;
  }
  if (BootClock::now() >= this->options.end) {
    this->leftInGroup = 0;
    if (this->waiting == 0) {
      this->Disconnect();
    }
    return;
  }
  if (this->leftInGroup == 0) {
    this->leftInGroup = static_cast<size_t>(this->Draw(1, kMostInGroup));
    if (this->Draw(1, kNewConnectionShare) == 1) {
      this->Disconnect();
    }
  }
  if (this->socket == nullptr) {
    this->Connect();
    return;
  }
  --this->leftInGroup;
  auto request = this->DrawRequest();
  std::ostringstream text;
  text << ToHttpRequest(
    request.checked, static_cast<Key>(this->Draw(0, kLastKey)), true);
  this->requests.push_back(std::move(request));
  ++this->waiting;
  this->Write(text.str());
}

void
PipeliningClient::Connect()
{
  this->socket = std::make_shared<Tcp::socket>(this->context);
  error_code error;
  this->socket->open(Tcp::v4(), error);
  this->socket->bind({ asio::ip::make_address(this->options.address), 0 },
                     error);
  this->socket->async_connect(
    this->options.node, [this, opened = this->socket](error_code aError) {
      if (opened != this->socket) {
        return;
      }
      if (aError) {
        this->Disconnect();
        this->ScheduleSend(kReconnectPause);
        return;
      }
      error_code ignored; // Without the option, requests are only delayed.
      opened->set_option(Tcp::no_delay(true), ignored);
      this->Read();
      this->Send();
    });
}

PipelinedRequest
PipeliningClient::DrawRequest()
{
  PipelinedRequest request;
  auto& checked = request.checked;
  checked.id =
    this->options.name + "-l" + std::to_string(this->requests.size());
  // Some limits are shorter than the timeouts of the route, most are longer.
  bool isShort = this->Draw(1, 3) == 1;
  checked.limit =
    milliseconds(isShort ? this->Draw(250, 500) : this->Draw(1500, 2000));
  checked.work = this->DrawWork(checked.limit);
  if (this->Draw(1, kLongShare) == 1) {
    checked.bodyBytes = this->options.longBytes;
  }
  request.behindAnother = this->waiting > 0;
  return request;
}

/** Most requests are fast; some take about as long as a limit, or longer. */
Duration
PipeliningClient::DrawWork(Duration aLimit)
{
  auto percent = this->Draw(1, 100);
  if (percent <= 75) {
    return milliseconds(this->Draw(2, 30));
  }
  if (percent <= 87) {
    return milliseconds(this->Draw(100, 900));
  }
  if (percent <= 92) {
    return aLimit + milliseconds(this->Draw(-100, 100));
  }
  return kEndlessWork;
}

void
PipeliningClient::Write(std::string aText)
{
  if (this->Draw(1, kPartsShare) == 1) {
    auto length = static_cast<size_t>(
      this->Draw(1, static_cast<int64_t>(aText.size()) - 1));
    this->unwritten = aText.substr(length);
    aText.resize(length);
  }
  auto text = std::make_shared<std::string>(std::move(aText));
  asio::async_write(*this->socket,
                    asio::buffer(*text),
                    [text, opened = this->socket](error_code, size_t) {
                      // A lost connection is seen when it is read.
                    });
  auto now = BootClock::now();
  auto& last = this->requests.back();
  last.checked.sentAt = now;
  if (this->waiting == 1) {
    last.becameOldestAt = now;
  }
  if (!this->unwritten.empty()) {
    this->ScheduleSend(milliseconds(this->Draw(1, kMostPartPauseMs)));
    return;
  }
  this->WatchOldest();
  this->Continue();
}

void
PipeliningClient::FinishWriting()
{
  auto text = std::make_shared<std::string>(std::move(this->unwritten));
  this->unwritten.clear();
  asio::async_write(*this->socket,
                    asio::buffer(*text),
                    [text, opened = this->socket](error_code, size_t) {});
  this->requests.back().checked.sentAt = BootClock::now();
  this->WatchOldest();
  this->Continue();
}

void
PipeliningClient::Continue()
{
  if (this->leftInGroup > 0) {
    this->ScheduleSend(milliseconds(this->Draw(0, kMostPauseMs)));
  } else if (this->waiting == 0) {
    bool isIdle = this->Draw(1, kIdlePauseShare) == 1;
    this->ScheduleSend(milliseconds(
      this->Draw(0, isIdle ? kMostIdlePauseMs : kMostGroupPauseMs)));
  }
}

void
PipeliningClient::Read()
{
  this->socket->async_read_some(
    this->buffer.prepare(kReadBytes),
    [this, opened = this->socket](error_code aError, size_t aSize) {
      if (opened != this->socket) {
        return;
      }
      this->buffer.commit(aSize);
      this->ParseInput();
      if (opened != this->socket) {
        return;
      }
      if (aError) {
        this->OnConnectionEnded(aError);
      } else {
        this->Read();
      }
    });
}

void
PipeliningClient::ParseInput()
{
  while (this->socket != nullptr && this->buffer.size() > 0) {
    if (this->waiting == 0) {
      this->ReadUnasked();
      return;
    }
    if (!this->parser) {
      auto text = boost::beast::buffers_to_string(this->buffer.data())
                    .substr(0, kAnswerStart.size());
      if (kAnswerStart.compare(0, text.size(), text) != 0) {
        JudgeBytes(this->Oldest().checked, text);
        this->FinishOldest();
        return;
      }
      if (text.size() < kAnswerStart.size()) {
        return;
      }
      this->parser.emplace();
      this->parser->eager(true);
      this->parser->body_limit(boost::none);
    }
    error_code error;
    this->buffer.consume(this->parser->put(this->buffer.data(), error));
    if (error == http::error::need_more) {
      return;
    }
    if (error) {
      JudgeBytes(this->Oldest().checked, "malformed: " + error.message());
      this->FinishOldest();
      return;
    }
    if (this->parser->is_done()) {
      JudgeAnswer(this->Oldest().checked, this->parser->get());
      this->FinishOldest();
    }
  }
}

void
PipeliningClient::ReadUnasked()
{
  if (!this->requests.empty()) {
    JudgeBytes(this->requests.back().checked,
               "unasked: " +
                 boost::beast::buffers_to_string(this->buffer.data()));
  }
  this->Disconnect();
  this->Continue();
}

void
PipeliningClient::FinishOldest()
{
  auto now = BootClock::now();
  auto& oldest = this->Oldest();
  oldest.end = WaitEnd::Replied;
  oldest.checked.repliedAt = now;
  bool last = oldest.checked.reply == Reply::Wrong || !this->parser ||
              !this->parser->keep_alive();
  this->parser.reset();
  --this->waiting;
  if (last) {
    this->EndWaits(WaitEnd::BehindFinalReply, WaitEnd::BehindFinalReply);
    this->Disconnect();
    this->Continue();
    return;
  }
  if (this->waiting > 0) {
    this->Oldest().becameOldestAt = now;
    this->WatchOldest();
  } else {
    this->limitTimer.cancel();
    if (this->leftInGroup == 0) {
      this->Continue();
    }
  }
}

void
PipeliningClient::OnConnectionEnded(error_code aError)
{
  if (this->parser) {
    error_code error;
    this->parser->put_eof(error);
    if (aError == asio::error::eof && this->parser->is_done()) {
      JudgeAnswer(this->Oldest().checked, this->parser->get());
      this->FinishOldest();
      return;
    }
  }
  if (this->waiting > 0) {
    this->Oldest().checked.reason =
      aError.message() + (this->parser ? " inside the answer" : "");
  }
  this->EndWaits(WaitEnd::Cut, WaitEnd::Cut);
  this->Disconnect();
  this->Continue();
}

void
PipeliningClient::EndWaits(WaitEnd aOldest, WaitEnd aOthers)
{
  auto now = BootClock::now();
  auto end = aOldest;
  for (; this->waiting > 0; --this->waiting) {
    auto& request = this->Oldest();
    bool whole = this->waiting > 1 || this->unwritten.empty();
    request.end = whole ? end : WaitEnd::NotWhole;
    request.checked.repliedAt = now;
    end = aOthers;
  }
}

void
PipeliningClient::Disconnect()
{
  if (this->socket != nullptr) {
    error_code ignored; // The socket is closed in any case.
    this->socket->close(ignored);
    this->socket.reset();
  }
  this->buffer.clear();
  this->parser.reset();
  this->unwritten.clear();
  ++this->sendTurn;
  this->sendTimer.cancel();
  this->limitTimer.cancel();
}

/** Sets the time at which the client leaves. */
void
PipeliningClient::WatchOldest()
{
  if (this->waiting == 0 || (this->waiting == 1 && !this->unwritten.empty())) {
    return; // The time of a request begins when it is written whole.
  }
  this->limitTimer.expires_after(this->OldestLimit() - BootClock::now());
  this->limitTimer.async_wait([this](error_code aError) {
    if (!aError) {
      this->OnLimit();
    }
  });
}

Time
PipeliningClient::OldestLimit()
{
  const auto& oldest = this->Oldest();
  auto limit = oldest.checked.sentAt + oldest.checked.limit;
  return oldest.behindAnother
           ? std::max(limit, oldest.becameOldestAt + kReadGrace)
           : limit;
}

void
PipeliningClient::OnLimit()
{
  if (this->waiting == 0 || BootClock::now() < this->OldestLimit()) {
    this->WatchOldest(); // The answer has come in the same moment.
    return;
  }
  error_code ignored; // A lost connection is seen when it is read.
  if (this->socket->available(ignored) > 0) {
    this->limitTimer.expires_after(kArrivedPause);
    this->limitTimer.async_wait([this](error_code aError) {
      if (!aError) {
        this->OnLimit();
      }
    });
    return;
  }
  this->EndWaits(WaitEnd::OwnLimit, WaitEnd::BehindOwnLimit);
  this->Disconnect();
  this->Continue();
}

} // namespace fescuetiller
