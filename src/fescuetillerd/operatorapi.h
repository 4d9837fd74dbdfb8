#pragma once

#include <functional>
#include <string>

#include "fescuetillerd/controlloop.h"
#include "fescuetillerd/countingstore.h"
#include "fescuetillerd/drainstate.h"
#include "metrics/metrics.h"
#include "reports/reports.h"

namespace httplib {
class Server;
}

namespace fescuetiller {

/** Input of one kind that was refused, for the metrics. */
struct RefusedInput
{
  std::string kind;
  uint64_t count = 0;
};

/** What the operator port tells of; owned by the daemon. */
struct OperatorParts
{
  const Settings& settings;
  const Classes& classes;
  const ServingTable& serving;
  const ClassMetrics& metrics;
  const StoreCounters& storeCounters;
  const DrainState& drain;
  std::function<ControlStatus()> status;
  std::function<wire::HealthReport()> health;
  std::function<Duration()> unavailable;
  std::function<std::vector<RefusedInput>()> refused;
  /** Reads a member's drain row again and passes it on to other daemons. */
  std::function<Result<void>(const std::string&)> refresh;
};

/** Reads of the daemon's state, and the notice that a drain was recorded. No
 * call changes anything that the table service does not hold. */
void
InstallOperatorApi(httplib::Server& aServer, const OperatorParts& aParts);

} // namespace fescuetiller
