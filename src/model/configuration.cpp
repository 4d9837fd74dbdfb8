#include "model/configuration.h"

#include <tuple>

namespace fescuetiller {

bool
operator==(const Destination& aLeft, const Destination& aRight)
{
  return aLeft.service == aRight.service && aLeft.weight == aRight.weight;
}

bool
operator==(const Route& aLeft, const Route& aRight)
{
  auto tie = [](const Route& aRoute) {
    return std::tie(aRoute.name,
                    aRoute.host,
                    aRoute.prefix,
                    aRoute.kind,
                    aRoute.timeout,
                    aRoute.targetLatency,
                    aRoute.priority,
                    aRoute.attempts,
                    aRoute.destinations);
  };
  return tie(aLeft) == tie(aRight);
}

bool
operator==(const Service& aLeft, const Service& aRight)
{
  auto tie = [](const Service& aService) {
    return std::tie(aService.name,
                    aService.healthPath,
                    aService.maxConnections,
                    aService.ownsKeys,
                    aService.warmUp,
                    aService.coldRequestsPerSecond);
  };
  return tie(aLeft) == tie(aRight);
}

bool
operator==(const ClientLimits& aLeft, const ClientLimits& aRight)
{
  auto tie = [](const ClientLimits& aLimits) {
    return std::tie(aLimits.maxHeaderBytes,
                    aLimits.maxBodyBytes,
                    aLimits.headerTimeout,
                    aLimits.idleTimeout);
  };
  return tie(aLeft) == tie(aRight);
}

bool
operator==(const Configuration& aLeft, const Configuration& aRight)
{
  return aLeft.version == aRight.version && aLeft.routes == aRight.routes &&
         aLeft.services == aRight.services && aLeft.limits == aRight.limits;
}

const Service*
Configuration::FindService(const std::string& aName) const
{
  auto found = this->services.find(aName);
  return found == this->services.end() ? nullptr : &found->second;
}

} // namespace fescuetiller
