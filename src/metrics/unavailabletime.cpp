#include "metrics/unavailabletime.h"

#include <algorithm>

namespace fescuetiller {

namespace {

constexpr Duration kLongestGap = std::chrono::seconds(1);

} // namespace

void
UnavailableTime::Observe(Time aNow, bool aAvailable)
{
  if (this->failedAt && aNow > *this->failedAt) {
    this->total += std::min(kLongestGap, aNow - *this->failedAt);
  }
  this->failedAt = aAvailable ? std::nullopt : std::optional<Time>(aNow);
}

Duration
UnavailableTime::Total() const
{
  return this->total;
}

} // namespace fescuetiller
