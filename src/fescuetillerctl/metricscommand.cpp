#include "fescuetillerctl/cluster.h"

namespace fescuetiller {

namespace {

Result<std::string>
FindAddress(Session& aSession,
            const CommonOptions& aOptions,
            const std::string& aName)
{
  auto view = ReadCluster(aSession, aOptions);
  if (!view) {
    return tl::unexpected(view.error());
  }
  for (const auto& member : LiveMembers(*view)) {
    if (member.name == aName && !member.operatorAddress.empty()) {
      return member.operatorAddress;
    }
  }
  return tl::unexpected(Error{
    ErrorCode::Invalid, "find member", aName, "no live member of this name" });
}

ExitCode
ShowMetrics(Session& aSession,
            const CommonOptions& aOptions,
            const options::variables_map& aValues)
{
  std::string name = TextOption(aValues, "member");
  if (name.empty() == aOptions.daemon.empty()) {
    return Fail(
      aSession, ExitCode::Usage, "metrics needs either MEMBER or --daemon");
  }
  Result<std::string> address = aOptions.daemon;
  if (!name.empty()) {
    address = FindAddress(aSession, aOptions, name);
  }
  if (!address) {
    return Fail(aSession, address.error());
  }
  auto body =
    aSession.callDaemon({ *address, "/metrics", false, aOptions.timeout });
  if (!body) {
    return Fail(aSession, body.error());
  }
  aSession.out << *body;
  return ExitCode::Ok;
}

} // namespace

Command
MetricsCommand()
{
  return { "metrics",
           "[MEMBER]",
           "Prints a daemon's metrics in the Prometheus text format.",
           "  fescuetillerctl metrics agenda-3\n"
           "  fescuetillerctl metrics --daemon 10.0.0.1:8102",
           { "member" },
           nullptr,
           ShowMetrics };
}

} // namespace fescuetiller
