#include "fescuetillerctl/session.h"

#include <cstdlib>
#include <random>

#include <httplib.h>
#include <unistd.h>

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
CallDaemon(const DaemonCall& aCall)
{
  httplib::Client client("http://" + aCall.address);
  client.set_connection_timeout(aCall.timeout);
  client.set_read_timeout(aCall.timeout);
  client.set_write_timeout(aCall.timeout);
  auto response = aCall.post ? client.Post(aCall.path.c_str())
                             : client.Get(aCall.path.c_str());
  if (!response) {
    return tl::unexpected(Error{ ErrorCode::Unavailable,
                                 "daemon " + aCall.path,
                                 aCall.address,
                                 httplib::to_string(response.error()) });
  }
  if (response->status != 200) {
    std::string text = response->body.substr(0, response->body.find('\n'));
    return tl::unexpected(
      Error{ ErrorCode::Refused,
             "daemon " + aCall.path,
             aCall.address,
             "HTTP status " + std::to_string(response->status) + " " + text });
  }
  return response->body;
}

} // namespace

Session
SystemSession(std::ostream& aOut, std::ostream& aError)
{
  return { aOut,
           aError,
           [](const std::string& aAddress, Duration aTimeout) {
             return std::make_unique<HttpTableStore>(aAddress, aTimeout);
           },
           CallDaemon,
           DrawWriteId,
           SystemChangeHooks(),
           ReadEnvironment("USER", "unknown"),
           HostName(),
           ReadEnvironment("FESCUETILLER_PLATFORM", "") };
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
