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
DrawWriteId()
{
  std::random_device device;
  std::uniform_int_distribution<uint64_t> any;
  return "ctl-" + ToHex(any(device)) + ToHex(any(device));
}

Result<std::string>
AskDaemon(const std::string& aAddress,
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
  std::optional<Result<HttpResponse>> answer;
  Fetch(
    pool,
    *address,
    std::move(request),
    options,
    [&answer](Result<HttpResponse> aAnswer) { answer = std::move(aAnswer); });
  while (!answer) {
    context.run_one();
  }
  if (!*answer) {
    return tl::unexpected(answer->error());
  }
  const auto& response = **answer;
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
           AskDaemon,
           DrawWriteId,
           SystemChangeHooks(),
           ReadEnvironment("USER", "unknown"),
           HostName(),
           ReadEnvironment("FESCUETILLER_STORE", "") };
}

ExitCode
Fail(Session& aSession, ExitCode aCode, const std::string& aText)
{
  aSession.error << "fescuetillerctl: " << aText << std::endl;
  return aCode;
}

ExitCode
Fail(Session& aSession, const Error& aError)
{
  ExitCode code =
    aError.code == ErrorCode::Invalid ? ExitCode::Usage : ExitCode::Failed;
  return Fail(aSession, code, ToString(aError));
}

} // namespace fescuetiller
