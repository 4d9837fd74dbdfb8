#include "fescuetillerd/requestmemory.h"

namespace fescuetiller {

namespace {

uint64_t
WallMilliseconds()
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

RequestMemory::RequestMemory(RequestTableLimits aLimits)
  : table(aLimits)
{
}

std::optional<Outcome>
RequestMemory::Begin(const RequestIdentity& aIdentity,
                     std::optional<RowVersion> aOwnedSince,
                     Time aDeadline)
{
  Lock lock(this->mutex);
  auto admission = this->table.Known(aIdentity);
  if (!admission && !aOwnedSince) {
    return NotOwner();
  }
  if (!admission) {
    uint64_t tick = this->clock.Now(WallMilliseconds()).tick;
    admission = this->table.Admit(aIdentity, *aOwnedSince, tick);
  }
  if (admission->kind == Admission::Kind::Start) {
    this->clock.SeeTick(aIdentity.stamp.tick);
    this->pending[aIdentity.requestId] = std::make_shared<Pending>();
    return std::nullopt;
  }
  return this->Resolve(lock, aIdentity.requestId, *admission, aDeadline);
}

void
RequestMemory::End(const std::string& aRequestId, const Outcome& aOutcome)
{
  Lock lock(this->mutex);
  this->table.End(aRequestId, aOutcome);
  auto found = this->pending.find(aRequestId);
  found->second->ended = true;
  if (found->second.use_count() > 1) {
    found->second->outcome = aOutcome;
    this->changed.notify_all();
  }
  this->pending.erase(found);
}

Outcome
RequestMemory::Settle(const RequestIdentity& aIdentity,
                      RowVersion aOwnedSince,
                      Time aDeadline)
{
  Lock lock(this->mutex);
  Admission admission = this->table.Settle(aIdentity, aOwnedSince);
  return this->Resolve(lock, aIdentity.requestId, admission, aDeadline);
}

Outcome
RequestMemory::Resolve(Lock& aLock,
                       const std::string& aRequestId,
                       const Admission& aAdmission,
                       Time aDeadline)
{
  if (aAdmission.kind == Admission::Kind::Join) {
    return this->Await(aLock, aRequestId, aDeadline);
  }
  return aAdmission.outcome;
}

Outcome
RequestMemory::Await(Lock& aLock, const std::string& aRequestId, Time aDeadline)
{
  std::shared_ptr<Pending> entry = this->pending.at(aRequestId);
  Duration left = aDeadline - BootClock::now();
  ++this->waiting;
  this->changed.wait_for(aLock, left, [&entry] { return entry->ended; });
  --this->waiting;
  if (!entry->ended) {
    return UnknownOutcome("still running at the deadline");
  }
  return entry->outcome;
}

size_t
RequestMemory::Waiting() const
{
  Lock lock(this->mutex);
  return this->waiting;
}

IssueStamp
RequestMemory::Stamp() const
{
  Lock lock(this->mutex);
  return this->clock.Now(WallMilliseconds());
}

void
RequestMemory::SeeRevision(RowVersion aRevision)
{
  Lock lock(this->mutex);
  this->clock.SeeRevision(aRevision);
}

void
RequestMemory::SeeStamp(const IssueStamp& aStamp)
{
  Lock lock(this->mutex);
  this->clock.SeeRevision(aStamp.revision);
  this->clock.SeeTick(aStamp.tick);
}

} // namespace fescuetiller
