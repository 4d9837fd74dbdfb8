#pragma once

#include "base/base.h"

namespace fescuetiller {

/** Times of the lease protocol; every daemon of a deployment has the same. */
struct LeaseSettings
{
  Duration lease = std::chrono::milliseconds(900);
  Duration renewInterval = std::chrono::milliseconds(200);
  /** Bound on how far two clocks drift apart within one lease. */
  Duration driftMargin = std::chrono::milliseconds(100);
  /** Silence after which a holder names another grantor. */
  Duration grantorTimeout = std::chrono::milliseconds(450);
  /** Pause before a transaction without an answer is sent again. */
  Duration retryInterval = std::chrono::milliseconds(100);
};

} // namespace fescuetiller
