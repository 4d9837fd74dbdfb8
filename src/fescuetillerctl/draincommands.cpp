#include <nlohmann/json.hpp>

#include "audit/audit.h"
#include "fescuetillerctl/deployment.h"

namespace fescuetiller {

namespace {

/** Time for one change, in answers of the store. */
constexpr int kTimeoutsPerChange = 5;

std::string
Describe(const DrainRecord& aRecord)
{
  return aRecord.drain ? "drained" : "not drained";
}

std::string
DescribeCurrent(const DrainRecord& aCurrent)
{
  if (aCurrent.revision == 0) {
    return aCurrent.address + " was never drained";
  }
  return aCurrent.address + " is " + Describe(aCurrent) + " at revision " +
         std::to_string(aCurrent.revision) + ", changed by " +
         aCurrent.changedBy;
}

/** What became of a drain or undrain. */
struct DrainReport
{
  ExitCode code = ExitCode::Ok;
  std::string outcome;
  std::string message;
};

DrainReport
ReportOf(const ChangeResult& aResult, const std::string& aSubject)
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

/** One drain or undrain, from the first read to its record in the store. */
class DrainChange
{
public:
  DrainChange(Session& aSession,
              const CommonOptions& aOptions,
              StoreCalls aStore,
              bool aDrain)
    : session(aSession)
    , common(aOptions)
    , store(std::move(aStore))
    , drain(aDrain)
  {
  }

  DrainReport Run(const std::string& aName, std::optional<uint64_t> aBasedOn)
  {
    auto deployment = ReadDeployment(this->store);
    if (!deployment) {
      return { ExitCode::Failed, "not made", ToString(deployment.error()) };
    }
    auto current = Find(*deployment, aName);
    if (!current) {
      return { ExitCode::Failed, "not made", ToString(current.error()) };
    }
    return this->Change(*current, aBasedOn);
  }

private:
  using Current = Versioned<DrainRecord>;

  /** What is recorded for a member, or for an address that had one. */
  static Result<Current> Find(const Deployment& aDeployment,
                              const std::string& aName)
  {
    const auto& drains = aDeployment.cluster.AllDrains();
    auto member = FindMember(aDeployment, aName);
    for (const auto& [place, row] : drains) {
      const auto& [service, address] = place;
      bool named = member
                     ? service == member->service && address == member->address
                     : address == aName;
      if (named) {
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
    DrainRecord wish = aCurrent.record;
    wish.drain = this->drain;
    wish.revision = aCurrent.record.revision + 1;
    wish.changedBy = this->common.who;
    if (aBasedOn && *aBasedOn != aCurrent.record.revision) {
      this->RecordRefusal(aCurrent.record, wish);
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
    return this->Write(aCurrent, wish);
  }

  DrainReport Write(const Current& aCurrent, const DrainRecord& aWish)
  {
    auto change = this->Entry(aCurrent.record, aWish, "accepted");
    auto row = ToRow(aWish);
    change.conditions = { { row.key, aCurrent.version } };
    change.rows = { row };
    auto result = this->Writer(kTimeoutsPerChange).Write(change);
    auto report = ReportOf(result,
                           aWish.address + ": " + Describe(aWish) +
                             ", revision " + std::to_string(aWish.revision));
    if (result.outcome == ChangeOutcome::Conflict) {
      this->RecordRefusal(aCurrent.record, aWish);
      auto now = ParseDrain(result.conflicts.front());
      report.message += now ? "; " + DescribeCurrent(*now) : "";
    }
    return report;
  }

  void RecordRefusal(const DrainRecord& aCurrent, const DrainRecord& aWish)
  {
    auto result =
      this->Writer(1).Write(this->Entry(aCurrent, aWish, "refused: conflict"));
    if (result.outcome != ChangeOutcome::Accepted) {
      Fail(this->session,
           ExitCode::Failed,
           "the refusal could not be recorded: " + ToString(result.error));
    }
  }

  OperatorChange Entry(const DrainRecord& aCurrent,
                       const DrainRecord& aWish,
                       const std::string& aOutcome)
  {
    AuditEntry entry;
    entry.who = this->common.who;
    entry.from = this->session.host;
    entry.action = this->drain ? "drain" : "undrain";
    entry.subject = aWish.address;
    entry.before = Describe(aCurrent);
    entry.after = Describe(aWish);
    entry.outcome = aOutcome;
    OperatorChange change;
    change.service = aWish.service;
    change.writeId = this->session.drawWriteId();
    change.entries = { entry };
    return change;
  }

  ChangeWriter Writer(int aTimeouts) const
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
    return Fail(aSession, aReport.code, aReport.message);
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
    return Fail(aSession,
                ExitCode::Usage,
                "MEMBER is the id or the address that status shows");
  }
  auto store = OpenStore(aSession, aOptions);
  if (!store) {
    return Fail(aSession, store.error());
  }
  std::optional<uint64_t> basedOn;
  if (aValues.count("revision") != 0) {
    basedOn = aValues["revision"].as<uint32_t>();
  }
  DrainChange change(aSession, aOptions, *store, aDrain);
  return Print(aSession, aOptions, change.Run(name, basedOn));
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
               "revision that the change is based on; without it, the one "
               "read just before");
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
      "drain", "Hands over all that a member owns, until undrain.", true),
    MakeDrainCommand("undrain", "Lets a member own keys again.", false),
  };
}

} // namespace fescuetiller
