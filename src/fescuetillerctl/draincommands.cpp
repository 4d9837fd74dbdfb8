#include <nlohmann/json.hpp>

#include "audit/audit.h"
#include "fescuetillerctl/deployment.h"

namespace fescuetiller {

namespace {

/** Time limit of one change, as a multiple of the timeout of one call. */
constexpr int kTimeoutsPerChange = 5;

std::string
DescribeState(const DrainRecord& aRecord)
{
  return aRecord.drain ? "drained" : "not drained";
}

std::string
DescribeCurrent(const DrainRecord& aCurrent)
{
  if (aCurrent.revision == 0) {
    return aCurrent.address + " was never drained";
  }
  return aCurrent.address + " is " + DescribeState(aCurrent) + " at revision " +
         std::to_string(aCurrent.revision) + ", changed by " +
         aCurrent.changedBy;
}

/** Outcome of a drain or undrain, as it is printed. */
struct DrainReport
{
  ExitCode code = ExitCode::Ok;
  std::string outcome; ///< For programs that read the JSON output.
  std::string message;
};

DrainReport
MakeReport(const ChangeResult& aResult, const std::string& aSubject)
{
  switch (aResult.outcome) {
    case ChangeOutcome::Accepted:
      return { ExitCode::Ok, "accepted", aSubject };
    case ChangeOutcome::Conflict:
      return { ExitCode::Conflict, "conflict", "another change came first" };
    case ChangeOutcome::NotMade:
      return { ExitCode::Failed,
               "not made",
               aSubject + ": " + ToString(aResult.error) };
    case ChangeOutcome::Unknown:
      break;
  }
  return { ExitCode::Unknown,
           "unknown",
           aSubject + ": outcome unknown: " + ToString(aResult.error) };
}

/** Carries out one drain or undrain: reads the current state, checks the
 * revision and writes the change with its audit entry. */
class DrainOperation
{
public:
  DrainOperation(Session& aSession,
                 const CommonOptions& aOptions,
                 StoreCalls aStore,
                 bool aDrain)
    : session(aSession)
    , common(aOptions)
    , store(std::move(aStore))
    , drain(aDrain)
  {
  }

  /**
   * @param aName Id or address of a member.
   * @param aBasedOn Revision that the operator has seen, if given.
   */
  DrainReport Run(const std::string& aName, std::optional<uint64_t> aBasedOn)
  {
    auto deployment = ReadDeployment(this->store);
    if (!deployment) {
      return { ExitCode::Failed, "not made", ToString(deployment.error()) };
    }
    auto current = FindCurrent(*deployment, aName);
    if (!current) {
      return { ExitCode::Failed, "not made", ToString(current.error()) };
    }
    return this->Change(*current, aBasedOn);
  }

private:
  using Current = Versioned<DrainRecord>;

  /** Finds the drain record of a member, or of an address that a member used to
   * have. */
  static Result<Current> FindCurrent(const Deployment& aDeployment,
                                     const std::string& aName)
  {
    const auto& drains = aDeployment.cluster.AllDrains();
    auto member = FindMember(aDeployment, aName);
    for (const auto& [drainKey, row] : drains) {
      const auto& [service, address] = drainKey;
      bool matches =
        member ? service == member->service && address == member->address
               : address == aName;
      if (matches) {
        return row;
      }
    }
    if (!member) {
      return tl::unexpected(member.error());
    }
    Current none;
    none.record.service = member->service;
    none.record.address = member->address;
    return none;
  }

  DrainReport Change(const Current& aCurrent, std::optional<uint64_t> aBasedOn)
  {
    DrainRecord requested = aCurrent.record;
    requested.drain = this->drain;
    requested.revision = aCurrent.record.revision + 1;
    requested.changedBy = this->common.who;
    if (aBasedOn && *aBasedOn != aCurrent.record.revision) {
      this->RecordRefusal(aCurrent.record, requested);
      return { ExitCode::Conflict,
               "conflict",
               "based on revision " + std::to_string(*aBasedOn) + ", but " +
                 DescribeCurrent(aCurrent.record) };
    }
    if (aCurrent.record.drain == this->drain) {
      return { ExitCode::Ok,
               "unchanged",
               "nothing to change: " + DescribeCurrent(aCurrent.record) };
    }
    return this->Write(aCurrent, requested);
  }

