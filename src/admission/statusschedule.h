#pragma once

#include "admission/coldlimit.h"

namespace fescuetiller {

/**
 * Decides when a backend server is asked whether it is cold. It may become so
 * between two heartbeats, and then gets requests at the previous rate. So it is
 * asked each time that it has been sent half of what it tolerates while cold
 * since it last stated whether it is; below that rate, heartbeats suffice. Does
 * no I/O and reads no clock.
 */
class StatusSchedule
{
public:
  /** Whether a status check is to be sent now.
   * @param aHeartbeat Usual interval of the server's heartbeats. */
  bool IsDue(Time aNow, const ColdLimit& aLimit, Duration aHeartbeat) const;

  void OnSent(Time aNow);
  /** The check has ended. @param aUseful False if the server responded without
   * stating whether it is cold. */
  void OnEnded(Time aNow, bool aUseful);

private:
  bool inProgress = false;
  Time notBefore;
};

} // namespace fescuetiller
