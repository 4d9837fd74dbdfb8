#include <set>

#include "fescuetillerctl/changes.h"
#include "fescuetillerctl/classwait.h"
#include "fescuetillerctl/texttable.h"

namespace fescuetiller {

namespace {

/** Targets from the table service, or from one daemon with --daemon. */
Result<std::vector<wire::ClassRecord>>
ReadClasses(Session& aSession, const CommonOptions& aOptions)
{
  if (!aOptions.daemon.empty()) {
    auto body = aSession.callDaemon(
      { aOptions.daemon, "/v1/classes", false, aOptions.timeout });
    if (!body) {
      return tl::unexpected(body.error());
    }
    wire::ClassList list;
    auto parsed = FromJson(*body, list, aOptions.daemon);
    if (!parsed) {
      return tl::unexpected(parsed.error());
    }
    return std::vector<wire::ClassRecord>(list.classes().begin(),
                                          list.classes().end());
  }
  auto store = OpenStore(aSession, aOptions);
  if (!store) {
    return tl::unexpected(store.error());
  }
  auto read = (*store)->ReadChanges(kClassTable, 0);
  if (!read) {
    return tl::unexpected(read.error());
  }
  std::vector<wire::ClassRecord> classes;
  for (const auto& row : read->rows) {
    auto target = ParseClassTarget(row);
    if (target) {
      classes.push_back(ToWire(*target));
    }
  }
  return classes;
}

void
PrintClasses(Session& aSession, const std::vector<wire::ClassRecord>& aClasses)
{
  TextTable table({ "SERVICE",
                    "CLASS",
                    "LATENCY_MS",
                    "PERCENTILE",
                    "SHARE",
                    "IDEMPOTENT",
                    "REVISION",
                    "CHANGED BY" });
  for (const auto& record : aClasses) {
    table.Add({ record.service(),
                record.name(),
                std::to_string(record.latency_ms()),
                ToText(record.percentile()),
                ToText(record.share()),
                YesNo(record.idempotent()),
                std::to_string(record.revision()),
                record.changed_by() });
  }
  table.Print(aSession.out);
}

ExitCode
ListClasses(Session& aSession,
            const CommonOptions& aOptions,
            const options::variables_map& aValues)
{
  std::string service = TextOption(aValues, "service");
  std::string name = TextOption(aValues, "class");
  auto classes = ReadClasses(aSession, aOptions);
  if (!classes) {
    return Fail(aSession, classes.error());
  }
  std::vector<wire::ClassRecord> shown;
  for (const auto& record : *classes) {
    bool wanted = (service.empty() || record.service() == service) &&
                  (name.empty() || record.name() == name);
    if (wanted && !record.removed()) {
      shown.push_back(record);
    }
  }
  if (!name.empty() && shown.empty()) {
    return Fail(aSession, ExitCode::Failed, "no class " + service + "/" + name);
  }
  if (aOptions.json) {
    wire::ClassList list;
    for (const auto& record : shown) {
      *list.add_classes() = record;
    }
    aSession.out << ToJson(list) << "\n";
    return ExitCode::Ok;
  }
  PrintClasses(aSession, shown);
  return ExitCode::Ok;
}

/** One target as the operator stated it; what was not stated stays as it is. */
struct Wish
{
  std::string service;
  std::string name;
  std::optional<Duration> latency;
  std::optional<double> percentile;
  std::optional<double> share;
  std::optional<bool> idempotent;
  std::optional<uint64_t> basedOn;
  bool remove = false;
};

std::vector<Wish>
ToWishes(const std::vector<ClassFileEntry>& aEntries)
{
  std::vector<Wish> wishes;
  for (const auto& entry : aEntries) {
    const ClassTarget& target = entry.target;
    wishes.push_back({ target.service,
                       target.name,
                       target.latency,
                       target.percentile,
                       target.share,
                       target.idempotent,
                       entry.basedOn,
                       false });
  }
  return wishes;
}

Result<Wish>
ReadWish(const options::variables_map& aValues)
{
  Wish wish;
  wish.service = TextOption(aValues, "service");
  wish.name = TextOption(aValues, "class");
  if (aValues.count("latency-ms") != 0) {
    wish.latency =
      std::chrono::milliseconds(aValues["latency-ms"].as<uint32_t>());
  }
  if (aValues.count("percentile") != 0) {
    wish.percentile = aValues["percentile"].as<double>();
  }
  if (aValues.count("share") != 0) {
    wish.share = aValues["share"].as<double>();
  }
  std::string idempotent = TextOption(aValues, "idempotent");
  if (!idempotent.empty() && idempotent != "true" && idempotent != "false") {
    return tl::unexpected(Error{ ErrorCode::Invalid,
                                 "read options",
                                 "--idempotent",
                                 "must be true or false" });
  }
  if (!idempotent.empty()) {
    wish.idempotent = idempotent == "true";
  }
  if (aValues.count("revision") != 0) {
    wish.basedOn = aValues["revision"].as<uint32_t>();
  }
  return wish;
}

/** What a class becomes; without a latency, a new class is refused by Check. */
ClassTarget
Apply(const Wish& aWish, const std::optional<ClassTarget>& aCurrent)
{
  ClassTarget next = aCurrent.value_or(ClassTarget());
  next.service = aWish.service;
  next.name = aWish.name;
  next.latency = aWish.latency.value_or(next.latency);
  next.percentile = aWish.percentile.value_or(next.percentile);
  next.share = aWish.share.value_or(next.share);
  next.idempotent = aWish.idempotent.value_or(next.idempotent);
  next.removed = aWish.remove;
  ++next.revision;
  return next;
}

std::string
DescribeCurrent(const std::string& aSubject,
                const std::optional<ClassTarget>& aCurrent)
{
  if (!aCurrent) {
    return aSubject + " does not exist now";
  }
  return aSubject + " is at revision " + std::to_string(aCurrent->revision) +
         " now, changed by " + aCurrent->changedBy + ": " + Describe(*aCurrent);
}

using CurrentTargets = std::map<RowKey, ClassTarget>;

Result<CurrentTargets>
ReadCurrent(TableStore& aStore, const std::vector<Wish>& aWishes)
{
  std::vector<RowKey> keys;
  keys.reserve(aWishes.size());
  for (const auto& wish : aWishes) {
    keys.push_back(ClassKey(wish.service, wish.name));
  }
  auto read = aStore.ReadRows(keys);
  if (!read) {
    return tl::unexpected(read.error());
  }
  CurrentTargets current;
  for (const auto& row : read->rows) {
    auto target = ParseClassTarget(row);
    if (!target) {
      return tl::unexpected(Error{ ErrorCode::Invalid,
                                   "read class target",
                                   row.key.key,
                                   "the row is malformed" });
    }
    current[row.key] = *target;
  }
  return current;
}

std::optional<ClassTarget>
Find(const CurrentTargets& aCurrent, const Wish& aWish)
{
  auto found = aCurrent.find(ClassKey(aWish.service, aWish.name));
  if (found == aCurrent.end()) {
    return std::nullopt;
  }
  return found->second;
}

/** One command that changes targets, from the first read to its outcome. */
class ClassChange
{
public:
  ClassChange(Session& aSession,
              const CommonOptions& aOptions,
              TableStore& aStore,
              std::string aAction)
    : session(aSession)
    , common(aOptions)
    , store(aStore)
  {
    this->planned.action = std::move(aAction);
    this->planned.writeId = aSession.drawWriteId();
  }

