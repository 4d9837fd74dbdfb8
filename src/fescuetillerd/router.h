#pragma once

#include "fescuetillerd/classes.h"
#include "fescuetillerd/executor.h"
#include "fescuetillerd/peerclient.h"
#include "fescuetillerd/routes.h"
#include "metrics/metrics.h"

namespace fescuetiller {

/**
 * Takes a caller's request to the owner of its key: runs it here or forwards
 * it to the owner's daemon, as Forwarding decides. Thread-safe.
 */
class Router
{
public:
  Router(std::map<std::string, uint32_t> aPartitions,
         const Routes& aRoutes,
         const Classes& aClasses,
         Executor& aExecutor,
         RequestMemory& aMemory,
         PeerClient& aPeers,
         ClassMetrics& aMetrics);

  /** A request that entered at this daemon. */
  Outcome Handle(const Request& aRequest);

  /** A request that another daemon forwarded; never forwarded again. */
  Outcome HandleForwarded(const Request& aRequest,
                          Incarnation aOwner,
                          bool aIdempotent);

  /** Another daemon asks what became of a request that it forwarded. */
  Outcome Settle(const std::string& aService,
                 const std::string& aKey,
                 SettleQuestion aQuestion);

  /** Where a caller may go itself. Nothing when the key is served here or has
   * no owner. */
  std::optional<Route> Elsewhere(const Request& aRequest) const;

  /** Whether a request needs an issue stamp. */
  bool NeedsStamp(const Request& aRequest) const;

  /** Stamp for an id issued now. */
  IssueStamp Stamp() const;

private:
  Outcome Forward(const Request& aRequest, bool aIdempotent);
  ForwardStep NextStep(Forwarding& aForwarding, const PartitionId& aPartition);
  CallResult Send(const Request& aRequest,
                  const PartitionId& aPartition,
                  const Owner& aOwner,
                  bool aIdempotent);
  std::optional<Owner> FindOwner(const PartitionId& aPartition) const;
  PartitionId Partition(const Request& aRequest) const;

  std::map<std::string, uint32_t> partitions;
  const Routes& routes;
  const Classes& classes;
  Executor& executor;
  RequestMemory& memory;
  PeerClient& peers;
  ClassMetrics& metrics;
  std::mutex mutex; ///< Of what all requests share: budget and random engine.
  RetryBudget budget;
  std::mt19937 random;
};

} // namespace fescuetiller
