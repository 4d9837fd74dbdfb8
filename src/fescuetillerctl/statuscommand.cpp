#include "fescuetillerctl/cluster.h"
#include "fescuetillerctl/texttable.h"

namespace fescuetiller {

namespace {

/** Asks each member how it is, for its line and for what is degraded. */
void
AddAnswers(Session& aSession,
           const CommonOptions& aOptions,
           const ClusterView& aView,
           wire::StatusReport& aReport)
{
  auto answers = CallMembers(
    aSession, aOptions, LiveMembers(aView), "/healthz?format=json", false);
  for (size_t index = 0; index < answers.size(); ++index) {
    auto* member = aReport.mutable_members(static_cast<int>(index));
    const auto& body = answers[index].body;
    wire::HealthReport health;
    auto parsed =
      body ? FromJson(*body, health, member->name()) : Result<void>();
    if (!body || !parsed) {
      member->set_answer("no answer");
      aReport.add_degraded(member->name() + ": " +
                           (body ? parsed.error() : body.error()).message);
      continue;
    }
    member->set_answer(health.healthy() ? "serving" : "not serving");
    for (const auto& reason : health.reasons()) {
      aReport.add_degraded(member->name() + ": " + reason);
    }
    for (const auto& degraded : health.degraded()) {
      aReport.add_degraded(member->name() + ": " + degraded);
    }
  }
}

Result<wire::StatusReport>
StatusFromDaemon(Session& aSession, const CommonOptions& aOptions)
{
  auto body = AskAnyDaemon(aSession, aOptions, "/v1/status");
  if (!body) {
    return tl::unexpected(body.error());
  }
  wire::StatusReport report;
  auto parsed = FromJson(*body, report, aOptions.daemon);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  return report;
}

Result<wire::StatusReport>
StatusFromPlatform(Session& aSession, const CommonOptions& aOptions)
{
  auto view = ReadCluster(aSession, aOptions);
  if (!view) {
    return tl::unexpected(view.error());
  }
  wire::StatusReport report;
  report.set_source("table service " + aOptions.platform);
  report.set_store_reachable(true);
  AddCluster(*view, {}, report);
  AddAnswers(aSession, aOptions, *view, report);
  return report;
}

void
PrintStatus(std::ostream& aOut, const wire::StatusReport& aReport)
{
  aOut << "as known by " << aReport.source() << "\n\n";
  TextTable services(
    { "SERVICE", "MEMBERS", "SLOTS", "PARTITIONS", "OWNED", "IMBALANCE" });
  for (const auto& service : aReport.services()) {
    services.Add({ service.name(),
                   std::to_string(service.members()),
                   std::to_string(service.slots()),
                   std::to_string(service.partitions_known()),
                   std::to_string(service.partitions_owned()),
                   ToText(service.imbalance()) });
  }
  services.Print(aOut);
  aOut << "\n";
  TextTable members({ "MEMBER",
                      "SERVICE",
                      "ZONE",
                      "STATE",
                      "PARTITIONS",
                      "SLOTS",
                      "LEASE GRANTED BY",
                      "OPERATOR ADDRESS",
                      "ANSWER" });
  for (const auto& member : aReport.members()) {
    members.Add({ member.name(),
                  member.service(),
                  member.zone(),
                  member.state(),
                  std::to_string(member.partitions()),
                  std::to_string(member.slots()),
                  member.granted_by(),
                  member.operator_address(),
                  member.answer() });
  }
  members.Print(aOut);
  aOut << "\n"
       << (aReport.degraded().empty() ? "nothing is degraded\n"
                                      : "degraded:\n");
  for (const auto& degraded : aReport.degraded()) {
    aOut << "  " << degraded << "\n";
  }
}

ExitCode
ShowStatus(Session& aSession,
           const CommonOptions& aOptions,
           const options::variables_map& /*aValues*/)
{
  auto report = aOptions.daemon.empty() ? StatusFromPlatform(aSession, aOptions)
                                        : StatusFromDaemon(aSession, aOptions);
  if (!report) {
    return Fail(aSession, report.error());
  }
  if (aOptions.json) {
    aSession.out << ToJson(*report) << "\n";
  } else {
    PrintStatus(aSession.out, *report);
  }
  return ExitCode::Ok;
}

} // namespace

Command
StatusCommand()
{
  return { "status",
           "",
           "Shows daemons, backend servers, leases, owners, what is degraded.",
           "  fescuetillerctl status\n"
           "  fescuetillerctl status --daemon 10.0.0.1:8102",
           {},
           nullptr,
           ShowStatus };
}

} // namespace fescuetiller