  /** @return The code and the report once the change is settled. */
  ExitCode Run(const std::vector<Wish>& aWishes)
  {
    auto current = ReadCurrent(this->store, aWishes);
    if (!current) {
      return this->Refuse(ExitCode::Failed, ToString(current.error()));
    }
    for (const auto& wish : aWishes) {
      auto planned = this->Plan(wish, Find(*current, wish));
      if (!planned) {
        return this->Refuse(ExitCode::Usage, ToString(planned.error()));
      }
    }
    if (!this->outdated.empty()) {
      RecordRefusal(
        this->session, this->common, this->store, this->planned, "conflict");
      return this->Refuse(ExitCode::Conflict, this->outdated);
    }
    if (this->planned.rows.empty()) {
      this->report.set_outcome("unchanged");
      this->report.set_message("nothing to change: " + this->text);
      return ExitCode::Ok;
    }
    return this->Write();
  }

  const wire::ChangeReport& Report() const { return this->report; }
  const std::vector<ClassTarget>& Targets() const { return this->targets; }

private:
  ExitCode Refuse(ExitCode aCode, const std::string& aText)
  {
    this->report.set_outcome(aCode == ExitCode::Conflict ? "conflict"
                                                         : "not made");
    this->report.set_message(aText);
    return aCode;
  }

