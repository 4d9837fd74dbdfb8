#pragma once

#include "fescuetillerd/classes.h"
#include "fescuetillerd/executor.h"
#include "fescuetillerd/peerclient.h"
#include "fescuetillerd/routes.h"
#include "metrics/metrics.h"

namespace fescuetiller {

/**
 * Takes a caller's request to the owner of its key: runs it here or forwards
 * it once to the owner's daemon. Thread-safe.
 */
class Router
{
public:
  Router(std::map<std::string, uint32_t> aPartitions,
         const Routes& aRoutes,
         const Classes& aClasses,
         Executor& aExecutor,
         PeerClient& aPeers,
         ClassMetrics& aMetrics);

  /** A request that entered at this daemon. */
  Outcome Handle(const Request& aRequest);

  /** A request that another daemon forwarded; never forwarded again. */
  Outcome HandleForwarded(const Request& aRequest);

private:
  Outcome Route(const Request& aRequest, bool aIdempotent);
  PartitionId Partition(const Request& aRequest) const;

  std::map<std::string, uint32_t> partitions;
  const Routes& routes;
  const Classes& classes;
  Executor& executor;
  PeerClient& peers;
  ClassMetrics& metrics;
};

} // namespace fescuetiller
