#pragma once

#include "base/base.h"

namespace fescuetiller {

/** Parameters of the leases that members grant to each other. */
struct LeaseTimes
{
  /** Time between renewals that a member sends to its guardians. Several fit
   * into the promise, so that the loss of two datagrams does not end the lease.
   */
  Duration renewInterval = std::chrono::milliseconds(400);
  /** Length of a guardian's promise: how long it does not agree to a takeover
   * after it acknowledged a renewal. Longer than two heartbeat intervals of a
   * backend server, because grants must expire within it. */
  Duration promise = std::chrono::milliseconds(3000);
  /** Share by which the clocks of two machines may differ in speed; the
   * platform specifies 2% for backend servers. */
  double clockDrift = 0.05;
  /** Time without an acknowledgement after which a guardian is replaced: a
   * third of the promise, so that the change completes well before the promise
   * expires. */
  Duration guardianSilence = std::chrono::milliseconds(1100);
  /** Length of the long lease in the store. A member grants keys only until its
   * own long lease ends. A member that its guardians cannot judge is lost when
   * its long lease ends. Longer than the usual outage of the store. */
  Duration longLease = std::chrono::seconds(16);
  /** Time between renewals of the long lease in the store. */
  Duration longRenewInterval = std::chrono::seconds(5);
  /** Number of guardians that a member names, if there are as many others. */
  size_t guardianCount = 3;
};

/** Extends a duration so that it has certainly passed on another machine. */
inline Duration
WithDrift(Duration aTime, const LeaseTimes& aTimes)
{
  return std::chrono::duration_cast<Duration>(aTime * (1 + aTimes.clockDrift));
}

} // namespace fescuetiller
