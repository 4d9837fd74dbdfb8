#include "fescuetillerd/slotgate.h"

namespace fescuetiller {

namespace {

/** Only the backend server's refusal for load says when to come back. */
RunEnd
EndOf(const Outcome& aOutcome)
{
  switch (aOutcome.code) {
    case OutcomeCode::Done:
      return RunEnd::Done;
    case OutcomeCode::NotRun:
      return aOutcome.retryAfter > Duration(0) && !aOutcome.notOwner
               ? RunEnd::Shed
               : RunEnd::Withdrawn;
    case OutcomeCode::Unknown:
      return RunEnd::Lost;
  }
  return RunEnd::Lost;
}

} // namespace

SlotGate::SlotGate(uint32_t aSlots)
  : scheduler(aSlots)
{
}

void
SlotGate::Announce(const std::string& aAddress, uint32_t aSlots)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->scheduler.SetSlots(aSlots);
  if (this->address != aAddress) {
    this->address = aAddress;
    this->scheduler.BackendRestarted();
  }
}

void
SlotGate::BackendRestarted()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->scheduler.BackendRestarted();
}

void
SlotGate::ReportLoad(const LoadReport& aReport)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->scheduler.ReportLoad(aReport);
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
    id,  aRequest.service, aRequest.requestClass, aRequest.key,
    now, aRequest.deadline
  };
  Waiter waiter;
  this->waiters[id] = &waiter;
  this->Publish(this->scheduler.Offer(now, queued));
  waiter.decided.wait(lock, [&] { return waiter.decision.has_value(); });
  this->waiters.erase(id);
  if (waiter.decision->kind == ScheduleDecision::Kind::Refuse) {
    return tl::unexpected(
      NotRun(waiter.decision->reason, waiter.decision->retryAfter));
  }
  return id;
}

void
SlotGate::Release(uint64_t aId, const Outcome& aOutcome)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->Publish(
    this->scheduler.Finished(BootClock::now(), aId, EndOf(aOutcome)));
}

void
SlotGate::Tick(Time aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->Publish(this->scheduler.Tick(aNow));
}

void
SlotGate::Publish(const ScheduleDecisions& aDecisions)
{
  for (const auto& decision : aDecisions) {
    Waiter* waiter = this->waiters.at(decision.id);
    waiter->decision = decision;
    waiter->decided.notify_one();
  }
}

} // namespace fescuetiller
