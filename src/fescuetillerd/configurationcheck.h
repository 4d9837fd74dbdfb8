#pragma once

#include <functional>
#include <optional>

#include "model/model.h"

namespace fescuetiller {

/**
 * Decides when to ask the store whether the configuration in force is still the
 * newest one. A watch does not show that, since the response to it may never
 * come. A daemon that got a response tells others, so that only few daemons of
 * a cluster ask. Pure.
 */
class ConfigurationCheck
{
public:
  /** @param aRandom Returns a random number from 0 to 1. */
  explicit ConfigurationCheck(std::function<double()> aRandom);

  /** Handles that the store had no newer configuration at a time.
   * @return Whether this is news that other members need. */
  bool OnConfirmed(Time aAsOf);

  /** Begins a check if one is due. */
  bool Begin(Time aNow);

  /** Handles the end of a check.
   * @param aAnswered Whether the store responded.
   * @return As OnConfirmed. */
  bool OnEnded(Time aNow, bool aAnswered);

  /** Whether the store did not respond to the last check. */
  bool HasFailed() const;

  /** How long ago the store had no newer configuration; nothing: unknown. */
  std::optional<Duration> Age(Time aNow) const;

private:
  std::function<double()> random;
  Time confirmedAt; ///< Time(): never.
  Time nextCheckAt;
  Time startedAt; ///< Start of the check that has not ended; Time(): none.
  int failures = 0;
};

} // namespace fescuetiller
