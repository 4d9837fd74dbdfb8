#pragma once

#include <map>

#include "base/base.h"

namespace fescuetiller {

/** How a started request ended, as far as the schedule is concerned. */
enum class RunEnd
{
  Done,     ///< The backend server answered.
  Shed,     ///< The backend server refused it for load.
  Lost,     ///< No answer came before it was given up.
  Withdrawn ///< It was never sent.
};

/** Load report of the backend server; may lag or be wrong. */
struct LoadReport
{
  Time at;
  double load = 0; ///< 1: every slot is in use.
  bool healthy = true;
};

/** What the daemon itself sees of its backend server. */
struct BackendState
{
  uint32_t slots = 1; ///< As announced.
  uint32_t limit = 1; ///< Requests that may run at once now.
  uint32_t running = 0;
  uint32_t runningLengthy = 0; ///< Of classes that hold up the fastest.
  size_t waiting = 0;
  bool frozen = false;               ///< Nothing comes back that should have.
  bool reportedHealthy = false;      ///< A fresh report says so; may be wrong.
  Duration retryAfter = Duration(0); ///< While frozen: time to the next probe.
};

/**
 * Limit on running requests, learned from what comes back. When the backend
 * server sheds a request it drops to what ran beside that one; it grows by one
 * slot for each full round of answers, and starts low after a cold start. A
 * load report lowers it by at most a slot, and only while the answers are slow
 * as well. Each call takes at most logarithmic time.
 */
class BackendEstimate
{
public:
  explicit BackendEstimate(uint32_t aSlots);

  void SetSlots(uint32_t aSlots);

  /** The backend server started anew: ramp up from a low limit. */
  void Restart();

  void Started(Time aNow, uint64_t aId, Duration aExpected);

  /** aExpected is the usual time of the request's class. */
  void Finished(Time aNow, uint64_t aId, RunEnd aEnd, Duration aExpected);

  void Report(const LoadReport& aReport);

  /** Notices a freeze and lets one probe through at a time. */
  void Tick(Time aNow);

  const BackendState& State() const;
  void SetWaiting(size_t aWaiting, uint32_t aRunningLengthy);

private:
  void Lower();
  void Raise();
  void Freeze(Time aNow);
  void Publish(Time aNow);
  bool ReportedFull(Time aNow) const;

  BackendState state;
  double learned;      ///< Slots, may be a fraction.
  double slowness = 1; ///< Recent time over the usual time.
  std::map<uint64_t, Time> runningSince;
  std::multimap<Time, uint64_t> overdueAt;
  std::map<uint64_t, std::multimap<Time, uint64_t>::iterator> overdue;
  Time lastAnswer;
  Time nextProbe;
  LoadReport report;
  bool reported = false;
};

} // namespace fescuetiller
