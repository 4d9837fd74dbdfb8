#pragma once

#include <chrono>
#include <cstdint>

namespace fescuetiller {

/**
 * Clock that keeps counting while the machine is suspended (CLOCK_BOOTTIME).
 * Leases are measured with it, so that a resumed process sees its lease as
 * expired. Processes on one instance share it.
 */
struct BootClock
{
  // std::chrono requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)

  static time_point now();
};

using Time = BootClock::time_point;
using Duration = std::chrono::nanoseconds;

/** Converts to whole milliseconds; fractions are truncated. */
inline int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

/** Nanoseconds since boot; processes of one instance exchange a Time in this
 * form. */
inline int64_t
ToBootNanoseconds(Time aTime)
{
  return aTime.time_since_epoch().count();
}

inline Time
FromBootNanoseconds(int64_t aNanoseconds)
{
  return Time(Duration(aNanoseconds));
}

} // namespace fescuetiller
