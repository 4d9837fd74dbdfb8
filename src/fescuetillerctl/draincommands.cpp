#include "fescuetillerctl/changes.h"

namespace fescuetiller {

namespace {

/** Daemons asked to pass a drain on when its member isn't reached. */
constexpr size_t kPassOnTries = 3;

Result<std::optional<Drain>>
ReadDrain(TableStore& aStore, const std::string& aName)
{
  auto read = aStore.ReadRows({ DrainKey(aName) });
  if (!read) {
    return tl::unexpected(read.error());
  }
  if (read->rows.empty()) {
    return std::optional<Drain>();
  }
  auto drain = ParseDrain(read->rows[0]);
  if (!drain) {
    return tl::unexpected(
      Error{ ErrorCode::Invalid, "read drain", aName, "the row is malformed" });
  }
  return drain;
}

std::string
DescribeCurrent(const std::string& aName, const std::optional<Drain>& aCurrent)
{
  if (!aCurrent) {
    return aName + " was never drained";
  }
  return aName + " is " + Describe(*aCurrent) + " at revision " +
         std::to_string(aCurrent->revision) + ", changed by " +
         aCurrent->changedBy;
}

std::vector<Member>
MembersNamed(const ClusterView& aView, const std::string& aName)
{
  std::vector<Member> members;
  for (const auto& member : LiveMembers(aView)) {
    if (member.name == aName) {
      members.push_back(member);
    }
  }
  return members;
}

/** One drain or undrain, from the first read until the member acts on it. */
class DrainChange
{
public:
  DrainChange(Session& aSession,
              const CommonOptions& aOptions,
              TableStore& aStore,
              Drain aWish)
    : session(aSession)
    , common(aOptions)
    , store(aStore)
    , wish(std::move(aWish))
  {
  }

  ExitCode Run(std::optional<uint64_t> aBasedOn)
  {
    auto current = ReadDrain(this->store, this->wish.name);
    if (!current) {
      return this->Report(
        ExitCode::Failed, "not made", ToString(current.error()));
    }
    auto view = ReadCluster(this->store);
    if (!view) {
      return this->Report(ExitCode::Failed, "not made", ToString(view.error()));
    }
    if (MembersNamed(*view, this->wish.name).empty() && !*current) {
      return this->Report(
        ExitCode::Failed, "not made", "no member is named " + this->wish.name);
    }
    ExitCode code = this->Write(aBasedOn, *current);
    return code == ExitCode::Ok ? this->Notify(*view) : code;
  }

private:
  ExitCode Report(ExitCode aCode,
                  const std::string& aOutcome,
                  const std::string& aMessage)
  {
    wire::ChangeReport report;
    report.set_outcome(aOutcome);
    report.set_message(aMessage);
    report.set_store_revision(this->storeRevision);
    if (aCode == ExitCode::NotInForce) {
      report.add_not_in_force(this->wish.name);
    }
    return PrintChange(this->session, this->common, report, aCode);
  }

  ExitCode Write(std::optional<uint64_t> aBasedOn,
                 const std::optional<Drain>& aCurrent)
  {
    uint64_t now = aCurrent ? aCurrent->revision : 0;
    this->wish.revision = now + 1;
    this->wish.changedBy = this->common.who;
    PlannedChange change;
    change.action = this->wish.drain ? "drain" : "undrain";
    change.writeId = this->session.drawWriteId();
    this->wish.writeId = change.writeId;
    change.rows = { { ToRow(this->wish),
                      aCurrent ? aCurrent->version : 0,
                      this->wish.name,
                      Describe(aCurrent.value_or(Drain())),
                      Describe(this->wish) } };
    if (aBasedOn && *aBasedOn != now) {
      RecordRefusal(
        this->session, this->common, this->store, change, "conflict");
      return this->Report(ExitCode::Conflict,
                          "conflict",
                          "based on revision " + std::to_string(*aBasedOn) +
                            ", but " +
                            DescribeCurrent(this->wish.name, aCurrent));
    }
    if (aCurrent.value_or(Drain()).drain == this->wish.drain) {
      this->wish.revision = now;
      return ExitCode::Ok;
    }
    return this->Settle(change);
  }

  ExitCode Settle(const PlannedChange& aChange)
  {
    auto result = MakeChange(this->session, this->common, this->store, aChange);
    this->storeRevision = result.revision;
    auto [outcome, code] = NameOutcome(result.outcome);
    if (code == ExitCode::Ok) {
      return code;
    }
    std::string message = outcome + ": " + aChange.action + " " +
                          this->wish.name + ": " + ToString(result.error);
    if (code == ExitCode::Conflict) {
      RecordRefusal(
        this->session, this->common, this->store, aChange, "conflict");
      message =
        "another change came first; " +
        DescribeCurrent(this->wish.name, ParseDrain(result.conflicts[0]));
    }
    return this->Report(code, outcome, message);
  }

  /** Lets the member read the wish again; the call carries no state. */
  ExitCode Notify(const ClusterView& aView)
  {
    std::string text = this->wish.name + ": " + Describe(this->wish) +
                       ", revision " + std::to_string(this->wish.revision);
    auto answers = CallMembers(this->session,
                               this->common,
                               MembersNamed(aView, this->wish.name),
                               "/v1/refresh",
                               true);
    for (const auto& answer : answers) {
      if (!answer.body) {
        text +=
          "; recorded, but not in force yet: " + ToString(answer.body.error()) +
          this->PassOn(aView);
        return this->Report(ExitCode::NotInForce, "accepted", text);
      }
    }
    return this->Report(ExitCode::Ok, "accepted", text);
  }

  /** Lets another daemon read the wish and pass it on. @return Who does. */
  std::string PassOn(const ClusterView& aView)
  {
    std::string path = "/v1/refresh?member=" + this->wish.name;
    size_t tried = 0;
    for (const auto& member : LiveMembers(aView)) {
      if (member.name == this->wish.name) {
        continue;
      }
      auto answers =
        CallMembers(this->session, this->common, { member }, path, true);
      if (answers[0].body) {
        return "; " + member.name + " passes it on";
      }
      if (++tried == kPassOnTries) {
        break;
      }
    }
    return "";
  }

  Session& session;
  const CommonOptions& common;
  TableStore& store;
  Drain wish;
  RowVersion storeRevision = 0;
};

ExitCode
RunDrain(Session& aSession,
         const CommonOptions& aOptions,
         const options::variables_map& aValues,
         bool aDrain)
{
  Drain wish;
  wish.name = TextOption(aValues, "member");
  wish.drain = aDrain;
  if (!IsName(wish.name)) {
    return Fail(aSession,
                ExitCode::Usage,
                std::string("MEMBER is the member's name; it ") + kNameRule);
  }
  auto store = OpenStore(aSession, aOptions);
  if (!store) {
    return Fail(aSession, store.error());
  }
  std::optional<uint64_t> basedOn;
  if (aValues.count("revision") != 0) {
    basedOn = aValues["revision"].as<uint32_t>();
  }
  return DrainChange(aSession, aOptions, **store, wish).Run(basedOn);
}

Command
MakeDrainCommand(const std::string& aName,
                 const std::string& aSummary,
                 bool aDrain)
{
  return { aName,
           "MEMBER",
           aSummary,
           "  fescuetillerctl " + aName + " agenda-3",
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
