#include <algorithm>
#include <ctime>

#include <nlohmann/json.hpp>

#include "audit/audit.h"
#include "fescuetillerctl/deployment.h"
#include "fescuetillerctl/texttable.h"

namespace fescuetiller {

namespace {

constexpr uint32_t kDefaultCount = 20;

/** Formats a time as UTC in ISO 8601, to the second. */
std::string
ToUtc(int64_t aUnixMilliseconds)
{
  constexpr int64_t kSecond = 1000;
  auto seconds = static_cast<std::time_t>(aUnixMilliseconds / kSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32] = {};
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

void
PrintTrail(std::ostream& aOut, const std::vector<AuditEntry>& aEntries)
{
  TextTable table({ "WHEN",
                    "WHO",
                    "FROM",
                    "ACTION",
                    "SERVICE",
                    "SUBJECT",
                    "OUTCOME",
                    "BEFORE -> AFTER" });
  for (const auto& entry : aEntries) {
    table.Add({ ToUtc(entry.unixMilliseconds),
                entry.who,
                entry.from,
                entry.action,
                entry.service,
                entry.subject,
                entry.outcome,
                entry.before + " -> " + entry.after });
  }
  table.Print(aOut);
}

nlohmann::json
ToJson(const std::vector<AuditEntry>& aEntries)
{
  nlohmann::json list = nlohmann::json::array();
  for (const auto& entry : aEntries) {
    list.push_back({ { "when", ToUtc(entry.unixMilliseconds) },
                     { "sequence", entry.sequence },
                     { "who", entry.who },
                     { "from", entry.from },
                     { "action", entry.action },
                     { "service", entry.service },
                     { "subject", entry.subject },
                     { "outcome", entry.outcome },
                     { "before", entry.before },
                     { "after", entry.after },
                     { "write_id", entry.writeId } });
  }
  return { { "entries", list } };
}

/** Reads the newest entries of all services, newest first. */
Result<std::vector<AuditEntry>>
ReadAllTrails(const StoreCalls& aStore, size_t aCount)
{
  auto deployment = ReadDeployment(aStore);
  if (!deployment) {
    return tl::unexpected(deployment.error());
  }
  std::vector<AuditEntry> all;
  for (const auto& [name, service] : deployment->configuration.services) {
    auto trail = ReadAuditTrail(aStore, name, aCount);
    if (!trail) {
      return trail;
    }
    all.insert(all.end(), trail->begin(), trail->end());
  }
  std::stable_sort(all.begin(), all.end(), [](auto& aLeft, auto& aRight) {
    return aLeft.unixMilliseconds > aRight.unixMilliseconds;
  });
  all.resize(std::min(all.size(), aCount));
  return all;
}

ExitCode
ShowAudit(Session& aSession,
          const CommonOptions& aOptions,
          const options::variables_map& aValues)
{
  auto store = OpenStore(aSession, aOptions);
  if (!store) {
    return ReportError(aSession, store.error());
  }
  auto trail = ReadAllTrails(*store, aValues["count"].as<uint32_t>());
  if (!trail) {
    return ReportError(aSession, trail.error());
  }
  if (aOptions.json) {
    aSession.out << ToJson(*trail).dump() << "\n";
  } else {
    PrintTrail(aSession.out, *trail);
  }
  return ExitCode::Ok;
}

} // namespace

Command
AuditCommand()
{
  return { "audit",
           "",
           "Shows who changed what, newest first.",
           "  fescuetillerctl audit --count 50\n  fescuetillerctl audit --json",
           {},
           [](options::options_description& aOptions) {
             aOptions.add_options()(
               "count",
               options::value<uint32_t>()->default_value(kDefaultCount),
               "number of entries");
           },
           ShowAudit };
}

} // namespace fescuetiller
