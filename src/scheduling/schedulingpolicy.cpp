#include "scheduling/schedulingpolicy.h"

#include <algorithm>

namespace fescuetiller {

namespace {

constexpr Duration kRetryAtLeast = std::chrono::milliseconds(50);
constexpr Duration kRetryAtMost = std::chrono::seconds(5);
constexpr double kSmallestShare = 0.05;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

Duration
ClassState::Queued() const
{
  return this->service * static_cast<int64_t>(this->queue.Size());
}

Duration
RetryAfter(const ClassState& aClass, const BackendState& aBackend)
{
  if (aBackend.frozen) {
    return aBackend.retryAfter;
  }
  double slots = aClass.limited ? aClass.allotted : aBackend.limit;
  double drain = Seconds(aClass.Queued()) / std::max(0.1, slots);
  double granted = aClass.allotted / std::max(1e-6, aClass.offered);
  double crowd =
    aClass.limited ? std::clamp(granted, kSmallestShare, 1.0) : 1.0;
  double seconds = (drain + Seconds(kRetryAtLeast)) / crowd;
  auto wait = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds));
  return std::clamp(wait, kRetryAtLeast, kRetryAtMost);
}

} // namespace fescuetiller
