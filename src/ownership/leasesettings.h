#pragma once

#include <functional>

#include "base/base.h"

namespace fescuetiller {

/** Rules on which exclusivity rests; only tests replace them. */
struct LeaseRules
{
  /** Whether a grantor may acknowledge while its own lease is so. */
  std::function<bool(bool)> acknowledges = [](bool aOwnLeaseValid) {
    return aOwnLeaseValid;
  };
  /** Start of a lease, from when its renewal was sent and acknowledged. */
  std::function<Time(Time, Time)> leaseStart = [](Time aSent, Time /*aAcked*/) {
    return aSent;
  };
  /** Whether the old grantor still counts while another one is being named. */
  std::function<bool()> oldGrantorCounts = [] { return false; };
};

/** Times of the lease protocol; every daemon of a deployment has the same. */
struct LeaseSettings
{
  Duration lease = std::chrono::milliseconds(900);
  Duration renewInterval = std::chrono::milliseconds(200);
  /** Bound on how far two clocks drift apart within one lease. */
  Duration driftMargin = std::chrono::milliseconds(100);
  /** Silence after which a holder names another grantor. */
  Duration grantorTimeout = std::chrono::milliseconds(450);
  /** Longest time for which a backend server is granted its partitions. */
  Duration backendGrant = std::chrono::milliseconds(600);
  /** Delay between the members that may take over one without a grantor. */
  Duration watchStagger = std::chrono::milliseconds(200);
  /** Pause before a transaction without an answer is sent again. */
  Duration retryInterval = std::chrono::milliseconds(100);
  LeaseRules rules;
};

} // namespace fescuetiller
