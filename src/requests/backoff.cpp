#include "requests/backoff.h"

#include <algorithm>

namespace fescuetiller {

Backoff::Backoff(Duration aFirst, Duration aLargest)
  : bound(aFirst)
  , largest(aLargest)
{
}

Duration
Backoff::Next(std::mt19937& aRandom)
{
  std::uniform_int_distribution<Duration::rep> any(0, this->bound.count());
  this->bound = std::min(this->largest, 2 * this->bound);
  return Duration(any(aRandom));
}

} // namespace fescuetiller