  DrainReport Write(const Current& aCurrent, const DrainRecord& aRequested)
  {
    auto change =
      this->MakeAuditedChange(aCurrent.record, aRequested, "accepted");
    auto row = ToRow(aRequested);
    change.conditions = { { row.key, aCurrent.version } };
    change.rows = { row };
    auto result = this->MakeWriter(kTimeoutsPerChange).Write(change);
    auto report =
      MakeReport(result,
                 aRequested.address + ": " + DescribeState(aRequested) +
                   ", revision " + std::to_string(aRequested.revision));
    if (result.outcome == ChangeOutcome::Conflict) {
      this->RecordRefusal(aCurrent.record, aRequested);
      auto now = ParseDrain(result.conflicts.front());
      report.message += now ? "; " + DescribeCurrent(*now) : "";
    }
    return report;
  }

  /** Adds an audit entry for a change that is refused because of a conflict. */
  void RecordRefusal(const DrainRecord& aCurrent, const DrainRecord& aRequested)
  {
    auto result = this->MakeWriter(1).Write(
      this->MakeAuditedChange(aCurrent, aRequested, "refused: conflict"));
    if (result.outcome != ChangeOutcome::Accepted) {
      ReportError(this->session,
                  ExitCode::Failed,
                  "the refusal could not be recorded: " +
                    ToString(result.error));
    }
  }

  /** Creates a change that has an audit entry but no rows yet. */
  OperatorChange MakeAuditedChange(const DrainRecord& aCurrent,
                                   const DrainRecord& aRequested,
                                   const std::string& aOutcome)
  {
    AuditEntry entry;
    entry.who = this->common.who;
    entry.from = this->session.host;
    entry.action = this->drain ? "drain" : "undrain";
    entry.subject = aRequested.address;
    entry.before = DescribeState(aCurrent);
    entry.after = DescribeState(aRequested);
    entry.outcome = aOutcome;
    OperatorChange change;
    change.service = aRequested.service;
    change.writeId = this->session.generateWriteId();
    change.entries = { entry };
    return change;
  }

  ChangeWriter MakeWriter(int aTimeouts) const
  {
    return { this->store,
             this->session.hooks,
             this->common.timeout * aTimeouts };
  }

  Session& session;
  const CommonOptions& common;
  StoreCalls store;
  bool drain;
};

ExitCode
Print(Session& aSession,
      const CommonOptions& aOptions,
      const DrainReport& aReport)
{
  if (aOptions.json) {
    nlohmann::json report = { { "outcome", aReport.outcome },
                              { "message", aReport.message } };
    aSession.out << report.dump() << "\n";
    return aReport.code;
  }
  if (aReport.code != ExitCode::Ok) {
    return ReportError(aSession, aReport.code, aReport.message);
  }
  aSession.out << aReport.message << "\n";
  return aReport.code;
}

ExitCode
RunDrain(Session& aSession,
         const CommonOptions& aOptions,
         const options::variables_map& aValues,
         bool aDrain)
{
  auto name = TextOption(aValues, "member");
  if (name.empty()) {
    return ReportError(aSession,
                       ExitCode::Usage,
                       "MEMBER is the id or the address that status shows");
  }
  auto store = OpenStore(aSession, aOptions);
  if (!store) {
    return ReportError(aSession, store.error());
  }
  std::optional<uint64_t> basedOn;
  if (aValues.count("revision") != 0) {
    basedOn = aValues["revision"].as<uint32_t>();
  }
  DrainOperation operation(aSession, aOptions, *store, aDrain);
  return Print(aSession, aOptions, operation.Run(name, basedOn));
}

Command
MakeDrainCommand(const std::string& aName,
                 const std::string& aSummary,
                 bool aDrain)
{
  return { aName,
           "MEMBER",
           aSummary,
           "  fescuetillerctl " + aName + " 10.1.0.38:8146",
           { "member" },
           [](options::options_description& aOptions) {
             aOptions.add_options()(
               "revision",
               options::value<uint32_t>(),
               "revision that the change is based on; default: the current "
               "revision");
           },
           [aDrain](Session& aSession,
                    const CommonOptions& aOptions,
                    const options::variables_map& aValues) {
             return RunDrain(aSession, aOptions, aValues, aDrain);
           } };
}

} // namespace

std::vector<Command>
DrainCommands()
{
  return {
    MakeDrainCommand(
      "drain", "Hands over all keys of a member, until undrain.", true),
    MakeDrainCommand("undrain", "Lets a member own keys again.", false),
  };
}

} // namespace fescuetiller
