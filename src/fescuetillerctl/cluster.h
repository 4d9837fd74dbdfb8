#pragma once

#include "fescuetillerctl/command.h"
#include "reports/reports.h"

namespace fescuetiller {

/** The table service named by --platform or the environment. */
Result<std::unique_ptr<TableStore>>
OpenStore(Session& aSession, const CommonOptions& aOptions);

/** Members, owners and drains from the table service. */
Result<ClusterView>
ReadCluster(TableStore& aStore);

/** The same from the platform that the options name. */
Result<ClusterView>
ReadCluster(Session& aSession, const CommonOptions& aOptions);

/** One member's answer on its operator port. */
struct MemberAnswer
{
  Member member;
  Result<std::string> body;
};

/** Calls the operator ports of many members, some at once. */
std::vector<MemberAnswer>
CallMembers(Session& aSession,
            const CommonOptions& aOptions,
            const std::vector<Member>& aMembers,
            const std::string& aPath,
            bool aPost);

/**
 * The first answer to be had: from --daemon if given, else from any live
 * member that the table service names.
 */
Result<std::string>
AskAnyDaemon(Session& aSession,
             const CommonOptions& aOptions,
             const std::string& aPath);

} // namespace fescuetiller
