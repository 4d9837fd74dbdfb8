#pragma once

#include <cmath>

#include "base/time.h"

namespace fescuetiller {

/** Factor by which a value has decayed that halves in each half-life. */
inline double
DecayFactor(Duration aElapsed, Duration aHalfLife)
{
  return std::exp2(-static_cast<double>(aElapsed.count()) /
                   static_cast<double>(aHalfLife.count()));
}

} // namespace fescuetiller
