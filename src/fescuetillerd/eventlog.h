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

/** How many lines may be written, and which go first. */
struct EventLogSettings
{
  /** Lines a second; at some 300 bytes a line this stays under 60 KB/s. */
  double linesPerSecond = 200;
  /** Lines that may come at once. */
  double burst = 400;
  /** Part of the allowance below which routine lines are left out. */
  double routineReserve = 0.5;
};

/** How much a line matters when not all can be written. */
enum class EventPriority
{
  Routine, ///< A request that was answered.
  Notable, ///< A request that was not answered, or a change of state.
};

/**
 * One JSON object a line on standard output. Writing never blocks: lines beyond
 * the allowance, and those that the output does not take in time, are dropped
 * and counted, and the next line written tells how many. Thread-safe.
 */
class EventLog
{
public:
  EventLog(std::string aNode, const EventLogSettings& aSettings);
  ~EventLog();

  void Write(const Event& aEvent);

  /** Builds the event only if it is written. */
  void Write(EventPriority aPriority, const std::function<Event()>& aMake);

  uint64_t DroppedLines() const;

  /** Passes on what was written since the last call, in one go: a thread that
   * is woken for each line costs more than the line. */
  void Flush();

  /** Waits until everything is written, but not for longer than aLongest.
   * @return False if the output does not take it. */
  bool WaitUntilWritten(Duration aLongest);

private:
  bool Allow(EventPriority aPriority);
  void Drop();

  std::string node;
  EventLogSettings settings;
  std::shared_ptr<spdlog::logger> logger;
  std::mutex mutex;
  double allowance;
  Time allowanceAt;
  std::string pending; ///< Lines that were not passed on yet.
  uint64_t dropped = 0;
  std::atomic<uint64_t> droppedTotal{ 0 };
};

} // namespace fescuetiller
