#include "fescuetillerd/executor.h"

namespace fescuetiller {

Executor::Executor(ServingTable& aServing,
                   SlotGate& aGate,
                   BackendLink& aBackend,
                   const Routes& aRoutes,
                   RequestMemory& aMemory)
  : serving(aServing)
  , gate(aGate)
  , backend(aBackend)
  , routes(aRoutes)
  , memory(aMemory)
{
}

bool
Executor::Serves(const PartitionId& aPartition) const
{
  return this->serving.Serves(BootClock::now(), aPartition);
}

Outcome
Executor::Execute(const Request& aRequest,
                  const PartitionId& aPartition,
                  bool aIdempotent)
{
  if (!aIdempotent) {
    return this->RunOnce(aRequest, aPartition);
  }
  if (!this->Serves(aPartition)) {
    return NotOwner();
  }
  return this->RunInSlot(aRequest, aPartition, std::nullopt);
}

Outcome
Executor::Recall(const Request& aRequest, bool aIdempotent)
{
  if (aIdempotent) {
    return NotOwner();
  }
  return *this->memory.Begin(
    IdentityOf(aRequest), std::nullopt, aRequest.deadline);
}

Outcome
Executor::RunOnce(const Request& aRequest, const PartitionId& aPartition)
{
  std::optional<RowVersion> ownedSince;
  auto route = this->routes.Find(aPartition);
  if (route && this->Serves(aPartition)) {
    ownedSince = route->ownedSince;
  }
  auto known =
    this->memory.Begin(IdentityOf(aRequest), ownedSince, aRequest.deadline);
  if (known) {
    return *known;
  }
  Outcome outcome = this->RunInSlot(aRequest, aPartition, route);
  this->memory.End(aRequest.requestId, outcome);
  return outcome;
}

Outcome
Executor::RunInSlot(const Request& aRequest,
                    const PartitionId& aPartition,
                    const std::optional<Route>& aRoute)
{
  auto slot = this->gate.Acquire(aRequest);
  if (!slot) {
    return slot.error();
  }
  Outcome outcome = NotOwner();
  auto fence = this->serving.Begin(BootClock::now(), aPartition);
  if (fence) {
    this->NoteIncarnation(fence->incarnation);
    // The id was weighed against one assignment; it must be the one in force.
    bool sameAssignment = !aRoute || (aRoute->owner == fence->incarnation &&
                                      aRoute->epoch == fence->epoch);
    if (sameAssignment) {
      outcome = this->backend.Run(aRequest, *fence);
    }
    this->serving.End(aPartition);
  }
  this->gate.Release(*slot, outcome);
  return outcome;
}

void
Executor::NoteIncarnation(Incarnation aIncarnation)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->incarnations.insert(aIncarnation);
}

bool
Executor::WasIncarnation(Incarnation aIncarnation,
                         const PartitionId& aPartition)
{
  auto fence = this->serving.Begin(BootClock::now(), aPartition);
  if (fence) {
    this->NoteIncarnation(fence->incarnation);
    this->serving.End(aPartition);
  }
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->incarnations.count(aIncarnation) != 0;
}

Outcome
Executor::Settle(const SettleQuestion& aQuestion)
{
  // An earlier process at this address may have run it.
  if (!this->WasIncarnation(aQuestion.owner, aQuestion.partition)) {
    return UnknownOutcome("the daemon that it was sent to has ended");
  }
  RowVersion ownedSince = aQuestion.ownedSince;
  auto route = this->routes.Find(aQuestion.partition);
  if (this->Serves(aQuestion.partition)) {
    ownedSince = route ? std::max(ownedSince, route->ownedSince) : ownedSince;
    return this->memory.Settle(
      aQuestion.identity, ownedSince, aQuestion.deadline);
  }
  // The owner after this one refuses what was issued before it took over.
  bool refusedLater =
    route && aQuestion.identity.stamp.revision < route->ownedSince;
  if (refusedLater) {
    return this->memory.Settle(
      aQuestion.identity, ownedSince, aQuestion.deadline);
  }
  Outcome known =
    *this->memory.Begin(aQuestion.identity, std::nullopt, aQuestion.deadline);
  return known.notOwner ? UnknownOutcome("the key has another owner") : known;
}

} // namespace fescuetiller
