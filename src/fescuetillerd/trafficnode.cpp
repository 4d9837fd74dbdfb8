#include "fescuetillerd/trafficnode.h"

#include "fescuetillerd/exchangewriter.h"

namespace fescuetiller {

namespace {

/** Between reports to the control thread and looks for idle connections. */
constexpr Duration kTickInterval = std::chrono::milliseconds(500);
/** Longer than other daemons keep idle connections to this one. */
constexpr Duration kPeerIdle = std::chrono::seconds(60);
/** Largest request of another daemon; the ingress applies the operator's own
 * limits before it. */
constexpr uint64_t kPeerBodyBytes = 256 * 1024 * 1024;
constexpr uint32_t kPeerHeaderBytes = 128 * 1024;
/** Share of the allowed retries that one daemon uses, since its own count of
 * requests may differ from the service's. */
constexpr double kRetrySafety = 0.7;

} // namespace

TrafficNode::TrafficNode(asio::io_context& aContext,
                         const NodeSettings& aSettings,
                         EventLog& aLog,
                         Counters& aCounters)
  : context(aContext)
  , settings(aSettings)
  , executor(aContext,
             ParseEndpoint(aSettings.server).value_or(Tcp::endpoint()),
             aSettings.service,
             aLog)
  , ingress(aContext,
            executor,
            { aSettings.service,
              aSettings.zone,
              aSettings.retryRatio * kRetrySafety },
            aLog,
            aCounters)
  , clients(aContext,
            [this](std::shared_ptr<Exchange> aExchange) {
              this->ingress.OnRequest(std::move(aExchange));
            })
  , callers(aContext,
            [this](std::shared_ptr<Exchange> aExchange) {
              this->ingress.OnCallerRequest(std::move(aExchange));
            })
  , peers(aContext,
          [this](const std::shared_ptr<Exchange>& aExchange) {
            this->OnPeerRequest(aExchange);
          })
  , timer(aContext)
{
  this->executor.onRefusedConnection = [this] {
    if (this->onServerConnectionRefused) {
      this->onServerConnectionRefused();
    }
  };
}

Result<void>
TrafficNode::Listen()
{
  SessionLimits peerLimits;
  peerLimits.maxBodyBytes = kPeerBodyBytes;
  peerLimits.maxHeaderBytes = kPeerHeaderBytes;
  peerLimits.idleTimeout = kPeerIdle;
  this->peers.SetLimits(peerLimits);
  for (auto [server, text] :
       { std::pair(&this->clients, this->settings.clientAddress),
         std::pair(&this->callers, this->settings.callerAddress),
         std::pair(&this->peers, this->settings.peerAddress) }) {
    auto listening = server->Listen(text);
    if (!listening) {
      return listening;
    }
  }
  this->Tick();
  return {};
}

void
TrafficNode::SetSettings(const NodeSettings& aSettings)
{
  this->settings = aSettings;
  this->ingress.SetRetryShare(aSettings.retryRatio * kRetrySafety);
}

void
TrafficNode::SetConfiguration(
  std::shared_ptr<const Configuration> aConfiguration)
{
  const auto& limits = aConfiguration->limits;
  SessionLimits sessions;
  sessions.maxHeaderBytes = limits.maxHeaderBytes;
  sessions.maxBodyBytes = limits.maxBodyBytes;
  sessions.headerTimeout = limits.headerTimeout;
  sessions.idleTimeout = limits.idleTimeout;
  this->clients.SetLimits(sessions);
  this->callers.SetLimits(sessions);
  this->ingress.SetConfiguration(std::move(aConfiguration));
}

void
TrafficNode::SetView(std::shared_ptr<const ClusterView> aView, MemberId aSelf)
{
  this->ingress.SetView(std::move(aView), std::move(aSelf));
}

void
TrafficNode::SetServing(const ServingState& aServing)
{
  this->executor.SetServing(aServing);
}

std::array<HttpServer*, 3>
TrafficNode::Servers()
{
  return { &this->clients, &this->callers, &this->peers };
}

void
TrafficNode::AnnounceClose()
{
  for (auto* server : this->Servers()) {
    server->AnnounceClose();
  }
}

void
TrafficNode::StopAccepting()
{
  for (auto* server : this->Servers()) {
    server->StopAccepting();
  }
}

bool
TrafficNode::CloseIfIdle()
{
  bool answering = false;
  for (auto* server : this->Servers()) {
    answering = answering || server->Answering();
  }
  if (answering || this->ingress.InFlight() > 0 || !this->executor.Idle()) {
    return false;
  }
  for (auto* server : this->Servers()) {
    server->CloseAll();
  }
  return true;
}

void
TrafficNode::OnPeerRequest(const std::shared_ptr<Exchange>& aExchange)
{
  auto dispatch =
    DecodeDispatch(std::string(aExchange->request[kDispatchField]));
  if (!dispatch) {
    aExchange->Respond(TextResponse(400, "no dispatch\n"));
    return;
  }
  auto request = std::move(aExchange->request);
  auto execution = this->executor.Start(
    std::move(request), *dispatch, std::make_shared<ExchangeWriter>(aExchange));
  aExchange->onGone = [execution] { execution->Cancel(); };
}

void
TrafficNode::Tick()
{
  auto now = BootClock::now();
  for (auto* server : this->Servers()) {
    server->Sweep(now);
  }
  this->executor.Sweep(now);
  this->ingress.Sweep(now);
  if (this->onReport) {
    this->onReport({ this->executor.OfferedLoad(),
                     this->executor.ConnectionsOpened(),
                     this->executor.KeyWeights(),
                     this->ingress.PeerLoads() });
  }
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->Tick();
    }
  });
}

} // namespace fescuetiller
