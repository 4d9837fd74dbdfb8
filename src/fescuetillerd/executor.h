#pragma once

#include "fescuetillerd/backendlink.h"
#include "fescuetillerd/slotgate.h"
#include "ownership/ownership.h"

namespace fescuetiller {

/** Runs requests for the partitions that this daemon owns. Thread-safe. */
class Executor
{
public:
  Executor(ServingTable& aServing, SlotGate& aGate, BackendLink& aBackend);

  /** @return NotOwner when the partition is not served here. */
  Outcome Execute(const Request& aRequest, const PartitionId& aPartition);

private:
  ServingTable& serving;
  SlotGate& gate;
  BackendLink& backend;
};

} // namespace fescuetiller
