#include "fescuetillerd/healthmonitor.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <glog/logging.h>

namespace fescuetiller {

namespace {

constexpr Duration kInterval = std::chrono::milliseconds(100);

/** The report on one line. */
std::string
ToLine(const wire::HealthReport& aReport)
{
  std::string line = boost::trim_copy(ToText(aReport));
  boost::replace_all(line, "\n", "; ");
  return line;
}

} // namespace

HealthMonitor::HealthMonitor(std::string aName,
                             Judge aJudge,
                             std::function<void()> aAfterEach)
  : name(std::move(aName))
  , judge(std::move(aJudge))
  , afterEach(std::move(aAfterEach))
{
}

HealthMonitor::~HealthMonitor()
{
  this->Stop();
}

void
HealthMonitor::Start()
{
  this->thread = std::thread([this] { this->Run(); });
}

void
HealthMonitor::Stop()
{
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->wake.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

Duration
HealthMonitor::Unavailable() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->unavailable.Total();
}

void
HealthMonitor::Run()
{
  while (true) {
    this->Observe();
    this->afterEach();
    std::unique_lock<std::mutex> lock(this->mutex);
    if (this->wake.wait_for(
          lock, kInterval, [this] { return this->stopping; })) {
      return;
    }
  }
}

void
HealthMonitor::Observe()
{
  wire::HealthReport report = this->judge();
  std::string text = ToLine(report);
  std::lock_guard<std::mutex> lock(this->mutex);
  this->served = this->served || report.healthy();
  this->unavailable.Observe(BootClock::now(),
                            report.healthy() || !this->served);
  if (text != this->lastText) {
    LOG(INFO) << "health of " << this->name << ": " << text;
    this->lastText = text;
  }
}

} // namespace fescuetiller
