#include "fescuetillerd/nodeprocess.h"

#include <csignal>
#include <cstdlib>

#include <boost/algorithm/string/join.hpp>

#include "fescuetillerd/settingsreload.h"

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Time in which clients notice that the daemon is not ready: two questions a
 * second apart, and some slack. */
constexpr Duration kNoticeTime = milliseconds(2300);
/** Kept of the stop time for ending the process itself. */
constexpr Duration kEndMargin = milliseconds(400);
/** Time after a stop signal in which the store should have taken a last change;
 * without it the others notice the end by the missing renewals. */
constexpr Duration kSettleTime = milliseconds(3500);
/** Between looks at the settings file, which may change without a signal. */
constexpr Duration kSettingsCheck = std::chrono::seconds(5);
/** Longest wait for the output of the log at the end. */
constexpr Duration kLogDrainTime = milliseconds(200);
constexpr Duration kIdleCheck = milliseconds(20);

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
  this->Connect();
}

NodeProcess::~NodeProcess() = default;

/** Lets the two threads tell each other what they need, by messages. */
void
NodeProcess::Connect()
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
  this->trafficNode.onReport = [this](auto aReport) {
    asio::post(this->control,
               [this, aReport] { this->controlNode.OnReport(aReport); });
  };
  this->trafficNode.onServerConnectionRefused = [this] {
    asio::post(this->control, [this] { this->controlNode.OnServerRefused(); });
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
  this->ReloadLater();
  std::thread trafficThread([this] { this->traffic.run(); });
  this->control.run();
  this->traffic.stop();
  trafficThread.join();
  this->log.Write({ "stop", {} });
  if (!this->log.WaitUntilWritten(kLogDrainTime)) {
    // The log's thread waits for its output and cannot be joined.
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
      } else if (this->stopAt == Time()) {
        this->BeginStop();
      }
      this->WaitForSignal();
    });
}

void
NodeProcess::ReloadLater()
{
  this->reloadTimer.expires_after(kSettingsCheck);
  this->reloadTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->ReloadSettings();
      this->ReloadLater();
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
  this->log.Write({ "settings-changed",
                    { { "applied", boost::join(reload.applied, " ") },
                      { "need_restart", boost::join(reload.ignored, " ") } } });
  this->settings = reload.settings;
  this->controlNode.SetSettings(this->settings);
  asio::post(this->traffic, [this, changed = this->settings] {
    this->trafficNode.SetSettings(changed);
  });
}

void
NodeProcess::BeginStop()
{
  this->stopAt = BootClock::now();
  this->endAt = this->stopAt + this->settings.stopTime - kEndMargin;
  this->log.Write({ "stopping", {} });
  this->controlNode.BeginStop();
  asio::post(this->traffic, [this] { this->trafficNode.AnnounceClose(); });
  this->stopTimer.expires_after(
    std::min<Duration>(kNoticeTime, this->settings.stopTime / 2));
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
  asio::post(this->traffic, [this] {
    this->trafficNode.StopAccepting();
    asio::post(this->control, [this] { this->CheckIdle(); });
  });
}

void
NodeProcess::CheckIdle()
{
  asio::post(this->traffic, [this] {
    bool idle = this->trafficNode.CloseIfIdle();
    asio::post(this->control, [this, idle] {
      bool settled = this->controlNode.Settled() ||
                     BootClock::now() >= this->stopAt + kSettleTime;
      bool done = idle && settled;
      if (done || BootClock::now() >= this->endAt) {
        this->End();
        return;
      }
      this->stopTimer.expires_after(kIdleCheck);
      this->stopTimer.async_wait([this](boost::system::error_code aError) {
        if (!aError) {
          this->CheckIdle();
        }
      });
    });
  });
}

void
NodeProcess::End()
{
  this->control.stop();
}

} // namespace fescuetiller
