#pragma once

#include "cluster/cluster.h"
#include "fescuetillerctl/command.h"

namespace fescuetiller {

/** State of a deployment as read from the store. Each service's rows are read
 * by a call of their own, so they may not be from the same moment. */
struct Deployment
{
  Configuration configuration;
  ClusterView cluster;
};

/** Opens the store named by --store or by the environment. */
Result<StoreCalls>
OpenStore(Session& aSession, const CommonOptions& aOptions);

Result<Deployment>
ReadDeployment(const StoreCalls& aStore);

/** Reads the deployment from the store named by the options. */
Result<Deployment>
ReadDeployment(Session& aSession, const CommonOptions& aOptions);

/** Finds a member by its id or address. An error says whether none or several
 * match. */
Result<MemberRecord>
FindMember(const Deployment& aDeployment, const std::string& aName);

} // namespace fescuetiller
