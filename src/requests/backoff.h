#pragma once

#include <random>

#include "base/base.h"

namespace fescuetiller {

/** Exponential back-off with full jitter: each pause is drawn evenly from
 * nothing up to a bound that doubles. */
class Backoff
{
public:
  Backoff(Duration aFirst, Duration aLargest);

  Duration Next(std::mt19937& aRandom);

private:
  Duration bound;
  Duration largest;
};

} // namespace fescuetiller
