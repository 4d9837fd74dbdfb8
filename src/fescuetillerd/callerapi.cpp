#include "fescuetillerd/callerapi.h"

#include <algorithm>

#include <boost/lexical_cast.hpp>
#include <httplib.h>

namespace fescuetiller {

namespace {

constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotRun = 503;
constexpr int kStatusUnknown = 504;
constexpr int kStatusRedirect = 307;
constexpr int kStatusIdReused = 409;
constexpr int kStatusOutdated = 412;
constexpr int kStatusStampMissing = 428;
constexpr size_t kMaxIdBytes = 128;
constexpr size_t kMaxKeyBytes = 2048;
constexpr uint32_t kMaxDeadlineMs = 600000;

void
Refuse(httplib::Response& aResponse, const std::string& aText)
{
  aResponse.status = kStatusBadRequest;
  aResponse.set_header("X-Outcome", "not-run");
  aResponse.set_content(aText + "\n", "text/plain");
}

/** Retry-After is in whole seconds; the exact time stands beside it. */
void
AdviseRetry(httplib::Response& aResponse, Duration aRetryAfter)
{
  if (aRetryAfter <= Duration(0)) {
    return;
  }
  int64_t milliseconds = ToMilliseconds(aRetryAfter);
  constexpr int64_t kSecond = 1000;
  aResponse.set_header("Retry-After",
                       std::to_string((milliseconds + kSecond - 1) / kSecond));
  aResponse.set_header("X-Retry-After-Ms", std::to_string(milliseconds));
}

int
UnknownStatus(const Outcome& aOutcome)
{
  if (aOutcome.outdated) {
    return kStatusOutdated;
  }
  return aOutcome.idReused ? kStatusIdReused : kStatusUnknown;
}

void
Answer(httplib::Response& aResponse, const Outcome& aOutcome)
{
  switch (aOutcome.code) {
    case OutcomeCode::Done:
      aResponse.set_header("X-Outcome", "done");
      aResponse.set_content(aOutcome.body,
                            aOutcome.contentType.empty()
                              ? "application/octet-stream"
                              : aOutcome.contentType);
      return;
    case OutcomeCode::NotRun:
      aResponse.status = kStatusNotRun;
      aResponse.set_header("X-Outcome", "not-run");
      AdviseRetry(aResponse, aOutcome.retryAfter);
      break;
    case OutcomeCode::Unknown:
      aResponse.status = UnknownStatus(aOutcome);
      aResponse.set_header("X-Outcome", "unknown");
      break;
  }
  aResponse.set_content(aOutcome.reason + "\n", "text/plain");
}

std::optional<Duration>
ReadDeadline(const httplib::Request& aRequest, Duration aDefault)
{
  if (!aRequest.has_header("X-Deadline-Ms")) {
    return aDefault;
  }
  uint32_t milliseconds = 0;
  bool parsed = boost::conversion::try_lexical_convert(
    aRequest.get_header_value("X-Deadline-Ms"), milliseconds);
  if (!parsed || milliseconds == 0 || milliseconds > kMaxDeadlineMs) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(milliseconds);
}

/** Visible ASCII without spaces or percent signs: the same in any header,
 * also where a library decodes header values. */
bool
IsRequestId(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxIdBytes &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return aCharacter > ' ' && aCharacter <= '~' && aCharacter != '%';
         });
}

/** Names what is wrong with a request; nothing when it may be routed. */
std::optional<std::string>
FindMistake(const Request& aRequest)
{
  if (!IsRequestId(aRequest.requestId)) {
    return "header X-Request-Id must be 1 to 128 visible ASCII characters, "
           "without %";
  }
  if (aRequest.key.empty() || aRequest.key.size() > kMaxKeyBytes) {
    return "query parameter key must be 1 to 2048 bytes";
  }
  return std::nullopt;
}

/** Installs one handler; keeps what all requests share. */
class CallerApi
{
public:
  CallerApi(Router& aRouter, Duration aDefaultDeadline)
    : router(aRouter)
    , defaultDeadline(aDefaultDeadline)
  {
  }

  void Handle(const httplib::Request& aHttp, httplib::Response& aResponse)
  {
    this->HandleStamped(aHttp, aResponse);
    aResponse.set_header("X-Issue-Stamp", ToString(this->router.Stamp()));
  }

private:
  void HandleStamped(const httplib::Request& aHttp,
                     httplib::Response& aResponse)
  {
    Request request;
    request.requestId = aHttp.get_header_value("X-Request-Id");
    request.service = aHttp.matches[1];
    request.requestClass = aHttp.matches[2];
    request.key = aHttp.get_param_value("key");
    request.body = aHttp.body;
    request.sentBefore = aHttp.get_header_value("X-Attempt") != "1";
    auto mistake = FindMistake(request);
    if (mistake) {
      Refuse(aResponse, *mistake);
      return;
    }
    auto deadline = ReadDeadline(aHttp, this->defaultDeadline);
    if (!deadline) {
      Refuse(aResponse, "X-Deadline-Ms must be from 1 to 600000");
      return;
    }
    request.deadline = BootClock::now() + *deadline;
    if (!this->ReadStamp(aHttp, request, aResponse)) {
      return;
    }
    if (!this->Redirect(aHttp, request, aResponse)) {
      Answer(aResponse, this->router.Handle(request));
    }
  }

  /** @return False when the request was refused for its stamp. */
  bool ReadStamp(const httplib::Request& aHttp,
                 Request& aRequest,
                 httplib::Response& aResponse)
  {
    if (!this->router.NeedsStamp(aRequest)) {
      return true;
    }
    auto stamp = ParseIssueStamp(aHttp.get_header_value("X-Issue-Stamp"));
    if (!stamp) {
      Refuse(aResponse,
             "header X-Issue-Stamp is missing: give the one of this answer to "
             "a new request id and send it again");
      aResponse.status = kStatusStampMissing;
      return false;
    }
    aRequest.stamp = *stamp;
    return true;
  }

  /** @return Whether the caller was sent to the owner's daemon. */
  bool Redirect(const httplib::Request& aHttp,
                const Request& aRequest,
                httplib::Response& aResponse)
  {
    if (aHttp.get_header_value("X-Accept-Redirect") != "1") {
      return false;
    }
    auto route = this->router.Elsewhere(aRequest);
    if (!route) {
      return false;
    }
    aResponse.status = kStatusRedirect;
    aResponse.set_header("X-Outcome", "redirected");
    aResponse.set_header("Location",
                         "http://" + route->callerAddress + "/v1/request/" +
                           PercentEncode(aRequest.service) + "/" +
                           PercentEncode(aRequest.requestClass) +
                           "?key=" + PercentEncode(aRequest.key));
    return true;
  }

  Router& router;
  Duration defaultDeadline;
};

} // namespace

void
InstallCallerApi(httplib::Server& aServer,
                 Router& aRouter,
                 Duration aDefaultDeadline)
{
  auto api = std::make_shared<CallerApi>(aRouter, aDefaultDeadline);
  aServer.Post(
    R"(/v1/request/([^/]+)/([^/]+))",
    [api](const httplib::Request& aHttp, httplib::Response& aResponse) {
      api->Handle(aHttp, aResponse);
    });
}

} // namespace fescuetiller
