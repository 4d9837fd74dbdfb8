#pragma once

#include <optional>

#include "config/config.h"

namespace fescuetiller {

/** What a daemon's health is judged by. */
struct HealthInputs
{
  Duration leaseLeft = Duration(0); ///< 0 or below: the lease has run out.
  bool backendAnnounced = false;
  bool backendHealthy = false;
  bool storeReachable = false;
  bool drained = false;
  size_t partitions = 0;
};

/** Healthy only if requests for the owned keys are served here and now. A
 * store outage alone degrades: peers keep granting leases meanwhile. */
wire::HealthReport
JudgeHealth(const HealthInputs& aInputs);

/** "ok", then one line for each reason. */
std::string
ToText(const wire::HealthReport& aReport);

} // namespace fescuetiller
