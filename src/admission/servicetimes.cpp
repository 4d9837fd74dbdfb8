#include "admission/servicetimes.h"

namespace fescuetiller {

namespace {

/** Weight of a new time in the moving mean. The mean follows a change within
 * about ten requests, and a single long request moves it little. */
constexpr double kNewWeight = 0.1;

} // namespace

Duration
ServiceTimes::Estimate(const std::string& aClass, Duration aFallback) const
{
  auto found = this->times.find(aClass);
  return found == this->times.end() ? aFallback : found->second;
}

void
ServiceTimes::Learn(const std::string& aClass, Duration aTaken)
{
  auto [entry, added] = this->times.try_emplace(aClass, aTaken);
  if (!added) {
    entry->second += std::chrono::duration_cast<Duration>(
      (aTaken - entry->second) * kNewWeight);
  }
}

void
ServiceTimes::Reset()
{
  this->times.clear();
}

} // namespace fescuetiller
