#pragma once

#include <array>
#include <functional>
#include <memory>
#include <random>

#include "cluster/cluster.h"
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
 * The control state of a daemon: configuration and cluster rows from the store,
 * heartbeats of the backend server, lease messages, and the decisions of the
 * ownership agent. Everything runs on the context's thread.
 */
class ControlNode
{
public:
  ControlNode(asio::io_context& aContext,
              const NodeSettings& aSettings,
              EventLog& aLog,
              Counters& aCounters);

  /** Published to the request path. */
  std::function<void(std::shared_ptr<const Configuration>)> onConfiguration;
  std::function<void(std::shared_ptr<const ClusterView>, MemberId)> onView;
  std::function<void(ServingState)> onServing;

  Result<void> Listen();

  /** Settings that were read again; see MergeReloadedSettings for what may
   * differ. */
  void SetSettings(const NodeSettings& aSettings);

  void OnReport(TrafficReport aReport);
  void OnServerRefused();

  /** Not ready for new clients from now on. */
  void BeginStop();
  /** Ends the member if nothing depends on it. */
  void LeaveCluster();
  bool Settled() const;

private:
  void Tick();
  void Advance();
  void OnServerCall(const std::shared_ptr<Exchange>& aExchange);
  void OnMetricsCall(const std::shared_ptr<Exchange>& aExchange);
  void OnPeerCall(const std::shared_ptr<Exchange>& aExchange);
  void OnReadyCall(const std::shared_ptr<Exchange>& aExchange);
  void OnConfigurationRows(const StoreRows& aRows);
  void OnClusterRows(const StoreRows& aRows);
  void TakeConfiguration(const StoreRow& aRow);
  void LoadConfiguration(TableWatch::Loaded aLoaded);
  void LoadCluster(TableWatch::Loaded aLoaded);
  Duration ClusterPause() const;
  void ReadLease(const StoreKey& aKey);
  void ReceiveBeacon();
  void OnDatagram(const std::string& aBytes);
  void SendBeacon(const std::string& aAddress, const PeerMessage& aMessage);
  std::vector<std::string> Services() const;
  void Publish();
  void WriteEvents();

  asio::io_context& context;
  NodeSettings settings;
  EventLog& log;
  Counters& counters;
  ConnectionPool pool;
  StoreClient store;
  std::mt19937_64 random;
  OwnershipAgent agent;
  HttpServer serverCalls;
  HttpServer readyCalls;
  HttpServer metricsCalls;
  HttpServer peerCalls; ///< Of daemons that cannot reach the store.
  asio::ip::udp::socket beacons;
  asio::ip::udp::endpoint beaconSender;
  std::array<char, 2048> beaconBuffer{};
  asio::steady_timer timer;
  TableWatch configurationWatch;
  TableWatch clusterWatch;
  PeerBootstrap learner;
  std::shared_ptr<const Configuration> configuration;
  StoreRow configurationRow; ///< What the configuration was read from.
  uint64_t publishedChanges = 0;
  MemberId publishedSelf;
  ServingState publishedServing;
  Time refusedAt;
  bool stopping = false;
};

} // namespace fescuetiller
