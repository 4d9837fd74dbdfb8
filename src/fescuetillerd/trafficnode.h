#pragma once

#include <array>
#include <functional>
#include <memory>

#include "fescuetillerd/ingress.h"
#include "fescuetillerd/nodesettings.h"

namespace fescuetiller {

/** What the traffic thread tells the control thread from time to time. */
struct TrafficReport
{
  double load = 0;
  uint64_t serverConnections = 0; ///< Opened to the server so far.
  std::vector<KeyWeight> keyWeights;
  std::map<MemberId, PeerLoad> peerLoads;
};

/**
 * The request path: servers for clients and for other daemons, the ingress and
 * the executor. Everything runs on the context's thread.
 */
class TrafficNode
{
public:
  TrafficNode(asio::io_context& aContext,
              const NodeSettings& aSettings,
              EventLog& aLog,
              Counters& aCounters);

  std::function<void(TrafficReport)> onReport;
  std::function<void()> onServerConnectionRefused;

  Result<void> Listen();

  /** Settings that were read again; see Reload for what may differ. */
  void SetSettings(const NodeSettings& aSettings);
  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration);
  void SetView(std::shared_ptr<const ClusterView> aView, MemberId aSelf);
  void SetServing(const ServingState& aServing);

  /** Answers close their connections from now on. */
  void AnnounceClose();
  /** Takes no new connections. */
  void StopAccepting();
  /** If no request is under way and all answers are out: closes all
   * connections, so that no request comes in before the process ends.
   * @return Whether that was so. */
  bool CloseIfIdle();

private:
  std::array<HttpServer*, 3> Servers();
  void OnPeerRequest(const std::shared_ptr<Exchange>& aExchange);
  void Tick();

  asio::io_context& context;
  NodeSettings settings;
  Executor executor;
  Ingress ingress;
  HttpServer clients;
  HttpServer callers; ///< Unless the settings name no address for them.
  HttpServer peers;
  asio::steady_timer timer;
};

} // namespace fescuetiller
