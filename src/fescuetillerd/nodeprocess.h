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
  explicit NodeProcess(const NodeSettings& aSettings);
  ~NodeProcess();

  /** Runs until a stop signal has been served. */
  Result<void> Run();

private:
  void Connect();
  void WaitForSignal();
  void BeginStop();
  void ContinueStop();
  void CheckIdle();
  void End();

  NodeSettings settings;
  EventLog log;
  Counters counters;
  asio::io_context traffic;
  asio::io_context control;
  TrafficNode trafficNode;
  ControlNode controlNode;
  asio::signal_set signals;
  asio::steady_timer stopTimer;
  Time stopAt;
  Time endAt;
};

} // namespace fescuetiller
