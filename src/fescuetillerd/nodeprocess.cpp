#include "fescuetillerd/nodeprocess.h"

#include <csignal>
#include <cstdlib>

#include <boost/algorithm/string/join.hpp>

#include "fescuetillerd/settingsreload.h"

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Time until clients detect that the daemon is not ready: two readiness checks
 * at an interval of a second, and a margin. */
constexpr Duration kReadinessDetectionTime = milliseconds(2300);
/** Part of the stop time that is reserved for the exit of the process. */
constexpr Duration kExitMargin = milliseconds(400);
/** Time after a stop signal for which the process waits until the store has
 * accepted its last change. Without that change, the other members detect the
 * exit by the missing lease renewals. */
constexpr Duration kLastChangeTimeout = milliseconds(3500);
/** Interval between checks of the settings file, which may change without a
 * signal. */
constexpr Duration kSettingsCheckInterval = std::chrono::seconds(5);
/** Longest wait for the output of the log before the exit. */
constexpr Duration kLogFlushTimeout = milliseconds(200);
constexpr Duration kIdleCheckInterval = milliseconds(20);
/** Time from the close of all connections to the exit, in which other daemons
 * that were just connecting get the final response: many round trips. */
constexpr Duration kLateConnectionTime = milliseconds(100);

} // namespace

NodeProcess::NodeProcess(const NodeSettings& aSettings,
                         ReadSettings aReadSettings)
  : settings(aSettings)
  , readSettings(std::move(aReadSettings))
  , lastRead(aSettings)
  , log(aSettings.name, {})
  , traffic(1)
  , control(1)
  , trafficNode(traffic, aSettings, log, counters)
  , controlNode(control, aSettings, log, counters)
  , signals(control)
  , stopTimer(control)
  , reloadTimer(control)
{
  this->ConnectThreads();
}

NodeProcess::~NodeProcess() = default;

/** Forwards the callbacks of each thread's node to the other thread. */
void
NodeProcess::ConnectThreads()
{
  this->controlNode.onConfiguration = [this](auto aConfiguration) {
    asio::post(this->traffic, [this, aConfiguration] {
      this->trafficNode.SetConfiguration(aConfiguration);
    });
  };
  this->controlNode.onView = [this](auto aView, auto aSelf) {
    asio::post(this->traffic, [this, aView, aSelf] {
      this->trafficNode.SetView(aView, aSelf);
    });
  };
  this->controlNode.onServing = [this](auto aServing) {
    asio::post(this->traffic,
               [this, aServing] { this->trafficNode.SetServing(aServing); });
  };
  this->controlNode.onEvacuatedZones = [this](auto aZones) {
    asio::post(this->traffic,
               [this, aZones] { this->trafficNode.SetEvacuatedZones(aZones); });
  };
  this->controlNode.onCrashRecords = [this](auto aRecords) {
    asio::post(this->traffic, [this, aRecords] {
      this->trafficNode.OnCrashRecords(aRecords);
    });
  };
  this->trafficNode.onCrashRecords = [this](auto aRecords) {
    asio::post(this->control, [this, aRecords] {
      this->controlNode.SendCrashRecords(aRecords);
    });
  };
  this->trafficNode.onReport = [this](auto aReport) {
    asio::post(this->control,
               [this, aReport] { this->controlNode.OnReport(aReport); });
  };
  this->trafficNode.onServerConnectionRefused = [this] {
    asio::post(this->control,
               [this] { this->controlNode.OnServerConnectionRefused(); });
  };
  this->trafficNode.onServerLeaving = [this](auto aServer, auto aSince) {
    asio::post(this->control, [this, aServer, aSince] {
      this->controlNode.OnServerLeaving(aServer, aSince);
    });
  };
}

