#include "http/arrivaltimes.h"

#include <algorithm>

namespace fescuetiller {

void
ArrivalTimes::OnReceived(Time aNow, size_t aBytes)
{
  this->parts.emplace_back(aNow, aBytes);
}

void
ArrivalTimes::OnConsumed(size_t aBytes)
{
  auto part = this->parts.begin();
  while (aBytes > 0 && part != this->parts.end()) {
    this->lastConsumed = part->first;
    auto consumed = std::min(aBytes, part->second);
    aBytes -= consumed;
    part->second -= consumed;
    if (part->second == 0) {
      ++part;
    }
  }
  this->parts.erase(this->parts.begin(), part);
}

Time
ArrivalTimes::LastConsumed() const
{
  return this->lastConsumed;
}

void
ArrivalTimes::Clear()
{
  this->parts.clear();
}

} // namespace fescuetiller
