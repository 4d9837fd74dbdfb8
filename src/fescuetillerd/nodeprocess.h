#pragma once

#include <memory>
#include <thread>

#include "fescuetillerd/controlnode.h"
#include "fescuetillerd/trafficnode.h"

namespace fescuetiller {

/** A daemon's process: one thread for control state, one for traffic, messages
 * between them, and the signals. */
class NodeProcess
{
public:
  /** Reads the settings again, for a reload. */
  using ReadSettings = std::function<Result<NodeSettings>()>;

  NodeProcess(const NodeSettings& aSettings, ReadSettings aReadSettings);
  ~NodeProcess();

  /** Runs until a stop signal has been served. */
  Result<void> Run();

private:
  void Connect();
  void WaitForSignal();
  void ReloadLater();
  void ReloadSettings();
  void BeginStop();
  void ContinueStop();
  void CheckIdle();
  void End();

  NodeSettings settings;
  ReadSettings readSettings;
  Result<NodeSettings> lastRead; ///< So that each change is told once.
  EventLog log;
  Counters counters;
  asio::io_context traffic;
  asio::io_context control;
  TrafficNode trafficNode;
  ControlNode controlNode;
  asio::signal_set signals;
  asio::steady_timer stopTimer;
  asio::steady_timer reloadTimer;
  Time stopAt;
  Time endAt;
};

} // namespace fescuetiller
