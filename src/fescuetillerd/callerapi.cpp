#include "fescuetillerd/callerapi.h"

#include <algorithm>

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include "ini/ini.h"
#include "platform/headers.h"

namespace fescuetiller {

namespace {

constexpr const char* kRequestPath = "/v1/request/";
constexpr const char* kDeadlineField = "X-Deadline-Ms";
constexpr size_t kMaxIdBytes = 128;
constexpr size_t kMaxKeyBytes = 2048;
constexpr int64_t kMaxDeadlineMs = 600000;

/** What a caller names in the request target. */
struct CallerTarget
{
  std::string service;
  std::string requestClass;
  std::string key;
};

Error
InvalidRequest(const std::string& aMessage)
{
  return { ErrorCode::Invalid, "read request", "caller", aMessage };
}

/** Whether the text is visible ASCII without spaces, which any header field
 * carries unchanged. */
bool
IsRequestId(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxIdBytes &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return aCharacter > ' ' && aCharacter <= '~';
         });
}

Result<CallerTarget>
ParseTarget(const std::string& aTarget)
{
  const std::string kPrefix = kRequestPath;
  auto query = std::min(aTarget.find('?'), aTarget.size());
  auto path = aTarget.substr(0, query);
  auto slash = path.find('/', kPrefix.size());
  CallerTarget target;
  if (path.rfind(kPrefix, 0) == 0 && slash != std::string::npos) {
    target.service = path.substr(kPrefix.size(), slash - kPrefix.size());
    target.requestClass = path.substr(slash + 1);
  }
  if (!IsValidName(target.service) || !IsValidName(target.requestClass)) {
    return tl::unexpected(
      InvalidRequest("the path must be /v1/request/SERVICE/CLASS"));
  }
  target.key = ParseQuery(aTarget)["key"];
  return target;
}

const Route*
FindRoute(const Configuration& aConfiguration, const CallerTarget& aTarget)
{
  auto found = aConfiguration.routes.find(aTarget.requestClass);
  if (found == aConfiguration.routes.end()) {
    return nullptr;
  }
  const auto& destinations = found->second.destinations;
  bool hasService = std::any_of(
    destinations.begin(), destinations.end(), [&](const auto& aDestination) {
      return aDestination.service == aTarget.service;
    });
  return hasService ? &found->second : nullptr;
}

Result<int64_t>
ParseDeadline(const HttpRequest& aRequest, Duration aDefault)
{
  auto field = aRequest.find(kDeadlineField);
  if (field == aRequest.end()) {
    return ToMilliseconds(aDefault);
  }
  int64_t milliseconds = 0;
  bool parsed = boost::conversion::try_lexical_convert(
    std::string(field->value()), milliseconds);
  if (!parsed || milliseconds < 1 || milliseconds > kMaxDeadlineMs) {
    return tl::unexpected(
      InvalidRequest("X-Deadline-Ms must be from 1 to 600000"));
  }
  return milliseconds;
}

} // namespace

Result<HttpRequest>
ParseCallerRequest(const HttpRequest& aRequest,
                   const Configuration& aConfiguration)
{
  if (aRequest.method() != http::verb::post) {
    return tl::unexpected(InvalidRequest("the method must be POST"));
  }
  if (!IsRequestId(std::string(aRequest[headers::kRequestId]))) {
    return tl::unexpected(InvalidRequest(
      "header X-Request-Id must be 1 to 128 visible ASCII characters"));
  }
  auto target = ParseTarget(std::string(aRequest.target()));
  if (!target) {
    return tl::unexpected(target.error());
  }
  const auto* route = FindRoute(aConfiguration, *target);
  if (route == nullptr) {
    return tl::unexpected(
      Error{ ErrorCode::Refused,
             "find class",
             target->service + "/" + target->requestClass,
             "the configuration has no such class of this service" });
  }
  auto deadline = ParseDeadline(aRequest, route->timeout);
  if (!deadline) {
    return tl::unexpected(deadline.error());
  }
  const auto* service = aConfiguration.FindService(target->service);
  bool needsKey = service != nullptr && service->ownsKeys;
  if (target->key.size() > kMaxKeyBytes || (needsKey && target->key.empty())) {
    return tl::unexpected(InvalidRequest(
      "query parameter key must be 1 to 2048 bytes, percent-encoded"));
  }
  HttpRequest request = aRequest;
  request.target(route->prefix);
  request.set(http::field::host, route->host);
  request.set(headers::kTimeLeft, std::to_string(*deadline));
  request.erase(kDeadlineField);
  if (needsKey) {
    request.set(headers::kKey,
                std::to_string(StableHash(target->key) % (kLastKey + 1)));
  }
  return request;
}

void
AddOutcome(http::fields& aFields, const std::string& aOutcome)
{
  aFields.set(kOutcomeField,
              aOutcome == "answered"  ? "done"
              : aOutcome == "refused" ? "not-run"
                                      : "unknown");
}

} // namespace fescuetiller
