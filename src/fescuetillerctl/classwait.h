#pragma once

#include "fescuetillerctl/cluster.h"

namespace fescuetiller {

/**
 * Asks all live daemons for the revisions that they hold until each holds
 * these targets or newer ones.
 * @return NotInForce when the wait ended first; the report names the members.
 */
ExitCode
WaitUntilInForce(Session& aSession,
                 const CommonOptions& aOptions,
                 TableStore& aStore,
                 const std::vector<ClassTarget>& aTargets,
                 Duration aWait,
                 wire::ChangeReport& aReport);

} // namespace fescuetiller
