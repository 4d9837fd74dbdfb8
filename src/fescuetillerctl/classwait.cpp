#include "fescuetillerctl/classwait.h"

namespace fescuetiller {

namespace {

constexpr Duration kAskInterval = std::chrono::milliseconds(200);
constexpr size_t kNamesShown = 10;

bool
Holds(const std::string& aBody, const std::vector<ClassTarget>& aTargets)
{
  wire::ClassList list;
  if (!FromJson(aBody, list, "daemon")) {
    return false;
  }
  std::map<std::pair<std::string, std::string>, uint64_t> revisions;
  for (const auto& record : list.classes()) {
    revisions[{ record.service(), record.name() }] = record.revision();
  }
  for (const auto& target : aTargets) {
    if (revisions[{ target.service, target.name }] < target.revision) {
      return false;
    }
  }
  return true;
}

std::string
Summarize(const std::vector<Member>& aMembers)
{
  std::string text;
  for (size_t index = 0; index < aMembers.size(); ++index) {
    if (index == kNamesShown) {
      return text + " and " + std::to_string(aMembers.size() - index) + " more";
    }
    text += (index == 0 ? "" : ", ") + aMembers[index].name;
  }
  return text;
}

/** Members of those given that do not hold the targets. */
std::vector<Member>
AskOnce(Session& aSession,
        const CommonOptions& aOptions,
        const std::vector<Member>& aMembers,
        const std::vector<ClassTarget>& aTargets)
{
  std::vector<Member> behind;
  auto answers =
    CallMembers(aSession, aOptions, aMembers, "/v1/classes", false);
  for (const auto& answer : answers) {
    if (!answer.body || !Holds(*answer.body, aTargets)) {
      behind.push_back(answer.member);
    }
  }
  return behind;
}

} // namespace

ExitCode
WaitUntilInForce(Session& aSession,
                 const CommonOptions& aOptions,
                 TableStore& aStore,
                 const std::vector<ClassTarget>& aTargets,
                 Duration aWait,
                 wire::ChangeReport& aReport)
{
  auto view = ReadCluster(aStore);
  if (!view) {
    aReport.set_message(aReport.message() + "; the members can't be read: " +
                        ToString(view.error()));
    return ExitCode::NotInForce;
  }
  std::vector<Member> members = LiveMembers(*view);
  size_t all = members.size();
  Time giveUp = aSession.hooks.now() + aWait;
  members = AskOnce(aSession, aOptions, members, aTargets);
  while (!members.empty() && aSession.hooks.now() + kAskInterval < giveUp) {
    aSession.hooks.wait(kAskInterval);
    members = AskOnce(aSession, aOptions, members, aTargets);
  }
  if (members.empty()) {
    aReport.set_message(aReport.message() + "; in force on all " +
                        std::to_string(all) + " live daemons");
    return ExitCode::Ok;
  }
  for (const auto& member : members) {
    aReport.add_not_in_force(member.name);
  }
  aReport.set_message(aReport.message() + "; not in force yet on " +
                      std::to_string(members.size()) + " of " +
                      std::to_string(all) + ": " + Summarize(members));
  return ExitCode::NotInForce;
}

} // namespace fescuetiller
