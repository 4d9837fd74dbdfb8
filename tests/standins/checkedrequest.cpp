#include "standins/checkedrequest.h"

#include <algorithm>
#include <sstream>

#include "platform/platform.h"
#include "standins/answerbody.h"

namespace fescuetiller {

namespace {

/** How much of a wrong answer is reported. */
constexpr size_t kReportedBytes = 300;

/** The text on one line. */
std::string
ToLine(const std::string& aText)
{
  std::string line;
  for (char character : aText) {
    if (character == '\n') {
      line += "\\n";
    } else if (character >= ' ' && character <= '~') {
      line += character;
    } else if (character != '\r') {
      line += '?';
    }
  }
  return line;
}

void
JudgeWrong(CheckedRequest& aRequest,
           const std::string& aReason,
           const std::string& aGot)
{
  aRequest.reply = Reply::Wrong;
  aRequest.reason = aReason;
  aRequest.got = ToLine(aGot.substr(0, kReportedBytes));
}

std::string
ToText(const HttpResponse& aAnswer)
{
  std::ostringstream text;
  text << aAnswer.base() << aAnswer.body();
  return text.str();
}

/** In what a success is not the answer to the request; empty: it is. */
std::string
FindMismatch(const CheckedRequest& aRequest, const HttpResponse& aAnswer)
{
  std::string signature(aAnswer[headers::kSignature]);
  if (!HasRoute(aRequest)) {
    return "success-without-route";
  }
  if (signature.substr(signature.find(':') + 1) != aRequest.id) {
    return signature.empty() ? "no-signature" : "signature-of-another";
  }
  if (aRequest.old && aAnswer.chunked()) {
    return "chunks-for-1.0";
  }
  auto expected = AnswerBody(aRequest.id, aRequest.bodyBytes);
  if (IsHead(aRequest) || aAnswer.body() == expected) {
    return "";
  }
  bool cut = expected.compare(0, aAnswer.body().size(), aAnswer.body()) == 0;
  return cut ? "cut-body" : "other-body";
}

} // namespace

bool
IsHead(const CheckedRequest& aRequest)
{
  return aRequest.question == Question::HeadLookup ||
         aRequest.question == Question::HeadNoRoute;
}

bool
HasRoute(const CheckedRequest& aRequest)
{
  return aRequest.question != Question::NoRoute &&
         aRequest.question != Question::HeadNoRoute;
}

HttpRequest
ToHttpRequest(const CheckedRequest& aRequest, Key aKey, bool aKeepAlive)
{
  bool booking = aRequest.question == Question::Booking;
  std::string prefix = booking              ? "/book/"
                       : HasRoute(aRequest) ? "/look/"
                                            : "/none/";
  HttpRequest request(booking            ? http::verb::post
                      : IsHead(aRequest) ? http::verb::head
                                         : http::verb::get,
                      prefix + aRequest.id,
                      aRequest.old ? 10 : 11);
  request.set(http::field::host, "a.example");
  request.set(headers::kRequestId, aRequest.id);
  request.set(headers::kKey, std::to_string(aKey));
  request.set(headers::kTimeLeft,
              std::to_string(ToMilliseconds(aRequest.limit)));
  if (aRequest.bodyBytes > 0) {
    request.set(kBodyBytesField, std::to_string(aRequest.bodyBytes));
  }
  if (aRequest.work) {
    request.set(kWorkTimeField, std::to_string(ToMilliseconds(*aRequest.work)));
  }
  if (booking) {
    request.body() = "booking";
    request.body().resize(std::max(request.body().size(), aRequest.uploadBytes),
                          'x');
  }
  request.keep_alive(aKeepAlive);
  request.prepare_payload();
  return request;
}

void
JudgeAnswer(CheckedRequest& aRequest, const HttpResponse& aAnswer)
{
  aRequest.status = aAnswer.result_int();
  auto id = aAnswer[headers::kRequestId];
  aRequest.withoutId = id.empty();
  if (!id.empty() && id != aRequest.id) {
    JudgeWrong(aRequest, "id-of-another", ToText(aAnswer));
    return;
  }
  std::string mismatch;
  if (aRequest.status != 200 && !aAnswer[headers::kSignature].empty()) {
    mismatch = "signed-failure"; // The backend server signs successes only.
  }
  aRequest.reason = aAnswer.body().substr(0, aAnswer.body().find('\n'));
  switch (aRequest.status) {
    case 200:
      aRequest.reply = Reply::Answered;
      aRequest.reason.clear();
      mismatch = FindMismatch(aRequest, aAnswer);
      break;
    case 404:
      aRequest.reply = Reply::NoRoute;
      if (HasRoute(aRequest)) {
        mismatch = "404-for-a-route";
      }
      break;
    case 408:
    case 421:
    case 429:
    case 503:
      aRequest.reply = Reply::NotRun;
      break;
    case 502:
    case 504:
      aRequest.reply = Reply::Failed;
      break;
    default:
      mismatch = "status-" + std::to_string(aRequest.status);
  }
  if (!mismatch.empty()) {
    JudgeWrong(aRequest, mismatch, ToText(aAnswer));
  }
}

void
JudgeBytes(CheckedRequest& aRequest, const std::string& aBytes)
{
  JudgeWrong(aRequest, "bytes-that-are-no-answer", aBytes);
}

} // namespace fescuetiller
