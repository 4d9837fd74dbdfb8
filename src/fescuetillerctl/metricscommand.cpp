#include "fescuetillerctl/command.h"

namespace fescuetiller {

namespace {

ExitCode
ShowMetrics(Session& aSession,
            const CommonOptions& aOptions,
            const options::variables_map& aValues)
{
  std::string address = TextOption(aValues, "address");
  if (address.empty()) {
    return ReportError(
      aSession,
      ExitCode::Usage,
      "metrics needs ADDRESS, the daemon's setting listen: metrics");
  }
  auto body = aSession.fetchFromDaemon(address, "/metrics", aOptions.timeout);
  if (!body) {
    return ReportError(aSession, body.error());
  }
  aSession.out << *body;
  return ExitCode::Ok;
}

} // namespace

Command
MetricsCommand()
{
  return { "metrics",
           "ADDRESS",
           "Prints a daemon's metrics in the Prometheus text format.",
           "  fescuetillerctl metrics 10.1.0.38:9464",
           { "address" },
           nullptr,
           ShowMetrics };
}

} // namespace fescuetiller
