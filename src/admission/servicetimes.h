#pragma once

#include <map>
#include <string>

#include "base/base.h"

namespace fescuetiller {

/** Moving mean of the time that each request class spends in a slot, learned
 * from finished requests. */
class ServiceTimes
{
public:
  /** The expected time of a request of the class.
   * @param aFallback Returned for a class without a finished request. */
  Duration Estimate(const std::string& aClass, Duration aFallback) const;

  /** Adds the time that a finished request spent in its slot. */
  void Learn(const std::string& aClass, Duration aTaken);

  /** Drops all learned times, since a restarted server may be faster or slower
   * than before. */
  void Reset();

private:
  std::map<std::string, Duration> times;
};

} // namespace fescuetiller
