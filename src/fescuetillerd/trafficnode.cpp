#include "fescuetillerd/trafficnode.h"

#include "fescuetillerd/callerapi.h"
#include "fescuetillerd/nodebudgets.h"
#include "fescuetillerd/pacedresponse.h"
#include "platform/headers.h"

namespace fescuetiller {

namespace {

/** Interval between reports to the control thread and between checks for idle
 * connections. */
constexpr Duration kPeriodicInterval = std::chrono::milliseconds(500);
/** Interval between log lines on the use of the server's slots. */
constexpr Duration kSlotUsageLogInterval = std::chrono::seconds(2);
/** Interval between log lines on the traffic with other zones. */
constexpr Duration kZoneTrafficLogInterval = std::chrono::seconds(5);
/** Longer than other daemons keep their idle connections to this one, so that
 * the calling side closes them first. */
constexpr Duration kPeerIdleTimeout = std::chrono::seconds(60);
/** How long other daemons may take to read the final response before the
 * process exits, and clients to send the rest of a request: many times a round
 * trip, and the delay of a busy link. */
constexpr Duration kDismissalTime = std::chrono::milliseconds(500);
/** Size limits for requests from other daemons, whose ingress has already
 * applied the operator's limits. */
constexpr uint64_t kMaxPeerBodyBytes = 256 * 1024 * 1024;
constexpr uint32_t kMaxPeerHeaderBytes = 128 * 1024;
/** Other daemons add a few fields to those of their clients. */
constexpr uint32_t kMaxPeerFields = 220;
/** The body is kept until the request has its response, since it may be sent
 * again, and a copy of it is sent. */
constexpr uint32_t kClientBodyCopies = 2;
/** Reason of requests that were refused since there is no room for them. */
constexpr const char* kNoRoomReason = "no-room";
/** Number of crash records that are repeated to other daemons at each interval,
 * for those that missed them or were started since. */
constexpr size_t kRepeatedCrashRecords = 8;
/** Fraction of the allowed retry ratio that one daemon uses. The margin is for
 * differences between its own count of requests and the service's. */
constexpr double kRetryRatioFraction = 0.7;

} // namespace

TrafficNode::TrafficNode(asio::io_context& aContext,
                         const NodeSettings& aSettings,
                         EventLog& aLog,
                         Counters& aCounters)
  : context(aContext)
  , settings(aSettings)
  , log(aLog)
  , counters(aCounters)
  , executor(aContext,
             ParseEndpoint(aSettings.server).value_or(Tcp::endpoint()),
             aSettings.service,
             aLog)
  , uplink(aContext, aLog)
  , ingress(aContext,
            executor,
            { aSettings.service,
              aSettings.zone,
              aSettings.retryRatio * kRetryRatioFraction,
              aSettings.transferCost },
            aLog,
            aCounters)
  , memory(std::make_shared<ConnectionMemory>(aContext,
                                              BudgetsOf(aSettings).traffic))
  , refusals(aLog, aCounters)
  , clientServer(aContext,
                 [this](std::shared_ptr<Exchange> aExchange) {
                   this->ingress.OnRequest(std::move(aExchange));
                 })
  , callerServer(aContext,
                 [this](std::shared_ptr<Exchange> aExchange) {
                   this->ingress.OnCallerRequest(std::move(aExchange));
                 })
  , peerServer(aContext,
               [this](const std::shared_ptr<Exchange>& aExchange) {
                 this->OnPeerRequest(aExchange);
               })
  , timer(aContext)
{
  this->SetRules();
  this->executor.estimateLink = [this](const std::string& aClass) {
    return this->uplink.Estimate(aClass);
  };
  this->executor.onServerConnectionRefused = [this] {
    if (this->onServerConnectionRefused) {
      this->onServerConnectionRefused();
    }
  };
  this->executor.onUnexpectedData = [this](const auto& aData) {
    this->OnUnexpectedData("server", aData);
  };
  this->ingress.onUnexpectedData = [this](const auto& aData) {
    this->OnUnexpectedData("daemon", aData);
  };
  this->executor.onCrashNews = [this](CrashRecords::Records aNews) {
    if (this->onCrashRecords) {
      this->onCrashRecords(std::move(aNews));
    }
  };
  this->executor.onServerLeaving = [this](const auto& aServer, Time aSince) {
    if (this->onServerLeaving) {
      this->onServerLeaving(aServer, aSince);
    }
  };
}

void
TrafficNode::SetRules()
{
  for (auto* server : this->HttpServers()) {
    server->rules.requestIdField = headers::kRequestId;
    server->rules.onUnanswered = [this](const auto& aRequest) {
      this->OnUnanswered(aRequest);
    };
  }
  this->refusals.Follow(*this->memory);
  this->clientServer.SetMemory(this->memory, "clients");
  this->callerServer.SetMemory(this->memory, "callers");
  this->peerServer.SetMemory(this->memory, "peers");
  auto& clients = this->clientServer.rules;
  clients.mayRunConcurrently = [this](const HttpRequest& aRequest) {
    return this->ingress.MayRunConcurrently(aRequest);
  };
  clients.needsBody = [this](const HttpRequest& aRequest) {
    return this->ingress.NeedsBody(aRequest);
  };
  clients.onRefusal = [](const HttpRequest& aRequest, HttpResponse& aResponse) {
    aResponse.set(headers::kRequestId, aRequest[headers::kRequestId]);
  };
  auto& callers = this->callerServer.rules;
  callers.needsBody = [this](const HttpRequest& aRequest) {
    return this->ingress.NeedsCallerBody(aRequest);
  };
  callers.onRefusal = [](const HttpRequest& aRequest, HttpResponse& aResponse) {
    aResponse.set(headers::kRequestId, aRequest[headers::kRequestId]);
    AddOutcome(aResponse, "refused");
  };
  auto& peers = this->peerServer.rules;
  peers.needsBody = [](const HttpRequest& aRequest) {
    return HasDispatch(aRequest);
  };
  peers.onRefusal = [this](const HttpRequest& aRequest,
                           HttpResponse& aResponse) {
    aResponse.set(headers::kRequestId, aRequest[headers::kRequestId]);
    this->executor.SetRefusalReport(aResponse, kNoRoomReason);
  };
}

Result<void>
TrafficNode::Listen()
{
  SessionLimits peerLimits;
  peerLimits.maxBodyBytes = kMaxPeerBodyBytes;
  peerLimits.maxHeaderBytes = kMaxPeerHeaderBytes;
  peerLimits.maxFields = kMaxPeerFields;
  peerLimits.idleTimeout = kPeerIdleTimeout;
  this->peerServer.SetLimits(peerLimits);
  for (auto [server, text] :
       { std::pair(&this->clientServer, this->settings.clientAddress),
         std::pair(&this->callerServer, this->settings.callerAddress),
         std::pair(&this->peerServer, this->settings.peerAddress) }) {
    auto listening = server->Listen(text);
    if (!listening) {
      return listening;
    }
  }
  SessionLimits clientLimits;
  clientLimits.bodyCopies = kClientBodyCopies;
  this->clientServer.SetLimits(clientLimits);
  this->callerServer.SetLimits(clientLimits);
  this->RunPeriodicTasks();
  return {};
}

void
TrafficNode::SetSettings(const NodeSettings& aSettings)
{
  this->settings = aSettings;
  this->memory->Account().SetBudget(BudgetsOf(aSettings).traffic);
  this->ingress.SetRetryRatio(aSettings.retryRatio * kRetryRatioFraction);
  this->ingress.SetTransferCost(aSettings.transferCost);
  this->SetColdPolicy();
}

void
TrafficNode::SetColdPolicy()
{
  const auto* service =
    this->configuration == nullptr
      ? nullptr
      : this->configuration->FindService(this->settings.service);
  ColdPolicy policy;
  policy.factor = this->settings.coldFactor;
  policy.margin = this->settings.coldMargin;
  policy.heartbeat = this->settings.heartbeat;
  if (service != nullptr) {
    policy.perSecond = service->coldRequestsPerSecond;
    policy.healthPath = service->healthPath;
  }
  this->executor.SetColdPolicy(policy);
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
  sessions.bodyCopies = kClientBodyCopies;
  this->clientServer.SetLimits(sessions);
  this->callerServer.SetLimits(sessions);
  this->configuration = aConfiguration;
  this->SetColdPolicy();
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

void
TrafficNode::SetEvacuatedZones(std::set<std::string> aZones)
{
  this->ingress.SetEvacuatedZones(std::move(aZones));
}

void
TrafficNode::OnCrashRecords(const CrashRecords::Records& aRecords)
{
  this->executor.OnCrashRecords(aRecords);
}

std::array<HttpServer*, 3>
TrafficNode::HttpServers()
{
  return { &this->clientServer, &this->callerServer, &this->peerServer };
}

void
TrafficNode::AnnounceClose()
{
  for (auto* server : this->HttpServers()) {
    server->AnnounceClose();
  }
}

void
TrafficNode::StopAccepting(Time aExitAt)
{
  this->ingress.SetExitTime(aExitAt);
  this->stoppedAt = BootClock::now();
  this->dismissedUntil = this->stoppedAt + kDismissalTime;
  this->peerServer.DismissClients(this->executor.MakeFinalResponse());
  this->StopAcceptingClients();
}

void
TrafficNode::StopAcceptingClients()
{
  if (!this->executor.HasRequestsFrom(this->stoppedAt)) {
    this->clientServer.StopAccepting();
    this->callerServer.StopAccepting();
  }
}

bool
TrafficNode::CloseIfIdle()
{
  this->StopAcceptingClients();
  bool responding = false;
  bool reading = false;
  for (auto* server : this->HttpServers()) {
    responding = responding || server->HasPendingResponses();
    reading = reading || server->HasPartialRequests();
  }
  // Connections of clients are closed after the linger time at the latest.
  bool dismissing = ((reading || this->peerServer.HasDismissedClients()) &&
                     BootClock::now() < this->dismissedUntil) ||
                    this->clientServer.HasDismissedClients() ||
                    this->callerServer.HasDismissedClients();
  if (responding || dismissing || this->ingress.InFlightCount() > 0 ||
      !this->executor.IsIdle()) {
    return false;
  }
  this->clientServer.CloseAll();
  this->callerServer.CloseAll();
  // Closing the listening socket would reset connections that others make now.
  this->peerServer.IgnoreNewConnections();
  this->peerServer.CloseConnections();
  return true;
}

void
TrafficNode::OnPeerRequest(const std::shared_ptr<Exchange>& aExchange)
{
  auto dispatch = TakeDispatch(aExchange->request, this->settings.service);
  if (!dispatch) {
    aExchange->Respond(TextResponse(400, "no dispatch\n"));
    return;
  }
  auto link = this->uplink.Estimate(dispatch->requestClass);
  auto response =
    this->uplink.Expect(aExchange,
                        dispatch->requestClass,
                        BootClock::now() + dispatch->untilDeadline);
  auto request = std::move(aExchange->request);
  if (auto notice = TakeServerNotice(request, this->log)) {
    this->executor.OnServerNotice(*notice);
  }
  auto execution =
    this->executor.Start(std::move(request), *dispatch, response, link);
  aExchange->onClientDisconnect = [execution, response](ConnectionEnd) {
    execution->Cancel();
    response->Cancel();
  };
}

void
TrafficNode::OnUnexpectedData(const std::string& aSender,
                              const UnexpectedData& aData)
{
  this->counters.CountUnexpectedData(
    aSender, ToString(aData.kind), aData.accepted);
  this->log.Write(EventPriority::Routine, [&]() -> Event {
    return { "unexpected-data",
             { { "sender", aSender },
               { "address", ToString(aData.peer) },
               { "kind", ToString(aData.kind) },
               { "request", aData.requestId },
               { "response", aData.responseId },
               { "status", std::to_string(aData.status) },
               { "accepted", aData.accepted ? "yes" : "no" },
               { "reason", aData.reason } } };
  });
}

void
TrafficNode::OnUnanswered(const UnansweredRequest& aRequest)
{
  bool byClient = IsEndedByClient(aRequest.end);
  this->counters.CountUnanswered(aRequest);
  // Clients that leave are usual, and their requests are logged as cancelled.
  bool isNotable =
    !byClient || aRequest.response != UnansweredRequest::Response::None;
  this->log.Write(
    isNotable ? EventPriority::Notable : EventPriority::Routine,
    [&]() -> Event {
      return { "request-unanswered",
               { { "request", aRequest.id },
                 { "listener", aRequest.listener },
                 { "client", aRequest.client },
                 { "ended_by", byClient ? "client" : "daemon" },
                 { "reason", ToString(aRequest.end) },
                 { "age_ms", std::to_string(ToMilliseconds(aRequest.age)) },
                 { "response", ToString(aRequest.response) },
                 { "response_age_ms",
                   aRequest.responseAge
                     ? std::to_string(ToMilliseconds(*aRequest.responseAge))
                     : "" },
                 { "position", std::to_string(aRequest.position) },
                 { "behind", std::to_string(aRequest.behind) } } };
    });
}

void
TrafficNode::LogSlotUsage(Time aNow)
{
  if (aNow < this->nextSlotUsageLog) {
    return;
  }
  this->nextSlotUsageLog = aNow + kSlotUsageLogInterval;
  auto totals = this->executor.SlotTotals();
  if (totals == this->loggedSlotTotals) {
    return;
  }
  this->loggedSlotTotals = totals;
  this->log.Write(EventPriority::Summary, [&totals] {
    Event event{ "slot-usage", {} };
    for (const auto& [name, time] : totals.ByName()) {
      event.fields.emplace_back(name + "_ms",
                                std::to_string(ToMilliseconds(time)));
    }
    return event;
  });
}

void
TrafficNode::LogZoneTraffic(Time aNow)
{
  if (aNow < this->nextZoneTrafficLog) {
    return;
  }
  this->nextZoneTrafficLog = aNow + kZoneTrafficLogInterval;
  auto event = this->counters.MakeZoneTrafficEvent();
  if (event.fields != this->loggedZoneTraffic) {
    this->loggedZoneTraffic = event.fields;
    this->log.Write(EventPriority::Summary, [&event] { return event; });
  }
}

void
TrafficNode::RunPeriodicTasks()
{
  auto now = BootClock::now();
  for (auto* server : this->HttpServers()) {
    server->CloseTimedOut(now);
  }
  this->memory->ReturnMemory(now);
  const auto& account = this->memory->Account();
  this->refusals.LogSummary(now, account);
  this->counters.SetGauge("fescuetiller_connection_bytes",
                          static_cast<double>(account.HeldBytes()));
  this->counters.SetGauge("fescuetiller_connections",
                          static_cast<double>(account.ConnectionCount()));
  this->executor.RunPeriodicTasks(now);
  this->ingress.CloseIdleConnections(now);
  this->uplink.DropExpired(now);
  auto repeated = this->executor.Crashes().Next(now, kRepeatedCrashRecords);
  if (!repeated.empty() && this->onCrashRecords) {
    this->onCrashRecords(std::move(repeated));
  }
  if (this->onReport) {
    this->onReport({ this->executor.OfferedLoad(),
                     this->executor.ConnectionsOpened(),
                     this->executor.RequestsPerSecond(),
                     this->executor.UnusableShare(),
                     this->executor.Crashes().BlockedCount(now),
                     this->executor.EvacuationRefusals(),
                     this->executor.RunningCount(),
                     this->executor.SlotTotals(),
                     this->executor.KeyWeights(),
                     this->ingress.PeerLoads(),
                     this->executor.IsServerCold(),
                     this->executor.ColdRefusals(),
                     this->executor.StatusChecks(),
                     this->executor.OtherWork(),
                     this->executor.Slowness() });
  }
  this->LogSlotUsage(now);
  this->LogZoneTraffic(now);
  this->timer.expires_after(kPeriodicInterval);
  this->timer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->RunPeriodicTasks();
    }
  });
}

} // namespace fescuetiller
