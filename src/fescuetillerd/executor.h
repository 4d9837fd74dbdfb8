#pragma once

#include <set>

#include "fescuetillerd/backendlink.h"
#include "fescuetillerd/requestmemory.h"
#include "fescuetillerd/routes.h"
#include "fescuetillerd/slotgate.h"
#include "ownership/ownership.h"

namespace fescuetiller {

/** What the ingress asks an owner about a request that it sent. */
struct SettleQuestion
{
  RequestIdentity identity;
  PartitionId partition;
  Incarnation owner = kNoIncarnation; ///< That the request was sent to.
  RowVersion ownedSince = 0;          ///< As the ingress knew it.
  Time deadline;
};

/** Runs requests for the partitions that this daemon owns. Thread-safe. */
class Executor
{
public:
  Executor(ServingTable& aServing,
           SlotGate& aGate,
           BackendLink& aBackend,
           const Routes& aRoutes,
           RequestMemory& aMemory);

  bool Serves(const PartitionId& aPartition) const;

  /** @return NotOwner when the partition is not served here. */
  Outcome Execute(const Request& aRequest,
                  const PartitionId& aPartition,
                  bool aIdempotent);

  /** Answers a request that ran here before; never runs it.
   * @return NotOwner when it is not known. */
  Outcome Recall(const Request& aRequest, bool aIdempotent);

  /** Tells what became of a request that was sent to this daemon. */
  Outcome Settle(const SettleQuestion& aQuestion);

private:
  Outcome RunOnce(const Request& aRequest, const PartitionId& aPartition);
  Outcome RunInSlot(const Request& aRequest,
                    const PartitionId& aPartition,
                    const std::optional<Route>& aRoute);
  std::optional<Route> OwnRoute(const PartitionId& aPartition) const;
  bool WasIncarnation(Incarnation aIncarnation, const PartitionId& aPartition);
  void NoteIncarnation(Incarnation aIncarnation);

  ServingTable& serving;
  SlotGate& gate;
  BackendLink& backend;
  const Routes& routes;
  RequestMemory& memory;
  std::mutex mutex;
  std::set<Incarnation> incarnations; ///< That this process served as.
};

} // namespace fescuetiller
