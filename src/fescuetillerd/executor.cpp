#include "fescuetillerd/executor.h"

namespace fescuetiller {

Executor::Executor(ServingTable& aServing,
                   SlotGate& aGate,
                   BackendLink& aBackend)
  : serving(aServing)
  , gate(aGate)
  , backend(aBackend)
{
}

Outcome
Executor::Execute(const Request& aRequest, const PartitionId& aPartition)
{
  if (!this->serving.Serves(BootClock::now(), aPartition)) {
    return NotOwner();
  }
  auto slot = this->gate.Acquire(aRequest);
  if (!slot) {
    return slot.error();
  }
  Outcome outcome = NotOwner();
  auto fence = this->serving.Begin(BootClock::now(), aPartition);
  if (fence) {
    outcome = this->backend.Run(aRequest, *fence);
    this->serving.End(aPartition);
  }
  this->gate.Release(*slot, outcome);
  return outcome;
}

} // namespace fescuetiller
