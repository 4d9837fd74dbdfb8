#include "fescuetillerctl/session.h"

#include <cstdlib>
#include <optional>
#include <random>

#include <unistd.h>

#include "platform/platform.h"

namespace fescuetiller {

namespace {

std::string
ReadEnvironment(const char* aName, const std::string& aDefault)
{
  const char* value = std::getenv(aName);
  return value != nullptr ? value : aDefault;
}

std::string
HostName()
{
  char name[256] = {};
  return gethostname(name, sizeof name - 1) == 0 ? name : "unknown";
}

std::string
GenerateWriteId()
{
  std::random_device device;
  std::uniform_int_distribution<uint64_t> any;
  return "ctl-" + ToHex(any(device)) + ToHex(any(device));
}

Result<std::string>
FetchFromDaemon(const std::string& aAddress,
                const std::string& aPath,
                Duration aTimeout)
{
  auto address = ParseEndpoint(aAddress);
  if (!address) {
    return tl::unexpected(address.error());
  }
  asio::io_context context(1);
  ConnectionPool pool(context);
  HttpRequest request(http::verb::get, aPath, 11);
  request.set(http::field::host, aAddress);
  CallOptions options;
  options.connectTimeout = aTimeout;
  options.timeout = aTimeout;
  std::optional<Result<HttpResponse>> result;
  Fetch(
    pool,
    *address,
    std::move(request),
    options,
    [&result](Result<HttpResponse> aResult) { result = std::move(aResult); });
  while (!result) {
    context.run_one();
  }
  if (!*result) {
    return tl::unexpected(result->error());
  }
  const auto& response = **result;
  if (response.result_int() != 200) {
    std::string text = response.body().substr(0, response.body().find('\n'));
    return tl::unexpected(Error{
      ErrorCode::Refused,
      "daemon " + aPath,
      aAddress,
      "HTTP status " + std::to_string(response.result_int()) + " " + text });
  }
  return response.body();
}

} // namespace

Session
SystemSession(std::ostream& aOut, std::ostream& aError)
{
  return { aOut,
           aError,
           OpenStore,
           FetchFromDaemon,
           GenerateWriteId,
           SystemChangeHooks(),
           ReadEnvironment("USER", "unknown"),
           HostName(),
           ReadEnvironment("FESCUETILLER_STORE", "") };
}

ExitCode
ReportError(Session& aSession, ExitCode aCode, const std::string& aText)
{
  aSession.error << "fescuetillerctl: " << aText << std::endl;
  return aCode;
}

ExitCode
ReportError(Session& aSession, const Error& aError)
{
  ExitCode code =
    aError.code == ErrorCode::Invalid ? ExitCode::Usage : ExitCode::Failed;
  return ReportError(aSession, code, ToString(aError));
}

} // namespace fescuetiller
