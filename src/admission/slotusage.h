#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"

namespace fescuetiller {

/** What the time of a request in a slot was good for. */
enum class SlotUse
{
  InTime,     ///< Successful response by the target time.
  Late,       ///< Successful response after the target time.
  Error,      ///< Error response of the server.
  Unanswered, ///< No complete response of the server, or it refused.
  Cancelled,  ///< The caller left.
};

/** Sums of the time of all slots of a backend server, by their use. */
struct SlotTimes
{
  Duration inTime = Duration(0);
  Duration late = Duration(0);
  Duration error = Duration(0);
  Duration unanswered = Duration(0);
  Duration cancelled = Duration(0);
  /** No request was in the slot, although the server may run requests. */
  Duration idle = Duration(0);
  /** No request was in the slot, since the server held no keys. */
  Duration withoutKeys = Duration(0);

  /** The sums with their names in logs and metrics. */
  std::vector<std::pair<std::string, Duration>> ByName() const;

  friend bool operator==(const SlotTimes& aLeft, const SlotTimes& aRight);
};

/**
 * Adds up what the slots of a backend server are used for. Unlike the log of
 * single requests, which is limited under load, the sums are complete. Reads no
 * clock; not thread-safe.
 */
class SlotUsage
{
public:
  /** Sets the slots from now on. @param aSlots 0 while no requests may be sent
   * to the server. */
  void SetCapacity(Time aNow, uint32_t aSlots, bool aHasKeys);
  void OnStarted(Time aNow);
  /** @param aStartedAt When OnStarted was called for the request. */
  void OnFinished(Time aNow, Time aStartedAt, SlotUse aUse);

  /** The sums up to now, without requests that have not finished. */
  SlotTimes Totals(Time aNow) const;

private:
  void AddIdleTime(Time aNow);

  SlotTimes totals;
  uint32_t slots = 0;
  uint32_t running = 0;
  bool hasKeys = false;
  Time addedUntil; ///< Up to when idle time is in the totals.
};

} // namespace fescuetiller
