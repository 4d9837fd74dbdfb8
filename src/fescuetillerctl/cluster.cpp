#include "fescuetillerctl/cluster.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace fescuetiller {

namespace {

constexpr size_t kCallsAtOnce = 32;
constexpr size_t kDaemonsTried = 5;

Result<std::string>
CallMember(Session& aSession,
           const CommonOptions& aOptions,
           const Member& aMember,
           const std::string& aPath,
           bool aPost)
{
  if (aMember.operatorAddress.empty()) {
    return tl::unexpected(Error{ ErrorCode::Unavailable,
                                 "daemon " + aPath,
                                 aMember.name,
                                 "it has published no operator address" });
  }
  return aSession.callDaemon(
    { aMember.operatorAddress, aPath, aPost, aOptions.timeout });
}

} // namespace

Result<std::unique_ptr<TableStore>>
OpenStore(Session& aSession, const CommonOptions& aOptions)
{
  if (aOptions.platform.empty()) {
    return tl::unexpected(
      Error{ ErrorCode::Invalid,
             "reach the platform",
             "--platform",
             "is missing, and FESCUETILLER_PLATFORM is not set" });
  }
  return aSession.openStore(aOptions.platform, aOptions.timeout);
}

Result<ClusterView>
ReadCluster(TableStore& aStore)
{
  std::vector<Row> rows;
  for (const char* table : { kMemberTable, kAssignmentTable, kDrainTable }) {
    auto read = aStore.ReadChanges(table, 0);
    if (!read) {
      return tl::unexpected(read.error());
    }
    rows.insert(rows.end(), read->rows.begin(), read->rows.end());
  }
  return ParseClusterView(rows);
}

Result<ClusterView>
ReadCluster(Session& aSession, const CommonOptions& aOptions)
{
  auto store = OpenStore(aSession, aOptions);
  if (!store) {
    return tl::unexpected(store.error());
  }
  return ReadCluster(**store);
}

std::vector<MemberAnswer>
CallMembers(Session& aSession,
            const CommonOptions& aOptions,
            const std::vector<Member>& aMembers,
            const std::string& aPath,
            bool aPost)
{
  std::vector<MemberAnswer> answers;
  answers.reserve(aMembers.size());
  for (const auto& member : aMembers) {
    answers.push_back({ member, std::string() });
  }
  std::atomic<size_t> next{ 0 };
  auto work = [&] {
    for (size_t index = next++; index < answers.size(); index = next++) {
      MemberAnswer& answer = answers[index];
      answer.body = CallMember(aSession, aOptions, answer.member, aPath, aPost);
    }
  };
  std::vector<std::thread> threads;
  size_t count = std::min(kCallsAtOnce, answers.size());
  for (size_t index = 0; index < count; ++index) {
    threads.emplace_back(work);
  }
  for (auto& thread : threads) {
    thread.join();
  }
  return answers;
}

Result<std::string>
AskAnyDaemon(Session& aSession,
             const CommonOptions& aOptions,
             const std::string& aPath)
{
  if (!aOptions.daemon.empty()) {
    return aSession.callDaemon(
      { aOptions.daemon, aPath, false, aOptions.timeout });
  }
  auto view = ReadCluster(aSession, aOptions);
  if (!view) {
    return tl::unexpected(view.error());
  }
  Result<std::string> answer =
    tl::unexpected(Error{ ErrorCode::Unavailable,
                          "ask a daemon",
                          aOptions.platform,
                          "the platform knows no live member" });
  size_t tried = 0;
  for (const auto& member : LiveMembers(*view)) {
    answer = CallMember(aSession, aOptions, member, aPath, false);
    if (answer || ++tried == kDaemonsTried) {
      break;
    }
  }
  return answer;
}

} // namespace fescuetiller
