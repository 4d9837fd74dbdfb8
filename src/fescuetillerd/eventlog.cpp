#include "fescuetillerd/eventlog.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace fescuetiller {

namespace {

/** Most batches of lines in the queue of the output thread. */
constexpr size_t kMaxQueuedBatches = 4;
/** Most bytes of lines, several hundred lines, that wait for the next flush.
 * Further lines are dropped. */
constexpr size_t kMaxPendingBytes = 256 * 1024;

int64_t
UnixMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

EventLog::EventLog(std::string aNode, const EventLogSettings& aSettings)
  : node(std::move(aNode))
  , settings(aSettings)
  , tokens(aSettings.burst)
  , tokensUpdatedAt(BootClock::now())
{
  spdlog::init_thread_pool(kMaxQueuedBatches, 1);
  this->logger = std::make_shared<spdlog::async_logger>(
    "events",
    std::make_shared<spdlog::sinks::stdout_sink_mt>(),
    spdlog::thread_pool(),
    spdlog::async_overflow_policy::overrun_oldest);
  this->logger->set_pattern("%v");
  this->logger->flush_on(spdlog::level::info);
}

EventLog::~EventLog()
{
  this->Flush();
  this->logger.reset();
  spdlog::shutdown();
}

bool
EventLog::AcquireToken(EventPriority aPriority)
{
  if (aPriority == EventPriority::Summary) {
    return true;
  }
  auto now = BootClock::now();
  double seconds =
    static_cast<double>((now - this->tokensUpdatedAt).count()) / 1e9;
  this->tokensUpdatedAt = now;
  this->tokens =
    std::min(this->settings.burst,
             this->tokens + seconds * this->settings.linesPerSecond);
  double reserve = aPriority == EventPriority::Routine
                     ? this->settings.burst * this->settings.notableReserve
                     : 0;
  if (this->tokens < reserve + 1) {
    this->CountDroppedLine();
    return false;
  }
  this->tokens -= 1;
  return true;
}

void
EventLog::CountDroppedLine()
{
  ++this->dropped;
  ++this->droppedTotal;
}

void
EventLog::Write(const Event& aEvent)
{
  this->Write(EventPriority::Notable, [&aEvent] { return aEvent; });
}

void
EventLog::Write(EventPriority aPriority, const std::function<Event()>& aMake)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->AcquireToken(aPriority)) {
    return;
  }
  auto event = aMake();
  nlohmann::ordered_json line = { { "time_ms", UnixMilliseconds() },
                                  { "node", this->node },
                                  { "event", event.name } };
  for (const auto& [name, value] : event.fields) {
    line[name] = value;
  }
  if (this->dropped > 0) {
    line["lines_dropped_before"] = this->dropped;
    this->dropped = 0;
  }
  auto text =
    line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  if (this->pending.size() + text.size() > kMaxPendingBytes) {
    this->CountDroppedLine();
    return;
  }
  this->pending += this->pending.empty() ? "" : "\n";
  this->pending += text;
}

void
EventLog::Flush()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  bool hasRoom = spdlog::thread_pool()->queue_size() < kMaxQueuedBatches;
  if (hasRoom && !this->pending.empty()) {
    this->logger->info(this->pending);
    this->pending.clear();
  }
}

bool
EventLog::WaitUntilWritten(Duration aTimeout)
{
  this->Flush();
  constexpr Duration kPollInterval = std::chrono::milliseconds(5);
  auto deadline = BootClock::now() + aTimeout;
  while (spdlog::thread_pool()->queue_size() > 0) {
    if (BootClock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

uint64_t
EventLog::DroppedLines() const
{
  return this->droppedTotal;
}

} // namespace fescuetiller
