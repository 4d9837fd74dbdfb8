#include "scheduling/backendestimate.h"

#include <algorithm>

namespace fescuetiller {

namespace {

/** A request is overdue after this many times its class's usual time. */
constexpr int kOverdueFactor = 8;
constexpr Duration kOverdueAtLeast = std::chrono::milliseconds(100);
constexpr Duration kProbeInterval = std::chrono::milliseconds(200);
constexpr Duration kReportLifetime = std::chrono::seconds(1);
constexpr double kSlownessWeight = 0.1;
constexpr double kSlow = 1.5;
/** Requests that may be held by a frozen backend server, times its slots. */
constexpr uint32_t kMostWhileFrozen = 2;
constexpr double kRampStart = 1.0 / 3;

} // namespace

BackendEstimate::BackendEstimate(uint32_t aSlots)
  : learned(aSlots)
{
  this->SetSlots(aSlots);
}

void
BackendEstimate::SetSlots(uint32_t aSlots)
{
  bool atFull = this->learned >= this->state.slots;
  this->state.slots = std::max<uint32_t>(1, aSlots);
  this->learned = atFull ? this->state.slots
                         : std::min<double>(this->learned, this->state.slots);
  this->Publish(this->lastAnswer);
}

void
BackendEstimate::Restart()
{
  this->learned = std::max(1.0, this->state.slots * kRampStart);
  this->slowness = 1;
  this->state.frozen = false;
  this->Publish(this->lastAnswer);
}

void
BackendEstimate::Started(Time aNow, uint64_t aId, Duration aExpected)
{
  if (this->runningSince.empty()) {
    this->lastAnswer = aNow;
  }
  this->runningSince[aId] = aNow;
  Duration allowed = std::max(kOverdueAtLeast, aExpected * kOverdueFactor);
  this->overdue[aId] = this->overdueAt.emplace(aNow + allowed, aId);
  this->state.running = static_cast<uint32_t>(this->runningSince.size());
  if (this->state.frozen) {
    this->nextProbe = aNow + kProbeInterval;
  }
  this->Publish(aNow);
}

void
BackendEstimate::Finished(Time aNow,
                          uint64_t aId,
                          RunEnd aEnd,
                          Duration aExpected)
{
  auto found = this->runningSince.find(aId);
  if (found == this->runningSince.end()) {
    return;
  }
  Duration took = aNow - found->second;
  this->runningSince.erase(found);
  this->overdueAt.erase(this->overdue.at(aId));
  this->overdue.erase(aId);
  this->state.running = static_cast<uint32_t>(this->runningSince.size());
  if (aEnd == RunEnd::Done || aEnd == RunEnd::Shed) {
    this->lastAnswer = aNow;
  }
  if (aEnd == RunEnd::Shed) {
    this->Lower();
  }
  if (aEnd == RunEnd::Done) {
    if (this->state.frozen) {
      this->Restart();
    }
    double expected = std::max(1.0, static_cast<double>(aExpected.count()));
    double ratio = static_cast<double>(took.count()) / expected;
    this->slowness += kSlownessWeight * (ratio - this->slowness);
    this->Raise();
  }
  this->Publish(aNow);
}

void
BackendEstimate::Report(const LoadReport& aReport)
{
  this->report = aReport;
  this->reported = true;
}

void
BackendEstimate::Tick(Time aNow)
{
  bool anyOverdue =
    !this->overdueAt.empty() && this->overdueAt.begin()->first <= aNow;
  bool silent = aNow - this->lastAnswer >= kOverdueAtLeast;
  if (!this->state.frozen && anyOverdue && silent) {
    this->Freeze(aNow);
  }
  this->Publish(aNow);
}

void
BackendEstimate::Freeze(Time aNow)
{
  this->state.frozen = true;
  this->nextProbe = aNow + kProbeInterval;
}

void
BackendEstimate::Lower()
{
  double beside = this->state.running;
  this->learned = std::max(1.0, std::min(this->learned, beside));
}

void
BackendEstimate::Raise()
{
  double grown = this->learned + 1 / this->learned;
  this->learned = std::min<double>(this->state.slots, grown);
}

bool
BackendEstimate::ReportedFull(Time aNow) const
{
  return this->reported && aNow - this->report.at < kReportLifetime &&
         (this->report.load >= 1 || !this->report.healthy);
}

void
BackendEstimate::Publish(Time aNow)
{
  auto limit = static_cast<uint32_t>(this->learned);
  bool fresh = this->reported && aNow - this->report.at < kReportLifetime;
  this->state.reportedHealthy = fresh && this->report.healthy;
  bool hidden = this->ReportedFull(aNow) && this->slowness > kSlow &&
                this->state.running < limit;
  if (hidden) {
    --limit;
  }
  if (this->state.frozen) {
    bool probe = aNow >= this->nextProbe;
    bool room = this->state.running < kMostWhileFrozen * this->state.slots;
    limit = probe && room ? this->state.running + 1 : 0;
    this->state.retryAfter =
      std::max(this->nextProbe - aNow, kProbeInterval / 2);
  }
  this->state.limit = this->state.frozen ? limit : std::max<uint32_t>(1, limit);
}

const BackendState&
BackendEstimate::State() const
{
  return this->state;
}

void
BackendEstimate::SetWaiting(size_t aWaiting, uint32_t aRunningLengthy)
{
  this->state.runningLengthy = aRunningLengthy;
  this->state.waiting = aWaiting;
}

} // namespace fescuetiller
