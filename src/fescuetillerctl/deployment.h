#pragma once

#include "cluster/cluster.h"
#include "fescuetillerctl/command.h"

namespace fescuetiller {

/** What the store holds of a deployment, part after part. */
struct Deployment
{
  Configuration configuration;
  ClusterView cluster;
};

/** The store that --store or the environment names. */
Result<StoreCalls>
OpenStore(Session& aSession, const CommonOptions& aOptions);

Result<Deployment>
ReadDeployment(const StoreCalls& aStore);

/** The same from the store that the options name. */
Result<Deployment>
ReadDeployment(Session& aSession, const CommonOptions& aOptions);

/** The member of an id or an address; an error names what is wrong. */
Result<MemberRecord>
FindMember(const Deployment& aDeployment, const std::string& aName);

} // namespace fescuetiller
