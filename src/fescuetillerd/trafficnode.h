#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>

#include "fescuetillerd/ingress.h"
#include "fescuetillerd/nodesettings.h"
#include "fescuetillerd/uplink.h"

namespace fescuetiller {

/** Load figures that the traffic thread sends to the control thread at regular
 * intervals. */
struct TrafficReport
{
  double load = 0; ///< Load offered to the backend server; 1: full capacity.
  uint64_t serverConnections = 0; ///< Opened to the backend server so far.
  /** Requests per second that the backend server accepts; empty if it states no
   * limit. */
  std::optional<double> requestLimit;
  /** Share of the backend server's capacity that its request limit leaves
   * unused. */
  double unusableShare = 0;
  size_t blockedRequests = 0; ///< Requests that must not run again.
  SlotTimes slotTotals;       ///< Use of the backend server's slots so far.
  std::vector<KeyWeight> keyWeights;
  std::map<MemberId, PeerLoad> peerLoads;
};

/**
 * The request path of a daemon: the HTTP servers for clients, callers and other
 * daemons, the ingress and the executor. Everything runs on the context's
 * thread.
 */
class TrafficNode
{
public:
  TrafficNode(asio::io_context& aContext,
              const NodeSettings& aSettings,
              EventLog& aLog,
              Counters& aCounters);

  std::function<void(TrafficReport)> onReport;
  /** Called when the backend server's address refuses connections. */
  std::function<void()> onServerConnectionRefused;
  /** Called when the server states in a response that it is about to shut down,
   * with the time of that response. */
  std::function<void(const ServerIncarnation&, Time)> onServerLeaving;

  /** Called with crash records for other daemons. */
  std::function<void(CrashRecords::Records)> onCrashRecords;

  Result<void> Listen();

  /** Applies reloaded settings; see MergeReloadedSettings for what may differ.
   */
  void SetSettings(const NodeSettings& aSettings);
  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration);
  void SetView(std::shared_ptr<const ClusterView> aView, MemberId aSelf);
  void SetServing(const ServingState& aServing);
  /** Handles crash records of another daemon. */
  void OnCrashRecords(const CrashRecords::Records& aRecords);

  /** From now on, every response closes its connection. */
  void AnnounceClose();
  /** Runs no further requests of other daemons, and accepts no new connections
   * of clients once the requests in progress have ended: these may make calls.
   */
  void StopAccepting();
  /** Closes all connections if no request is in progress, every response has
   * been written and other daemons had time to read the final one, so that no
   * further request runs before the process exits. Other daemons that are just
   * connecting get the final response as long as this context runs.
   * @return Whether it closed them. */
  bool CloseIfIdle();

private:
  std::array<HttpServer*, 3> HttpServers();
  /** Accepts no new connections of clients, unless requests that arrived before
   * the stop are in progress. */
  void StopAcceptingClients();
  void OnPeerRequest(const std::shared_ptr<Exchange>& aExchange);
  void RunPeriodicTasks();
  /** Logs and counts data that no request waited for.
   * @param aSender "server" or "daemon". */
  void OnUnexpectedData(const std::string& aSender,
                        const UnexpectedData& aData);
  /** Logs what the server's slots were used for, if it has changed. */
  void LogSlotUsage(Time aNow);

  asio::io_context& context;
  NodeSettings settings;
  EventLog& log;
  Counters& counters;
  Executor executor;
  Uplink uplink;
  Ingress ingress;
  HttpServer clientServer;
  HttpServer callerServer; ///< Listens only if the settings name an address.
  HttpServer peerServer;
  asio::steady_timer timer;
  Time nextSlotUsageLog;
  SlotTimes loggedSlotTotals; ///< Totals in the last log line.
  Time stoppedAt;             ///< When requests of other daemons were stopped.
  Time dismissedUntil; ///< Until when others may read the final response.
};

} // namespace fescuetiller
