#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "base/base.h"

namespace spdlog {
class logger;
}

namespace fescuetiller {

/** Rate limit of the log, with a reserve for notable events. */
struct EventLogSettings
{
  /** Lines per second; at about 300 bytes per line this stays below 60 KB/s. */
  double linesPerSecond = 200;
  /** Most lines that may be written at once after a quiet period. */
  double burst = 400;
  /** Fraction of the burst that is reserved for notable events: routine events
   * are dropped while less is available. */
  double notableReserve = 0.5;
};

/** Which events are dropped first when the rate limit is reached. */
enum class EventPriority
{
  Routine, ///< A request with the outcome "answered".
  Notable, ///< A request with another outcome, or a change of state.
  Summary, ///< Written at intervals; not subject to the rate limit.
};

/**
 * Log of events on standard output, one JSON object per line. Writing never
 * blocks: lines that exceed the rate limit, or that the output does not accept
 * in time, are dropped, and the next line written contains their number.
 * Thread-safe.
 */
class EventLog
{
public:
  EventLog(std::string aNode, const EventLogSettings& aSettings);
  ~EventLog();

  void Write(const Event& aEvent);

  /** Calls aMake only if the rate limit allows the event to be written. */
  void Write(EventPriority aPriority, const std::function<Event()>& aMake);

  /** Number of lines dropped since the start. */
  uint64_t DroppedLines() const;

  /** Passes the lines since the last call to the output thread as one batch:
   * waking that thread for each line would cost more than the line. */
  void Flush();

  /** Flushes and waits until the output thread has taken everything.
   * @return False if that took longer than aTimeout. */
  bool WaitUntilWritten(Duration aTimeout);

private:
  bool AcquireToken(EventPriority aPriority);
  void CountDroppedLine();

  std::string node;
  EventLogSettings settings;
  std::shared_ptr<spdlog::logger> logger;
  std::mutex mutex;
  double tokens; ///< Lines that may be written now (token bucket).
  Time tokensUpdatedAt;
  std::string pending;  ///< Lines not yet passed to the output thread.
  uint64_t dropped = 0; ///< Lines dropped since the last written line.
  std::atomic<uint64_t> droppedTotal{ 0 };
};

} // namespace fescuetiller
