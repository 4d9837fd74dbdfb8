#pragma once

#include <array>
#include <functional>
#include <memory>
#include <random>
#include <set>

#include "cluster/cluster.h"
#include "fescuetillerd/clientrefusals.h"
#include "fescuetillerd/configurationcheck.h"
#include "fescuetillerd/configurationsharing.h"
#include "fescuetillerd/counters.h"
#include "fescuetillerd/eventlog.h"
#include "fescuetillerd/nodesettings.h"
#include "fescuetillerd/peerbootstrap.h"
#include "fescuetillerd/tablewatch.h"
#include "fescuetillerd/trafficnode.h"
#include "http/http.h"
#include "platform/platform.h"

namespace fescuetiller {

/**
 * Control plane of a daemon: follows configuration and cluster in the store,
 * handles the backend server's heartbeats and the peer messages, and carries
 * out the decisions of the ownership agent. Everything runs on the context's
 * thread.
 */
class ControlNode
{
public:
  ControlNode(asio::io_context& aContext,
              const NodeSettings& aSettings,
              EventLog& aLog,
              Counters& aCounters);

  /** Called with new state for the request path. */
  std::function<void(std::shared_ptr<const Configuration>)> onConfiguration;
  std::function<void(std::shared_ptr<const ClusterView>, MemberId)> onView;
  std::function<void(ServingState)> onServing;
  /** Called with the zones under evacuation. */
  std::function<void(std::set<std::string>)> onEvacuatedZones;
  /** Called with crash records of another daemon. */
  std::function<void(CrashRecords::Records)> onCrashRecords;

  /** Opens all listening sockets and starts to follow the store. */
  Result<void> Listen();

  /** Applies reloaded settings; see MergeReloadedSettings for what may differ.
   */
  void SetSettings(const NodeSettings& aSettings);

  void OnReport(TrafficReport aReport);
  /** Handles a connection that the backend server's address refused. */
  void OnServerConnectionRefused();
  /** Handles the announcement of the backend server's shutdown in a response.
   * @param aSince When the response arrived. */
  void OnServerLeaving(const ServerIncarnation& aServer, Time aSince);

  /** Tells some other members under which requests servers ended. */
  void SendCrashRecords(const CrashRecords::Records& aRecords);

  /** Makes the readiness check fail. */
  void BeginStop();
  /** Ends the membership in the cluster unless this member owns keys. */
  void LeaveCluster();
  /** Whether no change of the store is pending. */
  bool HasNoPendingChange() const;

private:
  /** A response to the backend server that waits for the store. */
  struct Acknowledgement
  {
    std::shared_ptr<Exchange> exchange;
    HttpResponse response;
    Time dueAt; ///< It is sent then at the latest.
  };

  void Tick();
  void RunAgent();
  /** Sets what the servers decide before they pass a request on. */
  void SetRules();
  void OnServerCall(const std::shared_ptr<Exchange>& aExchange);
  /** Acknowledges a call of the backend server. If it announces the shutdown, a
   * restarted daemon has to know of it, so it is in the store before; but the
   * server waits for a limited time only. */
  void Acknowledge(const std::shared_ptr<Exchange>& aExchange,
                   HttpResponse aResponse);
  /** Sends the acknowledgements that are due. */
  void SendAcknowledgements();
  void OnMetricsRequest(const std::shared_ptr<Exchange>& aExchange);
  void OnPeerRead(const std::shared_ptr<Exchange>& aExchange);
  void OnReadinessCheck(const std::shared_ptr<Exchange>& aExchange);
  void OnConfigurationRows(const StoreRows& aRows, const std::string& aSource);
  /** Handles all rows that may be orders to evacuate zones. */
  void OnOrdersRead(const StoreRows& aRows);
  /** Handles changes of rows that may be such orders. */
  void OnOrderChanges(const StoreRows& aRows);
  /** Watches the operators' table after what is known from other daemons. */
  void SkipKnownChanges();
  void OnClusterRows(const StoreRows& aRows);
  bool ApplyConfiguration(const StoreRow& aRow, const std::string& aSource);
  /** Asks the store for a newer configuration if that is due. */
  void CheckConfiguration(Time aNow);
  void OnConfigurationChecked(const Result<void>& aResult);
  /** Sends a message to some random other members, each of which tells as many
   * others if it is news there. */
  void SendToSomeMembers(PeerMessage aMessage);
  /** Tells some other members how old the configuration may be. */
  void SendConfirmations();
  void OnPeerConfirmation(Time aNow, const PeerMessage& aMessage);
  /** Age of the configuration in force; nothing: unknown. */
  std::optional<Duration> ConfigurationAge(Time aNow) const;
  void LoadConfiguration(TableWatch::LoadCallback aCallback);
  void LoadCluster(TableWatch::LoadCallback aCallback);
  Duration ClusterBatchPause() const;
  void OnStoreEra(StoreEra aEra);
  /** Calls the store if another daemon has seen a later era. */
  void OnPeerEra(Time aNow, StoreEra aEra);
  void ReadLease(const StoreKey& aKey);
  void ReceivePeerMessage();
  void OnDatagram(const std::string& aBytes);
  void SendPeerMessage(const std::string& aAddress, PeerMessage aMessage);
  std::vector<std::string> Services() const;
  void Publish();
  /** Passes on the zones under evacuation, also to other daemons. */
  void PublishEvacuations();
  /** Passes on how requests are served, if that has changed. */
  void PublishServing(const ServingState& aServing);
  void WriteEvents();
  void LogStoreCalls();

  asio::io_context& context;
  NodeSettings settings;
  EventLog& log;
  Counters& counters;
  ConnectionPool pool;
  StoreClient store;
  std::mt19937_64 random;
  OwnershipAgent agent;
  std::shared_ptr<ConnectionMemory> memory;
  ClientRefusals refusals;
  HttpServer serverCallListener; ///< For heartbeats of the backend server.
  HttpServer readinessListener;
  HttpServer metricsListener;
  HttpServer peerReadListener; ///< For daemons that cannot reach the store.
  asio::ip::udp::socket peerSocket;
  asio::ip::udp::endpoint peerSender; ///< Sender of the last datagram.
  std::array<char, kMaxDatagramBytes> peerBuffer{};
  asio::steady_timer timer;
  TableWatch configurationWatch;
  TableWatch clusterWatch;
  PeerBootstrap peerBootstrap;
  ConfigurationSharing configurationSharing;
  ConfigurationCheck configurationCheck;
  std::shared_ptr<const Configuration> configuration;
  StoreRow configurationRow; ///< Row of the current configuration.
  /** Newest version of that row that was handled, even if it was refused. */
  RowVersion configurationSeen = 0;
  uint64_t publishedChanges = 0; ///< Change count of the last published view.
  MemberId publishedSelf;
  ServingState publishedServing;
  Time nextStoreCallsLog;
  std::set<std::string> publishedZones; ///< Under evacuation.
  /** Requests that run on the own server; nothing: unknown. */
  std::optional<size_t> runningRequests;
  Time nextEraReadAt; ///< Next call because of another daemon's era.
  Time refusedAt;     ///< First refused connection to the server; Time(): none.
  ZoneByAddress zones;
  std::vector<Acknowledgement> acknowledgements;
  bool stopping = false;
};

} // namespace fescuetiller
