#include "standins/faultysession.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <sstream>

#include <boost/algorithm/string/predicate.hpp>

#include "platform/platform.h"

namespace fescuetiller {

namespace {

using boost::system::error_code;
using std::chrono::milliseconds;

/** Range of the pause before late bytes. */
constexpr double kLeastPauseMs = 5;
constexpr double kMostPauseMs = 300;
/** One of so many late writes doesn't wait for the next request. */
constexpr unsigned kIdleWriteShare = 4;
/** Bytes without end are written in parts of about this size, with pauses. */
constexpr size_t kEndlessPartBytes = 64 * 1024;
constexpr Duration kEndlessPause = milliseconds(2);
/** Time that the peer has to read the bytes before a reset. */
constexpr Duration kResetPause = milliseconds(2);

/** Requests from this size on may get an early answer. */
constexpr uint64_t kLongRequestBytes = 256 * 1024;
constexpr size_t kReadBytes = 64 * 1024;
constexpr const char* kBadStatuses[] = { "000", "099", "600",
                                         "999", "20",  "2000" };
constexpr const char* kBadLines[] = { "X A: b",    "X-\1A: b", "X-A : b",
                                      "X-\x7f: b", ": b",      "no colon" };
constexpr const char* kFolds[] = { "\r\n folded", "\r\n\tX-A: b", "\r\n " };
constexpr const char* kBadCodings[] = { "",
                                        "xchunked",
                                        "chunked, identity",
                                        "gzip, chunked" };

/** Whether the request is one to the stand-in itself. */
bool
IsControl(const HttpRequest& aRequest)
{
  return boost::algorithm::starts_with(aRequest.target(), "/standin/");
}

/** Replaces the first occurrence of a text, if any. */
void
Replace(std::string& aText, const std::string& aOld, const std::string& aNew)
{
  auto found = aText.find(aOld);
  if (found != std::string::npos) {
    aText.replace(found, aOld.size(), aNew);
  }
}

/** A pause whose logarithm is evenly distributed: many are as short as the time
 * after which a refused request is sent again. */
int64_t
DrawPauseMs(std::mt19937& aRandom)
{
  std::uniform_real_distribution<> exponent(0, 1);
  return std::llround(
    kLeastPauseMs * std::pow(kMostPauseMs / kLeastPauseMs, exponent(aRandom)));
}

/** Whether the peer expects a body behind the head. */
bool
HasBody(const HttpRequest& aRequest)
{
  return aRequest.method() != http::verb::head;
}

/** The head and, if there is one, the body as they go over the connection. */
std::string
ToBytes(HttpResponse aResponse, bool aBody, bool aChunked)
{
  if (aChunked) {
    aResponse.chunked(true);
  } else if (aResponse.keep_alive()) {
    aResponse.content_length(aResponse.body().size());
  }
  std::ostringstream head;
  head << aResponse.base();
  std::string bytes = head.str();
  const auto& body = aResponse.body();
  if (!aBody) {
    return bytes;
  }
  if (!aChunked) {
    return bytes + body;
  }
  std::ostringstream chunks;
  auto half = body.size() / 2;
  for (const auto& part : { body.substr(0, half), body.substr(half) }) {
    if (!part.empty()) {
      chunks << std::hex << part.size() << "\r\n" << part << "\r\n";
    }
  }
  return bytes + chunks.str() + "0\r\n\r\n";
}

std::string
Describe(const HttpResponse& aResponse)
{
  return std::to_string(aResponse.result_int()) +
         (aResponse[headers::kRequestId].empty() ? " without id" : "");
}

/** Bytes without end: a beginning, and what is repeated after it. */
struct EndlessBytes
{
  std::string begin;
  std::string repeated;
};

EndlessBytes
MakeEndless(AnswerFault aFault, HttpResponse aResponse)
{
  constexpr uint64_t kEnormousLength = uint64_t(1) << 26;
  constexpr const char* kLine = "A: b\r\n";
  const std::string body = aResponse.body();
  std::ostringstream chunk;
  chunk << std::hex << body.size() << "\r\n" << body << "\r\n";
  if (aFault == AnswerFault::EndlessAfter) {
    return { ToBytes(aResponse, true, false), "x" };
  }
  if (aFault == AnswerFault::EndlessBody) {
    aResponse.content_length(kEnormousLength);
  } else if (aFault == AnswerFault::EndlessUnframed) {
    aResponse.keep_alive(false);
  } else {
    aResponse.chunked(true);
  }
  std::ostringstream text;
  text << aResponse.base();
  auto head = text.str();
  auto openHead = head.substr(0, head.size() - 2); // Without the empty line.
  switch (aFault) {
    case AnswerFault::EndlessStatus:
      return { "HTTP/1.1 200 ", "x" };
    case AnswerFault::EndlessField:
      return { openHead + "A: ", "x" };
    case AnswerFault::EndlessFields:
      return { openHead, kLine };
    case AnswerFault::EndlessInterim:
      return { "", "HTTP/1.1 100 Continue\r\n\r\n" };
    case AnswerFault::EndlessChunks:
      return { head, chunk.str() };
    case AnswerFault::EndlessExtension:
      return { head + "1;", "x" };
    case AnswerFault::EndlessTrailer:
      return { head + chunk.str() + "0\r\n", kLine };
    default:
      return { head, "x" };
  }
}

HttpResponse
WithoutId(HttpResponse aResponse)
{
  aResponse.erase(headers::kRequestId);
  return aResponse;
}

} // namespace

FaultySession::FaultySession(FaultyServer& aServer,
                             Tcp::socket aSocket,
                             uint64_t aNumber)
  : server(aServer)
  , socket(std::move(aSocket))
  , number(aNumber)
{
}

void
FaultySession::Start()
{
  error_code ignored; // Without the option, answers are only delayed.
  this->socket.set_option(Tcp::no_delay(true), ignored);
  this->ReadRequest();
}

void
FaultySession::ReadRequest()
{
  this->parser.emplace();
  this->parser->body_limit(std::numeric_limits<uint64_t>::max());
  http::async_read_header(
    this->socket,
    this->buffer,
    *this->parser,
    [self = this->shared_from_this()](error_code aError, size_t) {
      if (aError) {
        self->Close(false);
      } else if (!self->closed) {
        self->OnHead();
      }
    });
}

void
FaultySession::OnHead()
{
  this->request = this->parser->get();
  this->requestId = std::string(this->request[headers::kRequestId]);
  this->faults.clear();
  if (!IsControl(this->request)) {
    this->faults = this->server.faults.Draw();
  }
  if (this->AnswersEarly()) {
    this->AnswerEarly();
  } else {
    this->ReadBody();
  }
}

void
FaultySession::ReadBody()
{
  http::async_read(
    this->socket,
    this->buffer,
    *this->parser,
    [self = this->shared_from_this()](error_code aError, size_t) {
      if (aError) {
        self->Close(false);
      } else if (!self->closed) {
        self->request = self->parser->release();
        self->OnRequest();
      }
    });
}

bool
FaultySession::AnswersEarly() const
{
  return this->parser->content_length().value_or(0) >= kLongRequestBytes &&
         this->faults.count(AnswerFault::Early) +
             this->faults.count(AnswerFault::EarlyCut) >
           0;
}

void
FaultySession::AnswerEarly()
{
  this->server.Log(this->number, "read head", this->requestId);
  this->server.handler(
    this->request, [self = this->shared_from_this()](HttpResponse aResponse) {
      bool cut = self->faults.count(AnswerFault::EarlyCut) > 0;
      aResponse.keep_alive(false);
      auto bytes = ToBytes(aResponse, true, false);
      if (aResponse.result_int() == 200 && cut) {
        bytes.resize(bytes.size() - aResponse.body().size() / 2);
        self->Write({ bytes, "half an early answer", self->requestId });
        self->End(self->server.random() % 2 == 0 ? Ending::Reset
                                                 : Ending::LateClose);
      } else {
        self->Write(
          { bytes, "early answer " + Describe(aResponse), self->requestId });
        self->End(Ending::Shutdown);
      }
    });
}

void
FaultySession::OnRequest()
{
  this->requestWaits = true;
  this->server.Log(this->number, "read request", this->requestId);
  bool current = this->faultsVersion == this->server.faultsVersion;
  for (auto& late : std::exchange(this->held, {})) {
    if (current) {
      this->Write(std::move(late));
    }
  }
  this->faultsVersion = this->server.faultsVersion;
  if (IsRefused(this->faults)) {
    this->Refuse();
    return;
  }
  this->server.handler(
    this->request, [self = this->shared_from_this()](HttpResponse aResponse) {
      self->Answer(std::move(aResponse));
    });
}

void
FaultySession::Refuse()
{
  auto response = TextResponse(503, "");
  response.set(headers::kNotExecuted, "1");
  response.set(headers::kRequestId, this->requestId);
  auto bytes = ToBytes(response, HasBody(this->request), false);
  this->requestWaits = false;
  this->Write({ bytes, "refusal " + Describe(response), this->requestId });
  bool cut = this->faults.count(AnswerFault::RefuseTwiceCut) > 0;
  bool withoutId = cut || this->faults.count(AnswerFault::RefuseTwiceNoId) > 0;
  if (withoutId) {
    response = WithoutId(response);
  }
  if (cut) {
    this->WriteLate({ this->PartOfHead(response),
                      "part of second refusal",
                      this->requestId });
  } else if (withoutId || this->faults.count(AnswerFault::RefuseTwice) > 0) {
    this->WriteLate({ ToBytes(response, HasBody(this->request), false),
                      "second refusal " + Describe(response),
                      this->requestId });
  }
  this->ReadRequest();
}

void
FaultySession::Answer(HttpResponse aResponse)
{
  this->requestWaits = false;
  bool ran = aResponse.result_int() == 200;
  bool unframed = ran && this->faults.count(AnswerFault::Unframed) > 0;
  bool chunked = ran && this->faults.count(AnswerFault::Chunked) > 0;
  if (ran && (this->WriteMalformed(aResponse) ||
              this->WriteEndlessly(aResponse) || this->BreakOff(aResponse))) {
    return;
  }
  if (unframed) {
    aResponse.keep_alive(false);
  }
  this->Write(
    { ToBytes(aResponse, HasBody(this->request), chunked && !unframed),
      "answer " + Describe(aResponse),
      this->requestId });
  if (unframed || !this->request.keep_alive()) {
    this->End(Ending::Close);
    return;
  }
  if (ran) {
    this->WriteExtraBytes(aResponse);
  }
  this->ReadRequest();
}

bool
FaultySession::BreakOff(const HttpResponse& aResponse)
{
  auto bytes = ToBytes(aResponse, true, false);
  auto headBytes = bytes.size() - aResponse.body().size();
  if (this->faults.count(AnswerFault::CutHead) > 0) {
    this->Write(
      { bytes.substr(0, headBytes / 2), "half a head", this->requestId });
    this->End(Ending::Close);
    return true;
  }
  if (!HasBody(this->request)) {
    return false;
  }
  if (this->faults.count(AnswerFault::CutBody) > 0) {
    this->Write({ bytes.substr(0, (headBytes + bytes.size()) / 2),
                  "half a body",
                  this->requestId });
    this->End(Ending::Close);
    return true;
  }
  if (this->faults.count(AnswerFault::Reset) > 0) {
    auto unframed = aResponse;
    unframed.keep_alive(false);
    auto whole = ToBytes(unframed, true, false);
    this->Write({ whole.substr(0, whole.size() - aResponse.body().size() / 2),
                  "half a body without length",
                  this->requestId });
    this->End(Ending::Reset);
    return true;
  }
  return false;
}

bool
FaultySession::WriteMalformed(const HttpResponse& aResponse)
{
  auto draw = [this](const auto& aTexts) {
    return std::string(aTexts[this->server.random() % std::size(aTexts)]);
  };
  for (auto fault : this->faults) {
    bool isCoded = fault == AnswerFault::BadCoding;
    auto bytes = ToBytes(aResponse, HasBody(this->request), isCoded);
    if (fault == AnswerFault::BadStatus) {
      Replace(bytes, " 200 ", " " + draw(kBadStatuses) + " ");
    } else if (fault == AnswerFault::BadField) {
      Replace(bytes, "\r\n\r\n", "\r\n" + draw(kBadLines) + "\r\n\r\n");
    } else if (fault == AnswerFault::FoldedField) {
      // Behind the signature, which is the last field but the length.
      Replace(bytes, "\r\nContent-Length", draw(kFolds) + "\r\nContent-Length");
    } else if (isCoded) {
      Replace(bytes, "Encoding: chunked", "Encoding: " + draw(kBadCodings));
    } else {
      continue;
    }
    this->Write({ bytes, ToString(fault), this->requestId });
    if (isCoded) {
      this->End(Ending::LateClose);
    } else {
      this->ReadRequest();
    }
    return true;
  }
  return false;
}

bool
FaultySession::WriteEndlessly(const HttpResponse& aResponse)
{
  auto fault = std::find_if(
    this->faults.begin(), this->faults.end(), [](AnswerFault aFault) {
      return aFault >= AnswerFault::EndlessStatus &&
             aFault <= AnswerFault::EndlessAfter;
    });
  if (fault == this->faults.end() || !HasBody(this->request)) {
    return false;
  }
  auto bytes = MakeEndless(*fault, aResponse);
  auto repeated = std::make_shared<std::string>();
  while (repeated->size() < kEndlessPartBytes) {
    *repeated += bytes.repeated;
  }
  this->Write({ bytes.begin, ToString(*fault), this->requestId });
  this->Repeat(repeated);
  return true;
}

/** Writes the bytes again and again, as fast as the peer reads them. */
void
FaultySession::Repeat(const std::shared_ptr<const std::string>& aBytes)
{
  auto timer = std::make_shared<asio::steady_timer>(this->server.context);
  timer->expires_after(kEndlessPause);
  timer->async_wait(
    [self = this->shared_from_this(), timer, aBytes](error_code) {
      if (self->closed) {
        return;
      }
      if (self->writing) {
        self->Repeat(aBytes);
        return;
      }
      self->writing = true;
      asio::async_write(self->socket,
                        asio::buffer(*aBytes),
                        [self, aBytes](error_code aError, size_t) {
                          self->writing = false;
                          if (aError) {
                            self->Close(false);
                          } else {
                            self->Repeat(aBytes);
                          }
                        });
    });
}

void
FaultySession::WriteExtraBytes(const HttpResponse& aResponse)
{
  for (auto fault : this->faults) {
    bool chunked = fault == AnswerFault::SecondChunked ||
                   fault == AnswerFault::SecondChunkedNoId;
    bool withoutId = fault == AnswerFault::SecondNoId ||
                     fault == AnswerFault::SecondChunkedNoId;
    if (fault == AnswerFault::Garbage) {
      this->Write({ this->Garbage(aResponse), "garbage", this->requestId });
    } else if (fault == AnswerFault::GarbageLate) {
      this->WriteLate(
        { this->Garbage(aResponse), "late garbage", this->requestId });
    } else if (fault == AnswerFault::SecondCut) {
      this->WriteLate({ this->PartOfHead(WithoutId(aResponse)),
                        "part of second answer",
                        this->requestId });
    } else if (chunked || withoutId || fault == AnswerFault::Second) {
      auto second = withoutId ? WithoutId(aResponse) : aResponse;
      this->WriteLate({ ToBytes(second, HasBody(this->request), chunked),
                        std::string("second ") + (chunked ? "chunked " : "") +
                          "answer " + Describe(second),
                        this->requestId });
    }
  }
}

std::string
FaultySession::PartOfHead(const HttpResponse& aResponse)
{
  auto head = ToBytes(aResponse, false, false);
  return head.substr(0, 1 + this->server.random() % (head.size() - 1));
}

std::string
FaultySession::Garbage(const HttpResponse& aResponse)
{
  const std::string kinds[] = {
    "server out of order\n",
    std::string("\0\1\2\3", 4),
    aResponse.body().substr(aResponse.body().size() / 2),
    "\r\n\r\n",
    "HTTP/1.1 ",
    "0\r\n\r\n",
  };
  return kinds[this->server.random() % std::size(kinds)];
}

void
FaultySession::Write(Output aOutput)
{
  this->outputs.push_back(std::move(aOutput));
  this->WriteNext();
}

void
FaultySession::WriteLate(Output aOutput)
{
  auto pause = milliseconds(DrawPauseMs(this->server.random));
  bool waitsForRequest = this->server.random() % kIdleWriteShare != 0;
  auto timer = std::make_shared<asio::steady_timer>(this->server.context);
  timer->expires_after(pause);
  timer->async_wait([self = this->shared_from_this(),
                     timer,
                     waitsForRequest,
                     version = this->server.faultsVersion,
                     output = std::move(aOutput)](error_code) {
    if (self->closed || version != self->server.faultsVersion) {
      return;
    }
    if (waitsForRequest && !self->requestWaits) {
      self->held.push_back(output);
    } else {
      self->Write(output);
    }
  });
}

void
FaultySession::WriteNext()
{
  if (this->writing || this->closed) {
    return;
  }
  if (this->outputs.empty()) {
    this->Finish();
    return;
  }
  this->writing = true;
  const auto& output = this->outputs.front();
  this->server.Log(this->number, "write " + output.text, output.requestId);
  asio::async_write(
    this->socket,
    asio::buffer(output.bytes),
    [self = this->shared_from_this()](error_code aError, size_t) {
      self->writing = false;
      self->outputs.pop_front();
      if (aError) {
        self->Close(false);
      } else {
        self->WriteNext();
      }
    });
}

void
FaultySession::Finish()
{
  if (this->ending == Ending::Close) {
    this->Close(false);
  } else if (this->ending == Ending::Shutdown) {
    error_code ignored; // A lost connection is seen by the read.
    this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
    this->ReadOn();
  } else if (this->ending != Ending::None) {
    auto timer = std::make_shared<asio::steady_timer>(this->server.context);
    timer->expires_after(kResetPause);
    timer->async_wait([self = this->shared_from_this(), timer](error_code) {
      self->Close(self->ending == Ending::Reset);
    });
  }
}

void
FaultySession::ReadOn()
{
  this->buffer.clear();
  this->socket.async_read_some(
    this->buffer.prepare(kReadBytes),
    [self = this->shared_from_this()](error_code aError, size_t) {
      if (aError) {
        self->Close(false);
      } else {
        self->ReadOn();
      }
    });
}

void
FaultySession::End(Ending aEnding)
{
  this->ending = aEnding;
  this->WriteNext();
}

void
FaultySession::Close(bool aWithReset)
{
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->server.Log(
    this->number, aWithReset ? "reset" : "closed", this->requestId);
  error_code ignored; // The socket is closed in any case.
  if (aWithReset) {
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  this->socket.close(ignored);
}

} // namespace fescuetiller
