#pragma once

#include <utility>
#include <vector>

#include "base/base.h"

namespace fescuetiller {

/** When the bytes of a buffer arrived that have not been consumed yet. */
class ArrivalTimes
{
public:
  void OnReceived(Time aNow, size_t aBytes);
  /** The oldest bytes were consumed. */
  void OnConsumed(size_t aBytes);
  /** When the last byte that was consumed arrived. */
  Time LastConsumed() const;
  /** The bytes were dropped. */
  void Clear();

private:
  /** Times and numbers of bytes, oldest first. */
  std::vector<std::pair<Time, size_t>> parts;
  Time lastConsumed;
};

} // namespace fescuetiller
