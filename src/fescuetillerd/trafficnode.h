#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "fescuetillerd/clientrefusals.h"
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
  /** Share of the backend server's capacity that is unused since it states a
   * request limit or is cold. */
  double unusableShare = 0;
  size_t blockedRequests = 0; ///< Requests that must not run again.
  /** Requests refused so far since the own zone was evacuated. */
  uint64_t evacuationRefusals = 0;
  size_t runningRequests = 0; ///< On the backend server now.
  SlotTimes slotTotals;       ///< Use of the backend server's slots so far.
  std::vector<KeyWeight> keyWeights;
  std::map<MemberId, PeerLoad> peerLoads;
  bool serverIsCold = false;
  uint64_t coldRefusals = 0; ///< Requests refused so far for that reason.
  uint64_t statusChecks = 0; ///< Sent to the server so far.
  /** Slots of the server that are held by work that nobody waits for. */
  size_t otherWork = 0;
  double slowness = 1; ///< How long work takes on its machine; 1: as usual.
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
  void SetEvacuatedZones(std::set<std::string> aZones);
  /** Handles crash records of another daemon. */
  void OnCrashRecords(const CrashRecords::Records& aRecords);

  /** From now on, every response closes its connection. */
  void AnnounceClose();
  /** Runs no further requests of other daemons, and accepts no new connections
   * of clients once the requests in progress have ended: these may make calls.
   * @param aExitAt When the process exits at the latest. Requests that may last
   * longer are refused. */
  void StopAccepting(Time aExitAt);
  /** Closes all connections if no request is in progress, every response has
   * been written and other daemons had time to read the final one, so that no
   * further request runs before the process exits. Other daemons that are just
   * connecting get the final response as long as this context runs.
   * @return Whether it closed them. */
  bool CloseIfIdle();

private:
  std::array<HttpServer*, 3> HttpServers();
  /** Sets what the servers decide before they pass a request on. */
  void SetRules();
  /** Accepts no new connections of clients, unless requests that arrived before
   * the stop are in progress. */
  void StopAcceptingClients();
  void OnPeerRequest(const std::shared_ptr<Exchange>& aExchange);
  void RunPeriodicTasks();
  /** Passes on to the executor how cold servers are treated. */
  void SetColdPolicy();
  /** Logs and counts data that no request waited for.
   * @param aSender "server" or "daemon". */
  void OnUnexpectedData(const std::string& aSender,
                        const UnexpectedData& aData);
  /** Logs and counts a request whose connection ended without its response. */
  void OnUnanswered(const UnansweredRequest& aRequest);
  /** Logs what the server's slots were used for, if it has changed. */
  void LogSlotUsage(Time aNow);
  /** Logs the bytes between zones so far, if they have changed. */
  void LogZoneTraffic(Time aNow);

  asio::io_context& context;
  NodeSettings settings;
  EventLog& log;
  Counters& counters;
  std::shared_ptr<const Configuration> configuration; ///< nullptr at first.
  Executor executor;
  Uplink uplink;
  Ingress ingress;
  std::shared_ptr<ConnectionMemory> memory;
  ClientRefusals refusals;
  HttpServer clientServer;
  HttpServer callerServer; ///< Listens only if the settings name an address.
  HttpServer peerServer;
  asio::steady_timer timer;
  Time nextSlotUsageLog;
  SlotTimes loggedSlotTotals; ///< Totals in the last log line.
  Time nextZoneTrafficLog;
  /** Fields of the last log line on it. */
  decltype(Event::fields) loggedZoneTraffic;
  Time stoppedAt;      ///< When requests of other daemons were stopped.
  Time dismissedUntil; ///< Until when others may read the final response.
};

} // namespace fescuetiller
