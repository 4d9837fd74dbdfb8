#include "base/time.h"

#include <ctime>

namespace fescuetiller {

BootClock::time_point
BootClock::now()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace fescuetiller