  Result<void> Plan(const Wish& aWish,
                    const std::optional<ClassTarget>& aCurrent)
  {
    std::string subject = aWish.service + "/" + aWish.name;
    ClassTarget next = Apply(aWish, aCurrent);
    next.changedBy = this->common.who;
    next.writeId = this->planned.writeId;
    uint64_t now = aCurrent ? aCurrent->revision : 0;
    bool gone = !aCurrent || aCurrent->removed;
    if (aWish.remove && gone) {
      return tl::unexpected(
        Error{ ErrorCode::Invalid, "remove class", subject, "does not exist" });
    }
    auto checked = Check(next);
    if (!checked) {
      return checked;
    }
    std::string before = aCurrent ? Describe(*aCurrent) : "";
    this->text += (this->text.empty() ? "" : "; ") + subject;
    if (aWish.basedOn && *aWish.basedOn != now) {
      this->outdated += (this->outdated.empty() ? "" : "; ") +
                        ("based on revision " + std::to_string(*aWish.basedOn) +
                         ", but " + DescribeCurrent(subject, aCurrent));
    } else if (before == Describe(next)) {
      this->text += " is so at revision " + std::to_string(now);
      this->targets.push_back(*aCurrent);
      return {};
    }
    this->text += " revision " + std::to_string(next.revision) + " (based on " +
                  std::to_string(now) + "): " + Describe(next);
    this->targets.push_back(next);
    this->planned.rows.push_back({ ToRow(next),
                                   aCurrent ? aCurrent->version : 0,
                                   subject,
                                   before,
                                   Describe(next) });
    return {};
  }

  ExitCode Write()
  {
    auto result =
      MakeChange(this->session, this->common, this->store, this->planned);
    auto [outcome, code] = NameOutcome(result.outcome);
    this->report.set_outcome(outcome);
    std::string message = outcome + ": " + this->text;
    if (code == ExitCode::Conflict) {
      message = "another change came first";
      for (const auto& row : result.conflicts) {
        message += "; " + DescribeCurrent(row.key.key, ParseClassTarget(row));
      }
      RecordRefusal(
        this->session, this->common, this->store, this->planned, "conflict");
    } else if (code != ExitCode::Ok) {
      message += ": " + ToString(result.error);
    } else {
      this->report.set_store_revision(result.revision);
      for (const auto& target : this->targets) {
        *this->report.add_classes() = ToWire(target);
      }
    }
    this->report.set_message(message);
    return code;
  }

