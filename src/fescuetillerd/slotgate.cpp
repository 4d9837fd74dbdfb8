#include "fescuetillerd/slotgate.h"

namespace fescuetiller {

SlotGate::SlotGate(uint32_t aSlots)
  : scheduler(aSlots)
{
}

void
SlotGate::SetSlots(uint32_t aSlots)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->scheduler.SetSlots(aSlots);
}

void
SlotGate::SetTargets(const std::vector<ClassTarget>& aTargets)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->scheduler.SetTargets(aTargets);
}

tl::expected<uint64_t, Outcome>
SlotGate::Acquire(const Request& aRequest)
{
  std::unique_lock<std::mutex> lock(this->mutex);
  uint64_t id = this->nextId++;
  Time now = BootClock::now();
  QueuedRequest queued{
    id, aRequest.requestClass, aRequest.key, now, aRequest.deadline
  };
  this->Publish(this->scheduler.Offer(now, queued));
  this->decided.wait(lock, [&] { return this->decisions.count(id) != 0; });
  ScheduleDecision decision = this->decisions[id];
  this->decisions.erase(id);
  if (decision.kind == ScheduleDecision::Kind::Refuse) {
    return tl::unexpected(NotRun(decision.reason, decision.retryAfter));
  }
  return id;
}

void
SlotGate::Release(uint64_t aId)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->Publish(this->scheduler.Finished(BootClock::now(), aId));
}

void
SlotGate::Tick(Time aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->Publish(this->scheduler.Tick(aNow));
}

void
SlotGate::Publish(const std::vector<ScheduleDecision>& aDecisions)
{
  for (const auto& decision : aDecisions) {
    this->decisions[decision.id] = decision;
  }
  if (!aDecisions.empty()) {
    this->decided.notify_all();
  }
}

} // namespace fescuetiller