Result<void>
NodeProcess::Run()
{
  this->log.Write({ "start",
                    { { "service", this->settings.service },
                      { "zone", this->settings.zone },
                      { "server", this->settings.server } } });
  for (int signal : { SIGTERM, SIGINT, SIGHUP }) {
    this->signals.add(signal);
  }
  auto listening = this->controlNode.Listen();
  if (listening) {
    listening = this->trafficNode.Listen();
  }
  if (!listening) {
    return listening;
  }
  this->WaitForSignal();
  this->ScheduleReload();
  std::thread trafficThread([this] { this->traffic.run(); });
  this->control.run();
  this->traffic.stop();
  trafficThread.join();
  this->log.Write({ "stop", {} });
  if (!this->log.WaitUntilWritten(kLogFlushTimeout)) {
    // The log's thread is blocked by its output and cannot be joined.
    std::_Exit(EXIT_SUCCESS);
  }
  return {};
}

void
NodeProcess::WaitForSignal()
{
  this->signals.async_wait(
    [this](boost::system::error_code aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        this->log.Write({ "reload", {} });
        this->ReloadSettings();
      } else if (this->stopSignalAt == Time()) {
        this->BeginStop();
      }
      this->WaitForSignal();
    });
}

void
NodeProcess::ScheduleReload()
{
  this->reloadTimer.expires_after(kSettingsCheckInterval);
  this->reloadTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->ReloadSettings();
      this->ScheduleReload();
    }
  });
}

void
NodeProcess::ReloadSettings()
{
  auto read = this->readSettings();
  if (read == this->lastRead) {
    return;
  }
  this->lastRead = read;
  if (!read) {
    this->log.Write(
      { "settings-refused", { { "reason", ToString(read.error()) } } });
    return;
  }
  auto reload = MergeReloadedSettings(this->settings, *read);
  this->log.Write(
    { "settings-changed",
      { { "applied", boost::join(reload.applied, " ") },
        { "need_restart", boost::join(reload.needRestart, " ") } } });
  this->settings = reload.settings;
  this->controlNode.SetSettings(this->settings);
  asio::post(this->traffic, [this, changed = this->settings] {
    this->trafficNode.SetSettings(changed);
  });
}

void
NodeProcess::BeginStop()
{
  this->stopSignalAt = BootClock::now();
  this->exitDeadline =
    this->stopSignalAt + this->settings.stopTime - kExitMargin;
  this->log.Write({ "stopping", {} });
  this->controlNode.BeginStop();
  asio::post(this->traffic, [this] { this->trafficNode.AnnounceClose(); });
  this->stopTimer.expires_after(
    std::min<Duration>(kReadinessDetectionTime, this->settings.stopTime / 2));
  this->stopTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->ContinueStop();
    }
  });
}

void
NodeProcess::ContinueStop()
{
  this->controlNode.LeaveCluster();
  asio::post(this->traffic, [this, exitAt = this->exitDeadline] {
    this->trafficNode.StopAccepting(exitAt);
    asio::post(this->control, [this] { this->CheckIdle(); });
  });
}

void
NodeProcess::CheckIdle()
{
  asio::post(this->traffic, [this] {
    bool idle = this->trafficNode.CloseIfIdle();
    asio::post(this->control, [this, idle] {
      auto now = BootClock::now();
      if (idle && this->closedAt == Time()) {
        this->closedAt = now;
      }
      bool changesDone = this->controlNode.HasNoPendingChange() ||
                         now >= this->stopSignalAt + kLastChangeTimeout;
      bool done =
        idle && changesDone && now >= this->closedAt + kLateConnectionTime;
      if (done || now >= this->exitDeadline) {
        this->StopControlThread();
        return;
      }
      this->stopTimer.expires_after(kIdleCheckInterval);
      this->stopTimer.async_wait([this](boost::system::error_code aError) {
        if (!aError) {
          this->CheckIdle();
        }
      });
    });
  });
}

void
NodeProcess::StopControlThread()
{
  this->control.stop();
}

} // namespace fescuetiller