  Session& session;
  const CommonOptions& common;
  TableStore& store;
  PlannedChange planned;
  std::vector<ClassTarget> targets;
  std::string text;
  std::string outdated;
  wire::ChangeReport report;
};

ExitCode
ChangeClasses(Session& aSession,
              const CommonOptions& aOptions,
              const options::variables_map& aValues,
              const std::string& aAction,
              const std::vector<Wish>& aWishes)
{
  auto store = OpenStore(aSession, aOptions);
  if (!store) {
    return Fail(aSession, store.error());
  }
  ClassChange change(aSession, aOptions, **store, aAction);
  ExitCode code = change.Run(aWishes);
  wire::ChangeReport report = change.Report();
  if (code == ExitCode::Ok && aValues.count("wait") != 0) {
    Duration wait =
      std::chrono::milliseconds(aValues["wait-ms"].as<uint32_t>());
    code = WaitUntilInForce(
      aSession, aOptions, **store, change.Targets(), wait, report);
  }
  return PrintChange(aSession, aOptions, report, code);
}

ExitCode
SetClass(Session& aSession,
         const CommonOptions& aOptions,
         const options::variables_map& aValues)
{
  std::string file = TextOption(aValues, "file");
  if (!file.empty()) {
    if (aValues.count("service") != 0) {
      return Fail(
        aSession, ExitCode::Usage, "--file and SERVICE exclude each other");
    }
    auto entries = ReadClassFile(file);
    if (!entries) {
      return Fail(aSession, entries.error());
    }
    return ChangeClasses(
      aSession, aOptions, aValues, "class set", ToWishes(*entries));
  }
  auto wish = ReadWish(aValues);
  if (!wish) {
    return Fail(aSession, wish.error());
  }
  return ChangeClasses(aSession, aOptions, aValues, "class set", { *wish });
}

ExitCode
RemoveClass(Session& aSession,
            const CommonOptions& aOptions,
            const options::variables_map& aValues)
{
  auto wish = ReadWish(aValues);
  if (!wish) {
    return Fail(aSession, wish.error());
  }
  wish->remove = true;
  return ChangeClasses(aSession, aOptions, aValues, "class remove", { *wish });
}

void
AddChangeOptions(options::options_description& aOptions)
{
  constexpr uint32_t kDefaultWaitMs = 13000;
  auto add = aOptions.add_options();
  add("revision",
      options::value<uint32_t>(),
      "revision that the change is based on; 0: the class is new. Without it, "
      "the one read just before");
  add("wait", "wait until all live daemons hold the new revision");
  add("wait-ms",
      options::value<uint32_t>()->default_value(kDefaultWaitMs),
      "longest wait");
}

void
AddSetOptions(options::options_description& aOptions)
{
  auto add = aOptions.add_options();
  add("latency-ms", options::value<uint32_t>(), "answer time to stay under");
  add("percentile",
      options::value<double>(),
      "percentile of the answer time, 99 for a new class");
  add("share",
      options::value<double>(),
      "share that must get through, 0.99 for a new class");
  add("idempotent",
      options::value<std::string>()->implicit_value("true"),
      "whether a request may run more than once; --idempotent=false undoes it");
  add("file", options::value<std::string>(), "set all targets of a class file");
  AddChangeOptions(aOptions);
}

} // namespace

std::vector<Command>
ClassCommands()
{
  const std::vector<std::string> kClass = { "service", "class" };
  return {
    { "class list",
      "[SERVICE]",
      "Lists the targets of all classes.",
      "  fescuetillerctl class list\n  fescuetillerctl class list agenda "
      "--json",
      { "service" },
      nullptr,
      ListClasses },
    { "class show",
      "SERVICE CLASS",
      "Shows the target of one class.",
      "  fescuetillerctl class show agenda lookup",
      kClass,
      nullptr,
      [](Session& aSession,
         const CommonOptions& aOptions,
         const options::variables_map& aValues) {
        if (aValues.count("class") == 0) {
          return Fail(
            aSession, ExitCode::Usage, "class show needs SERVICE and CLASS");
        }
        return ListClasses(aSession, aOptions, aValues);
      } },
    { "class set",
      "[SERVICE CLASS]",
      "Sets targets, of one class or all of a file, in one transaction.",
      "  fescuetillerctl class set agenda lookup --latency-ms 100 "
      "--idempotent\n"
      "  fescuetillerctl class set agenda lookup --latency-ms 80 --revision 1\n"
      "  fescuetillerctl class set --file classes.ini --wait",
      kClass,
      AddSetOptions,
      SetClass },
    { "class remove",
      "SERVICE CLASS",
      "Removes a class; requests of it are refused from then on.",
      "  fescuetillerctl class remove agenda lookup --revision 2",
      kClass,
      AddChangeOptions,
      RemoveClass },
  };
}

} // namespace fescuetiller
