#pragma once

#include <memory>
#include <thread>

#include "fescuetillerd/controlnode.h"
#include "fescuetillerd/trafficnode.h"

namespace fescuetiller {

/** Process of a daemon: a control thread and a traffic thread that exchange
 * messages, and the handling of signals and settings reloads. */
class NodeProcess
{
public:
  /** Reads the settings for a reload. */
  using ReadSettings = std::function<Result<NodeSettings>()>;

  NodeProcess(const NodeSettings& aSettings, ReadSettings aReadSettings);
  ~NodeProcess();

  /** Runs until the shutdown after a stop signal is complete. */
  Result<void> Run();

private:
  void ConnectThreads();
  void WaitForSignal();
  void ScheduleReload();
  void ReloadSettings();
  void BeginStop();
  void ContinueStop();
  void CheckIdle();
  void StopControlThread();

  NodeSettings settings;
  ReadSettings readSettings;
  /** Result of the last read; a change is logged only when it is first read. */
  Result<NodeSettings> lastRead;
  EventLog log;
  Counters counters;
  asio::io_context traffic;
  asio::io_context control;
  TrafficNode trafficNode;
  ControlNode controlNode;
  asio::signal_set signals;
  asio::steady_timer stopTimer;
  asio::steady_timer reloadTimer;
  Time stopSignalAt; ///< Time() before the first stop signal.
  Time exitDeadline; ///< The process exits by then, even with open requests.
  Time closedAt;     ///< When the connections were closed; Time(): not yet.
};

} // namespace fescuetiller
