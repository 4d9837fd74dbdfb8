#include "scheduling/scheduler.h"

#include <algorithm>
#include <tuple>

namespace fescuetiller {

namespace {

constexpr size_t kMaxWaiting = 256;
constexpr Duration kRetryAfter = std::chrono::milliseconds(200);

} // namespace

bool
operator==(const ScheduleDecision& aLeft, const ScheduleDecision& aRight)
{
  return std::tie(aLeft.id, aLeft.kind, aLeft.retryAfter, aLeft.reason) ==
         std::tie(aRight.id, aRight.kind, aRight.retryAfter, aRight.reason);
}

Scheduler::Scheduler(uint32_t aSlots)
  : slots(aSlots)
{
}

void
Scheduler::SetSlots(uint32_t aSlots)
{
  this->slots = aSlots;
}

void
Scheduler::SetTargets(const std::vector<ClassTarget>& aTargets)
{
  this->targets.clear();
  for (const auto& target : aTargets) {
    this->targets[target.name] = target;
  }
}

std::vector<ScheduleDecision>
Scheduler::Offer(Time aNow, const QueuedRequest& aRequest)
{
  if (this->waiting.size() >= kMaxWaiting) {
    return {
      { aRequest.id, ScheduleDecision::Kind::Refuse, kRetryAfter, "queue full" }
    };
  }
  this->waiting.push_back(aRequest);
  return this->Fill(aNow);
}

std::vector<ScheduleDecision>
Scheduler::Finished(Time aNow, uint64_t aId)
{
  this->running.erase(aId);
  return this->Fill(aNow);
}

void
Scheduler::Cancel(uint64_t aId)
{
  auto same = [aId](const QueuedRequest& aRequest) {
    return aRequest.id == aId;
  };
  this->waiting.erase(
    std::remove_if(this->waiting.begin(), this->waiting.end(), same),
    this->waiting.end());
}

std::vector<ScheduleDecision>
Scheduler::Tick(Time aNow)
{
  return this->Fill(aNow);
}

std::vector<ScheduleDecision>
Scheduler::Fill(Time aNow)
{
  std::vector<ScheduleDecision> decisions;
  auto expired = [&](const QueuedRequest& aRequest) {
    if (aRequest.deadline > aNow) {
      return false;
    }
    decisions.push_back({ aRequest.id,
                          ScheduleDecision::Kind::Refuse,
                          kRetryAfter,
                          "deadline passed while waiting" });
    return true;
  };
  this->waiting.erase(
    std::remove_if(this->waiting.begin(), this->waiting.end(), expired),
    this->waiting.end());
  while (this->running.size() < this->slots && !this->waiting.empty()) {
    QueuedRequest next = this->waiting.front();
    this->waiting.pop_front();
    this->running[next.id] = next;
    decisions.push_back(
      { next.id, ScheduleDecision::Kind::Start, Duration(0), "" });
  }
  return decisions;
}

size_t
Scheduler::Running() const
{
  return this->running.size();
}

size_t
Scheduler::Waiting() const
{
  return this->waiting.size();
}

} // namespace fescuetiller
