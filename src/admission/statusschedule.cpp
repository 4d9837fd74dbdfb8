#include "admission/statusschedule.h"

#include <algorithm>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Shortest time between two status checks, which have a price. */
constexpr Duration kMinInterval = milliseconds(100);
/** Time without checks after one that stated nothing. The server may not do so
 * at all. */
constexpr Duration kPauseIfUseless = std::chrono::seconds(1);
/** Share of the bound for a second after whose requests the server is asked.
 * The rest is for requests that are sent until it has responded. */
constexpr double kShareOfBound = 0.5;

} // namespace

bool
StatusSchedule::IsDue(Time aNow,
                      const ColdLimit& aLimit,
                      Duration aHeartbeat) const
{
  auto bound = aLimit.Bound();
  if (!bound || this->inProgress || aNow < this->notBefore ||
      aLimit.IsCold(aNow)) {
    return false;
  }
  auto since = std::max(aLimit.StatedAt(), Time(aNow - aHeartbeat));
  return static_cast<double>(aLimit.SentSince(since)) > *bound * kShareOfBound;
}

void
StatusSchedule::OnSent(Time aNow)
{
  this->inProgress = true;
  this->notBefore = aNow + kMinInterval;
}

void
StatusSchedule::OnEnded(Time aNow, bool aUseful)
{
  this->inProgress = false;
  if (!aUseful) {
    this->notBefore = aNow + kPauseIfUseless;
  }
}

} // namespace fescuetiller
