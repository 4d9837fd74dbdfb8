#include <ctime>

#include "fescuetillerctl/cluster.h"
#include "fescuetillerctl/texttable.h"

namespace fescuetiller {

namespace {

constexpr uint32_t kDefaultCount = 20;

/** Coordinated universal time, to the second. */
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
                    "SUBJECT",
                    "OUTCOME",
                    "BEFORE -> AFTER" });
  for (const auto& entry : aEntries) {
    std::string before = entry.before.empty() ? "nothing" : entry.before;
    table.Add({ ToUtc(entry.unixMilliseconds),
                entry.who,
                entry.from,
                entry.action,
                entry.subject,
                entry.outcome,
                before + " -> " + entry.after });
  }
  table.Print(aOut);
}

ExitCode
ShowAudit(Session& aSession,
          const CommonOptions& aOptions,
          const options::variables_map& aValues)
{
  auto store = OpenStore(aSession, aOptions);
  if (!store) {
    return Fail(aSession, store.error());
  }
  auto trail = ReadAuditTrail(**store, aValues["count"].as<uint32_t>());
  if (!trail) {
    return Fail(aSession, trail.error());
  }
  if (!aOptions.json) {
    PrintTrail(aSession.out, *trail);
    return ExitCode::Ok;
  }
  wire::AuditList list;
  for (const auto& entry : *trail) {
    *list.add_entries() = ToWire(entry);
  }
  aSession.out << ToJson(list) << "\n";
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
