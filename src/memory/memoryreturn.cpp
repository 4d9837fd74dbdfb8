#include "memory/memoryreturn.h"

#include <algorithm>

namespace fescuetiller {

namespace {

/** Less than this is not worth a visit of all free blocks. */
constexpr size_t kMinBytes = 2 * 1024 * 1024;
/** Memory is returned when this part of the peak is held or less. */
constexpr size_t kPeakDivisor = 4;
constexpr Duration kInterval = std::chrono::seconds(3);

} // namespace

bool
MemoryReturn::OnMeasured(Time aNow, size_t aHeld, size_t aPeak)
{
  this->peak = std::max(this->peak, aPeak);
  if (this->peak < kMinBytes || aHeld > this->peak / kPeakDivisor ||
      aNow < this->nextAt) {
    return false;
  }
  this->peak = 0;
  this->nextAt = aNow + kInterval;
  return true;
}

} // namespace fescuetiller
