#include "fescuetillerd/callerapi.h"

#include <boost/lexical_cast.hpp>
#include <httplib.h>

namespace fescuetiller {

namespace {

constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotRun = 503;
constexpr int kStatusUnknown = 504;
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
      aResponse.status = kStatusUnknown;
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

} // namespace

void
InstallCallerApi(httplib::Server& aServer,
                 Router& aRouter,
                 Duration aDefaultDeadline)
{
  aServer.Post(R"(/v1/request/([^/]+)/([^/]+))",
               [&aRouter, aDefaultDeadline](const httplib::Request& aHttp,
                                            httplib::Response& aResponse) {
                 Request request;
                 request.requestId = aHttp.get_header_value("X-Request-Id");
                 request.service = aHttp.matches[1];
                 request.requestClass = aHttp.matches[2];
                 request.key = aHttp.get_param_value("key");
                 request.body = aHttp.body;
                 if (request.requestId.empty()) {
                   Refuse(aResponse, "header X-Request-Id is missing");
                   return;
                 }
                 if (request.key.empty()) {
                   Refuse(aResponse, "query parameter key is missing");
                   return;
                 }
                 auto deadline = ReadDeadline(aHttp, aDefaultDeadline);
                 if (!deadline) {
                   Refuse(aResponse, "X-Deadline-Ms must be from 1 to 600000");
                   return;
                 }
                 request.deadline = BootClock::now() + *deadline;
                 Answer(aResponse, aRouter.Handle(request));
               });
}

} // namespace fescuetiller
