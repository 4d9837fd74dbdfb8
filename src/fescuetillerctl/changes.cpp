#include "fescuetillerctl/changes.h"

namespace fescuetiller {

namespace {

/** Time for one change, in answers of the table service. */
constexpr int kTimeoutsPerChange = 5;

std::vector<AuditEntry>
MakeEntries(const Session& aSession,
            const CommonOptions& aOptions,
            const PlannedChange& aChange,
            const std::string& aOutcome)
{
  std::vector<AuditEntry> entries;
  for (const auto& row : aChange.rows) {
    AuditEntry entry;
    entry.who = aOptions.who;
    entry.from = aSession.host;
    entry.action = aChange.action;
    entry.subject = row.subject;
    entry.before = row.before;
    entry.after = row.after;
    entry.outcome = aOutcome;
    entries.push_back(entry);
  }
  return entries;
}

} // namespace

ChangeResult
MakeChange(Session& aSession,
           const CommonOptions& aOptions,
           TableStore& aStore,
           const PlannedChange& aChange)
{
  OperatorChange change;
  change.writeId = aChange.writeId;
  change.entries = MakeEntries(aSession, aOptions, aChange, "accepted");
  for (const auto& row : aChange.rows) {
    change.conditions.push_back({ row.row.key, row.basedOn });
    change.rows.push_back(row.row);
  }
  Duration timeout = aOptions.timeout * kTimeoutsPerChange;
  return ChangeWriter(aStore, aSession.hooks, timeout).Write(change);
}

void
RecordRefusal(Session& aSession,
              const CommonOptions& aOptions,
              TableStore& aStore,
              const PlannedChange& aChange,
              const std::string& aWhy)
{
  OperatorChange refusal;
  refusal.writeId = aSession.drawWriteId();
  refusal.entries =
    MakeEntries(aSession, aOptions, aChange, "refused: " + aWhy);
  auto result =
    ChangeWriter(aStore, aSession.hooks, aOptions.timeout).Write(refusal);
  if (result.outcome != ChangeOutcome::Accepted) {
    Fail(aSession, ExitCode::Failed, "the refusal could not be recorded");
  }
}

std::pair<std::string, ExitCode>
NameOutcome(ChangeOutcome aOutcome)
{
  switch (aOutcome) {
    case ChangeOutcome::Accepted:
      return { "accepted", ExitCode::Ok };
    case ChangeOutcome::Conflict:
      return { "conflict", ExitCode::Conflict };
    case ChangeOutcome::NotMade:
      return { "not made", ExitCode::Failed };
    case ChangeOutcome::Unknown:
      return { "unknown", ExitCode::Unknown };
  }
  return { "unknown", ExitCode::Unknown };
}

ExitCode
PrintChange(Session& aSession,
            const CommonOptions& aOptions,
            const wire::ChangeReport& aReport,
            ExitCode aCode)
{
  if (aOptions.json) {
    aSession.out << ToJson(aReport) << "\n";
    return aCode;
  }
  if (aCode != ExitCode::Ok) {
    return Fail(aSession, aCode, aReport.message());
  }
  aSession.out << aReport.message() << "\n";
  return aCode;
}

} // namespace fescuetiller
