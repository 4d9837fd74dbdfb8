#pragma once

#include <memory>
#include <optional>
#include <random>
#include <set>

#include "cluster/cluster.h"
#include "fescuetillerd/counters.h"
#include "fescuetillerd/eventlog.h"
#include "fescuetillerd/executor.h"
#include "http/http.h"
#include "routing/retrybudget.h"
#include "routing/routing.h"

namespace fescuetiller {

/** Settings of the daemon that its ingress needs. */
struct IngressSettings
{
  std::string service; ///< Service of the backend server beside the daemon.
  std::string zone;
  double retryRatio = 0.1; ///< Retries allowed per request.
  /** Time of a caller that a KiB sent to another zone is worth; empty: not
   * stated. */
  std::optional<Duration> transferCost;
};

/**
 * Handles the requests of clients on this machine: finds the route, the service
 * and the daemon beside the backend server for each, sends it there, and
 * forwards the response. Runs on the traffic thread.
 */
class Ingress
{
public:
  Ingress(asio::io_context& aContext,
          Executor& aExecutor,
          IngressSettings aSettings,
          EventLog& aLog,
          Counters& aCounters);

  /** Called when another daemon sends data that no request waits for. */
  std::function<void(const UnexpectedData&)> onUnexpectedData;

  /** Changes the number of retries allowed per request. */
  void SetRetryRatio(double aRatio);
  void SetTransferCost(std::optional<Duration> aCost);
  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration);
  void SetView(std::shared_ptr<const ClusterView> aView, MemberId aSelf);
  /** Sets the zones whose members get no requests without a key. */
  void SetEvacuatedZones(std::set<std::string> aZones);

  /** Sets when the process exits at the latest. From now on, requests are
   * refused that may not have been answered by then. */
  void SetExitTime(Time aExitAt);

  /** Whether a request may run at the same time as others that its client sent
   * over the same connection: only if it is idempotent. */
  bool MayRunConcurrently(const HttpRequest& aRequest) const;
  /** Whether the body of a request is needed to respond to it. */
  bool NeedsBody(const HttpRequest& aRequest) const;
  /** The same for a request to the router's own interface. */
  bool NeedsCallerBody(const HttpRequest& aRequest) const;
  void OnRequest(std::shared_ptr<Exchange> aExchange);
  /** Handles a request to the router's own interface; see ParseCallerRequest.
   */
  void OnCallerRequest(std::shared_ptr<Exchange> aExchange);

  /** Loads that other members have reported recently. */
  std::map<MemberId, PeerLoad> PeerLoads() const;
  size_t InFlightCount() const;
  void CloseIdleConnections(Time aNow);

private:
  friend class IngressRequest;

  RetryBudget& RetryBudgetFor(const std::string& aService);
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  double RandomFraction();

  asio::io_context& context;
  Executor& executor;
  IngressSettings settings;
  EventLog& log;
  Counters& counters;
  ConnectionPool pool;
  std::shared_ptr<const RouteTable> routes;
  std::shared_ptr<const ClusterView> view;
  MemberId self;
  std::set<std::string> evacuatedZones;
  DestinationPicker destinations;
  PeerTable peers;
  ZoneChoice zoneChoice;
  /** Members that read compact dispatches, by their reports. A member is one
   * process, so this holds as long as the member exists. */
  std::set<MemberId> compactMembers;
  ServerNotices serverNotices;
  std::map<std::string, RetryBudget> budgets; ///< By service.
  ClientRetries clientRetries;
  /** Decides which requests are held back and which are sent to other zones. */
  std::mt19937_64 random;
  Time exitAt = Time::max();
  size_t inFlight = 0; ///< Number of IngressRequests that exist.
};

} // namespace fescuetiller
