#pragma once

#include <map>
#include <string>

#include "base/base.h"

namespace fescuetiller {

/** Usual time in a slot for each class of work, learned from what ended. */
class ServiceTimes
{
public:
  /** @param aFallback Time of a class that has not been seen. */
  Duration Estimate(const std::string& aClass, Duration aFallback) const;

  void Learn(const std::string& aClass, Duration aTaken);

  /** A server that starts anew may have another speed. */
  void Reset();

private:
  std::map<std::string, Duration> times;
};

} // namespace fescuetiller
