#pragma once

#include <memory>
#include <optional>

#include "cluster/cluster.h"
#include "fescuetillerd/counters.h"
#include "fescuetillerd/eventlog.h"
#include "fescuetillerd/executor.h"
#include "http/http.h"
#include "routing/retrybudget.h"
#include "routing/routing.h"

namespace fescuetiller {

/** What an ingress needs to know of its daemon. */
struct IngressIdentity
{
  std::string service; ///< Of the backend server beside the daemon.
  std::string zone;
  double retryShare = 0.1; ///< Retries that it may add to its requests.
};

/**
 * Takes the requests that begin on this machine: finds the route, the service
 * and the daemon beside the backend server that is to run each, sends it there,
 * and answers. Runs on the traffic thread.
 */
class Ingress
{
public:
  Ingress(asio::io_context& aContext,
          Executor& aExecutor,
          IngressIdentity aIdentity,
          EventLog& aLog,
          Counters& aCounters);

  /** Retries that may be added to the requests from now on. */
  void SetRetryShare(double aShare);
  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration);
  void SetView(std::shared_ptr<const ClusterView> aView, MemberId aSelf);

  void OnRequest(std::shared_ptr<Exchange> aExchange);
  /** A request by the router's own interface; see ParseCallerRequest. */
  void OnCallerRequest(std::shared_ptr<Exchange> aExchange);

  std::map<MemberId, PeerLoad> PeerLoads() const;
  size_t InFlight() const;
  void Sweep(Time aNow);

private:
  friend class IngressRequest;

  RetryBudget& BudgetOf(const std::string& aService);

  asio::io_context& context;
  Executor& executor;
  IngressIdentity identity;
  EventLog& log;
  Counters& counters;
  ConnectionPool pool;
  std::shared_ptr<const RouteTable> routes;
  std::shared_ptr<const ClusterView> view;
  MemberId self;
  DestinationPicker destinations;
  PeerTable peers;
  std::map<std::string, RetryBudget> budgets; ///< By service.
  size_t inFlight = 0;
};

} // namespace fescuetiller
