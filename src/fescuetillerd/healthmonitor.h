#pragma once

#include <functional>
#include <mutex>
#include <thread>

#include <condition_variable>

#include "metrics/metrics.h"
#include "reports/reports.h"

namespace fescuetiller {

/**
 * Observes the daemon's health at a fixed interval: sums up the time for which
 * it did not serve, and logs one line when what it reports changes.
 */
class HealthMonitor
{
public:
  using Judge = std::function<wire::HealthReport()>;

  /** @param aName The daemon's name, for the log.
   * @param aAfterEach Runs after each observation. */
  HealthMonitor(std::string aName,
                Judge aJudge,
                std::function<void()> aAfterEach);
  ~HealthMonitor();

  void Start();
  void Stop();

  /** Time without service since the first service. */
  Duration Unavailable() const;

private:
  void Run();
  void Observe();

  std::string name;
  Judge judge;
  std::function<void()> afterEach;
  mutable std::mutex mutex;
  std::condition_variable wake;
  bool stopping = false;
  bool served = false;
  std::string lastText;
  UnavailableTime unavailable;
  std::thread thread;
};

} // namespace fescuetiller
