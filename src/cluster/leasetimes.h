#pragma once

#include "base/base.h"

namespace fescuetiller {

/** Times of the leases among members. */
struct LeaseTimes
{
  /** Between a member's renewals: several fit into the promise, so that two
   * lost datagrams end nothing. */
  Duration renewInterval = std::chrono::milliseconds(400);
  /** How long a guardian's acknowledgement binds it. Longer than two heartbeats
   * of a backend server, whose grants must end within it. */
  Duration promise = std::chrono::milliseconds(3000);
  /** Share by which two machines' clocks may differ in speed; the platform
   * states 2% for backend servers. */
  double drift = 0.05;
  /** Silence of a guardian after which another is named: a third of the
   * promise, to be done well before it ends. */
  Duration guardianSilence = std::chrono::milliseconds(1100);
  /** How long a member without any reachable guardian's help is left alone;
   * longer than the usual outage of the store. */
  Duration longLease = std::chrono::seconds(16);
  /** Between renewals of the long lease in the store. */
  Duration longRenewInterval = std::chrono::seconds(5);
  /** Largest number of members that watch one member. */
  size_t guardians = 3;
};

/** How long another clock may take to count a time. */
inline Duration
WithDrift(Duration aTime, const LeaseTimes& aTimes)
{
  return std::chrono::duration_cast<Duration>(aTime * (1 + aTimes.drift));
}

} // namespace fescuetiller
