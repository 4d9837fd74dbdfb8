#include <nlohmann/json.hpp>

#include "fescuetillerctl/deployment.h"
#include "fescuetillerctl/texttable.h"

namespace fescuetiller {

namespace {

const char*
ToString(RequestKind aKind)
{
  switch (aKind) {
    case RequestKind::Idempotent:
      return "idempotent";
    case RequestKind::NonIdempotent:
      return "non-idempotent";
    case RequestKind::Download:
      return "download";
  }
  return "unknown";
}

/** The services of a route with their weights, e.g. "agenda:9 agenda-new:1". */
std::string
FormatDestinations(const Route& aRoute)
{
  std::string text;
  for (const auto& destination : aRoute.destinations) {
    text += (text.empty() ? "" : " ") + destination.service + ":" +
            std::to_string(destination.weight);
  }
  return text;
}

void
PrintClasses(std::ostream& aOut, const Configuration& aConfiguration)
{
  aOut << "configuration " << aConfiguration.version << "\n\n";
  TextTable table({ "CLASS",
                    "HOST",
                    "PREFIX",
                    "KIND",
                    "PRIORITY",
                    "TARGET_MS",
                    "TIMEOUT_MS",
                    "ATTEMPTS",
                    "SERVICES" });
  for (const auto& [name, route] : aConfiguration.routes) {
    table.Add({ name,
                route.host,
                route.prefix,
                ToString(route.kind),
                std::to_string(route.priority),
                std::to_string(ToMilliseconds(route.targetLatency)),
                std::to_string(ToMilliseconds(route.timeout)),
                std::to_string(route.attempts),
                FormatDestinations(route) });
  }
  table.Print(aOut);
}

nlohmann::json
ToJson(const Configuration& aConfiguration)
{
  nlohmann::json classes = nlohmann::json::array();
  for (const auto& [name, route] : aConfiguration.routes) {
    nlohmann::json services = nlohmann::json::object();
    for (const auto& destination : route.destinations) {
      services[destination.service] = destination.weight;
    }
    classes.push_back({ { "name", name },
                        { "host", route.host },
                        { "prefix", route.prefix },
                        { "kind", ToString(route.kind) },
                        { "priority", route.priority },
                        { "target_ms", ToMilliseconds(route.targetLatency) },
                        { "timeout_ms", ToMilliseconds(route.timeout) },
                        { "attempts", route.attempts },
                        { "services", services } });
  }
  return { { "configuration", aConfiguration.version },
           { "classes", classes } };
}

ExitCode
ListClasses(Session& aSession,
            const CommonOptions& aOptions,
            const options::variables_map& /*aValues*/)
{
  auto deployment = ReadDeployment(aSession, aOptions);
  if (!deployment) {
    return ReportError(aSession, deployment.error());
  }
  if (aOptions.json) {
    aSession.out << ToJson(deployment->configuration).dump() << "\n";
  } else {
    PrintClasses(aSession.out, deployment->configuration);
  }
  return ExitCode::Ok;
}

} // namespace

Command
ClassListCommand()
{
  return { "class list",
           "",
           "Shows the classes of work and their targets, as configured.",
           "  fescuetillerctl class list\n"
           "  fescuetillerctl class list --json",
           {},
           nullptr,
           ListClasses };
}

} // namespace fescuetiller
