#pragma once

#include <optional>

#include "base/base.h"

namespace fescuetiller {

/**
 * Sums up the time for which something was unavailable, from observations. A
 * failure counts until the next observation, but at most for a second, so
 * that one failure before a quiet hour is not counted as an hour.
 */
class UnavailableTime
{
public:
  void Observe(Time aNow, bool aAvailable);

  Duration Total() const;

private:
  std::optional<Time> failedAt;
  Duration total = Duration(0);
};

} // namespace fescuetiller
