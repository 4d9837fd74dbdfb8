#include "fescuetillerd/controlnode.h"

#include <algorithm>
#include <iterator>
#include <limits>

#include "fescuetillerd/nodebudgets.h"

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Interval between checks of leases and moves: a small part of the shortest
 * time limit that is checked. */
constexpr Duration kTickInterval = milliseconds(100);
/** Longest wait of one call for changes. Members correct a daemon that acts on
 * an outdated view, and ConfigurationCheck detects an outdated configuration.
 */
constexpr Duration kWatchTime = milliseconds(8000);
/** Number of members that get a message of SendToSomeMembers. */
constexpr size_t kSomeMembers = 4;
/** Largest number of crash records in one message, which must fit into a
 * datagram. */
constexpr size_t kMaxCrashRecords = 12;
/** Pauses after a change, so that one call fetches several changes made in
 * quick succession. Members send each other their changes of the cluster
 * directly, so the cluster pause may grow with the number of members, which
 * keeps the rate of calls to the store independent of that number. */
constexpr Duration kConfigurationBatchPause = milliseconds(40);
constexpr Duration kClusterBatchPausePerMember = milliseconds(50);
constexpr Duration kMaxClusterBatchPause = milliseconds(5000);
/** Two refused connections at least this far apart show that no process listens
 * at the backend server's address. */
constexpr Duration kMinRefusalInterval = milliseconds(60);
/** Refused connections further apart than this are counted separately. */
constexpr Duration kMaxRefusalInterval = milliseconds(1500);
/** Least number of heartbeat intervals within the time for which a guardian's
 * acknowledgement is valid: one late heartbeat does not make the server's
 * grants expire. */
constexpr double kMinHeartbeatsPerPromise = 2.4;
/** Longest wait until the store has a shutdown that a server announces: part of
 * the second that the server waits for an acknowledgement. */
constexpr Duration kShutdownRecordTimeout = milliseconds(400);
/** Largest body of a call of a backend server. */
constexpr uint64_t kMaxServerCallBytes = 1024 * 1024;
/** After a return of the store, tables are loaded again within this time. */
constexpr Duration kReloadSpread = milliseconds(200);
/** Time between calls because other daemons have seen a later era. */
constexpr Duration kEraReadInterval = milliseconds(500);
/** Interval between log lines on the calls to the store. */
constexpr Duration kStoreCallsLogInterval = std::chrono::seconds(10);
/** Where a configuration came from, in the log. */
constexpr const char* kStoreSource = "store";
constexpr const char* kPeerSource = "peer";

std::string
RandomId(std::mt19937_64& aRandom)
{
  return ToHex(aRandom());
}

double
RandomFraction(std::mt19937_64& aRandom)
{
  return std::uniform_real_distribution<double>(0, 1)(aRandom);
}

std::string
FormatAge(std::optional<Duration> aAge)
{
  return aAge ? std::to_string(ToMilliseconds(*aAge)) : "";
}

AgentSettings
ToAgentSettings(const NodeSettings& aSettings)
{
  AgentSettings settings;
  settings.heartbeat = aSettings.heartbeat;
  settings.times.promise =
    std::max<Duration>(settings.times.promise,
                       std::chrono::duration_cast<Duration>(
                         aSettings.heartbeat * kMinHeartbeatsPerPromise));
  settings.maxGrantTime = aSettings.maxGrantTime;
  settings.drainTime = aSettings.drainTime;
  settings.evacuationTime = aSettings.evacuationTime;
  return settings;
}

} // namespace

ControlNode::ControlNode(asio::io_context& aContext,
                         const NodeSettings& aSettings,
                         EventLog& aLog,
                         Counters& aCounters)
  : context(aContext)
  , settings(aSettings)
  , log(aLog)
  , counters(aCounters)
  , pool(aContext)
  , store(pool, ParseEndpoint(aSettings.storeAddress).value_or(Tcp::endpoint()))
  , random(std::random_device()())
  , agent(
      { aSettings.service,
        aSettings.zone,
        aSettings.peerAddress,
        aSettings.ip + ":" + std::to_string(aSettings.firstPort),
        aSettings.server },
      ToAgentSettings(aSettings),
      [this] { return RandomId(this->random); },
      [this] { return RandomFraction(this->random); })
  , memory(std::make_shared<ConnectionMemory>(aContext,
                                              BudgetsOf(aSettings).control))
  , refusals(aLog, aCounters)
  , serverCallListener(aContext,
                       [this](const std::shared_ptr<Exchange>& aExchange) {
                         this->OnServerCall(aExchange);
                       })
  , readinessListener(aContext,
                      [this](const std::shared_ptr<Exchange>& aExchange) {
                        this->OnReadinessCheck(aExchange);
                      })
  , metricsListener(aContext,
                    [this](const std::shared_ptr<Exchange>& aExchange) {
                      this->OnMetricsRequest(aExchange);
                    })
  , peerReadListener(aContext,
                     [this](const std::shared_ptr<Exchange>& aExchange) {
                       this->OnPeerRead(aExchange);
                     })
  , peerSocket(aContext)
  , timer(aContext)
  , configurationWatch(aContext,
                       store,
                       aLog,
                       ConfigurationKey().table,
                       kWatchTime,
                       { [this](TableWatch::LoadCallback aCallback) {
                          this->LoadConfiguration(std::move(aCallback));
                        },
                         [this](const StoreRows& aRows) {
                           this->OnOrderChanges(aRows);
                           this->OnConfigurationRows(aRows, kStoreSource);
                         },
                         [](bool) {},
                         [] { return kConfigurationBatchPause; } })
  , clusterWatch(
      aContext,
      store,
      aLog,
      kClusterTable,
      kWatchTime,
      { [this](TableWatch::LoadCallback aCallback) {
         this->LoadCluster(std::move(aCallback));
       },
        [this](StoreRows aRows) {
          aRows.rows = FromStored(std::move(aRows.rows), EraOf(aRows.version));
          this->OnClusterRows(aRows);
          this->agent.OnRowsComplete(aRows.version);
        },
        [this](bool aReachable) { this->agent.SetStoreReachable(aReachable); },
        [this] { return this->ClusterBatchPause(); } })
  , peerBootstrap(
      pool,
      aLog,
      { [this] { return !this->clusterWatch.IsLoaded(); },
        [this](const StoreRows& aRows) {
          this->OnConfigurationRows(aRows, kPeerSource);
        },
        [this] { return this->Services(); },
        [this](const StoreRows& aRows) { this->OnClusterRows(aRows); } })
  , configurationSharing(
      pool,
      aLog,
      { [this] { return this->configurationSeen; },
        [this]() -> const StoreRow& { return this->configurationRow; },
        [this](const StoreRow& aRow, const std::string& aPeer) {
          this->ApplyConfiguration(aRow, aPeer);
        } })
  , configurationCheck([this] { return RandomFraction(this->random); })
{
  this->store.onEra = [this](StoreEra aEra) { this->OnStoreEra(aEra); };
  this->SetRules();
}

void
ControlNode::SetRules()
{
  this->refusals.Follow(*this->memory);
  this->serverCallListener.SetMemory(this->memory, "server-calls");
  this->readinessListener.SetMemory(this->memory, "ready");
  this->metricsListener.SetMemory(this->memory, "metrics");
  this->peerReadListener.SetMemory(this->memory, "peer-reads");
  this->serverCallListener.rules.needsBody = [](const HttpRequest& aRequest) {
    auto call = ParseServerCall(std::string(aRequest.method_string()),
                                std::string(aRequest.target()));
    return call && call->kind == ServerCall::Kind::Heartbeat;
  };
  for (auto* server : { &this->readinessListener,
                        &this->metricsListener,
                        &this->peerReadListener }) {
    server->rules.needsBody = [](const HttpRequest&) { return false; };
  }
}

Result<void>
ControlNode::Listen()
{
  SessionLimits limits;
  limits.maxBodyBytes = kMaxServerCallBytes;
  this->serverCallListener.SetLimits(limits);
  this->readinessListener.SetLimits(limits);
  this->metricsListener.SetLimits(limits);
  this->peerReadListener.SetLimits(limits);
  auto ownAddress =
    this->settings.ip + ":" + std::to_string(this->settings.firstPort);
  for (auto [server, text] :
       { std::pair(&this->serverCallListener, this->settings.serverCallAddress),
         std::pair(&this->readinessListener, this->settings.readinessAddress),
         std::pair(&this->peerReadListener, ownAddress),
         std::pair(&this->metricsListener, this->settings.metricsAddress) }) {
    auto listening = server->Listen(text);
    if (!listening) {
      return listening;
    }
  }
  auto endpoint = ParseEndpoint(ownAddress);
  if (!endpoint) {
    return tl::unexpected(endpoint.error());
  }
  boost::system::error_code error;
  this->peerSocket.open(asio::ip::udp::v4(), error);
  if (!error) {
    this->peerSocket.bind({ endpoint->address(), endpoint->port() }, error);
  }
  if (error) {
    return tl::unexpected(Error{ ErrorCode::Unavailable,
                                 "listen for peer messages",
                                 ToString(*endpoint),
                                 error.message() });
  }
  this->ReceivePeerMessage();
  this->configurationWatch.Start();
  this->Tick();
  return {};
}

void
ControlNode::SetSettings(const NodeSettings& aSettings)
{
  this->settings = aSettings;
  this->memory->Account().SetBudget(BudgetsOf(aSettings).control);
  this->agent.SetBounds(
    aSettings.maxGrantTime, aSettings.drainTime, aSettings.evacuationTime);
  this->store.SetAddress(
    ParseEndpoint(aSettings.storeAddress).value_or(Tcp::endpoint()));
}

void
ControlNode::Tick()
{
  auto now = BootClock::now();
  this->pool.CloseExpired(now);
  for (auto* server : { &this->serverCallListener,
                        &this->readinessListener,
                        &this->metricsListener,
                        &this->peerReadListener }) {
    server->CloseTimedOut(now);
  }
  this->memory->ReturnMemory(now);
  this->refusals.LogSummary(now, this->memory->Account());
  this->CheckConfiguration(now);
  this->RunAgent();
  this->log.Flush();
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->Tick();
    }
  });
}

/** Runs the agent and carries out its decisions. */
void
ControlNode::RunAgent()
{
  auto now = BootClock::now();
  auto& evacuations = this->agent.ZoneEvacuations();
  if (auto age = this->ConfigurationAge(now)) {
    evacuations.OnConfirmed(now - *age); // The check covers the whole table.
  }
  auto output = this->agent.Tick(now);
  evacuations.OnProgress(this->agent.HasRanges(), this->runningRequests);
  for (const auto& message : output.messages) {
    this->SendPeerMessage(message.address, message.message);
  }
  for (const auto& key : output.leaseReads) {
    this->ReadLease(key);
  }
  if (auto change = this->agent.Transactions().Next(now)) {
    auto era = this->agent.Era();
    auto stored = ToStored(*change, era);
    this->store.Transact(stored, [this, era](Result<StoreOutcome> aOutcome) {
      if (aOutcome) {
        aOutcome->current = FromStored(std::move(aOutcome->current), era);
      } else {
        this->log.Write({ "store-call-failed",
                          { { "call", "change" },
                            { "error", ToString(aOutcome.error()) } } });
      }
      this->agent.Transactions().OnResponse(BootClock::now(), aOutcome);
      this->RunAgent();
    });
  }
  this->WriteEvents();
  this->Publish();
  this->SendAcknowledgements();
}

void
ControlNode::WriteEvents()
{
  for (const auto& event : this->agent.TakeEvents()) {
    this->counters.CountEvent(event.name);
    this->log.Write(event);
  }
}

void
ControlNode::Publish()
{
  auto now = BootClock::now();
  this->PublishEvacuations();
  auto serving = this->agent.ServingStateAt(now);
  if (this->agent.IsReturning(now)) {
    // Requests are routed and served as before, but a server that has announced
    // its shutdown gets none after its drain time, and one whose zone is
    // evacuated gets none, either.
    this->PublishServing(WithSendLimits(this->publishedServing, serving));
    return;
  }
  const auto& view = this->agent.View();
  if (view.ChangeCount() != this->publishedChanges ||
      serving.member != this->publishedSelf) {
    this->publishedChanges = view.ChangeCount();
    this->publishedSelf = serving.member;
    this->onView(std::make_shared<ClusterView>(view), serving.member);
  }
  this->PublishServing(serving);
}

void
ControlNode::PublishEvacuations()
{
  const auto& evacuations = this->agent.ZoneEvacuations();
  auto zones = evacuations.Zones();
  if (zones == this->publishedZones) {
    return;
  }
  this->publishedZones = zones;
  this->counters.SetGauge("fescuetiller_evacuated_zones",
                          static_cast<double>(zones.size()));
  this->counters.SetGauge("fescuetiller_own_zone_evacuated",
                          evacuations.IsOwnZoneEvacuated() ? 1 : 0);
  if (this->onEvacuatedZones) {
    this->onEvacuatedZones(std::move(zones));
  }
  this->SendConfirmations(); // Each datagram announces the zones.
}

void
ControlNode::PublishServing(const ServingState& aServing)
{
  if (!(aServing == this->publishedServing)) {
    this->publishedServing = aServing;
    this->onServing(aServing);
  }
}

void
ControlNode::OnReport(TrafficReport aReport)
{
  this->counters.SetGauge("fescuetiller_offered_load", aReport.load);
  this->counters.SetSlotTimes(aReport.slotTotals);
  this->counters.SetGauge("fescuetiller_server_connections",
                          static_cast<double>(aReport.serverConnections));
  this->counters.SetGauge(
    "fescuetiller_server_request_limit",
    aReport.requestLimit.value_or(std::numeric_limits<double>::infinity()));
  this->counters.SetGauge("fescuetiller_server_cold",
                          aReport.serverIsCold ? 1 : 0);
  this->counters.SetGauge("fescuetiller_server_cold_refusals",
                          static_cast<double>(aReport.coldRefusals));
  this->counters.SetGauge("fescuetiller_status_checks",
                          static_cast<double>(aReport.statusChecks));
  this->counters.SetGauge("fescuetiller_server_other_work",
                          static_cast<double>(aReport.otherWork));
  this->counters.SetGauge("fescuetiller_server_slowness", aReport.slowness);
  this->counters.SetGauge("fescuetiller_blocked_requests",
                          static_cast<double>(aReport.blockedRequests));
  this->counters.SetGauge("fescuetiller_evacuation_refusals",
                          static_cast<double>(aReport.evacuationRefusals));
  this->runningRequests = aReport.runningRequests;
  this->counters.SetGauge("fescuetiller_log_lines_dropped",
                          static_cast<double>(this->log.DroppedLines()));
  this->counters.SetGauge("fescuetiller_store_calls",
                          static_cast<double>(this->store.CallCount()));
  this->counters.SetStoreCalls(this->store.callCounts);
  this->LogStoreCalls();
  if (auto age = this->ConfigurationAge(BootClock::now())) {
    this->counters.SetGauge("fescuetiller_configuration_age_seconds",
                            std::chrono::duration<double>(*age).count());
  }
  this->agent.SetLoads(std::move(aReport.keyWeights),
                       aReport.unusableShare,
                       std::move(aReport.peerLoads));
}

void
ControlNode::LogStoreCalls()
{
  auto now = BootClock::now();
  if (now < this->nextStoreCallsLog) {
    return;
  }
  this->nextStoreCallsLog = now + kStoreCallsLogInterval;
  this->log.Write(EventPriority::Summary, [this] {
    Event event{ "store-calls", {} };
    for (const auto& [kind, count] : this->store.callCounts) {
      event.fields.emplace_back(kind.first + "_" + kind.second,
                                std::to_string(count));
    }
    return event;
  });
}

void
ControlNode::OnServerConnectionRefused()
{
  auto now = BootClock::now();
  bool confirmed = this->refusedAt != Time() &&
                   now - this->refusedAt >= kMinRefusalInterval &&
                   now - this->refusedAt <= kMaxRefusalInterval;
  if (confirmed) {
    this->agent.OnConnectionRefused(now);
    this->refusedAt = Time();
    this->RunAgent();
  } else if (this->refusedAt == Time() ||
             now - this->refusedAt > kMaxRefusalInterval) {
    this->refusedAt = now;
  }
}

void
ControlNode::OnServerLeaving(const ServerIncarnation& aServer, Time aSince)
{
  this->agent.OnServerLeaving(aSince, aServer);
  this->RunAgent();
}

void
ControlNode::OnServerCall(const std::shared_ptr<Exchange>& aExchange)
{
  const auto& request = aExchange->request;
  auto call = ParseServerCall(std::string(request.method_string()),
                              std::string(request.target()));
  if (!call) {
    aExchange->Respond(TextResponse(404, "unknown call\n"));
    return;
  }
  auto now = BootClock::now();
  if (call->kind == ServerCall::Kind::Deregister) {
    this->agent.OnServerDeregistered(now, call->serverId);
    this->Acknowledge(aExchange, TextResponse(200, ""));
    return;
  }
  auto report = ParseHeartbeat(call->serverId, request.body());
  if (!report) {
    this->log.Write({ "heartbeat-refused",
                      { { "server", call->serverId },
                        { "reason", ToString(report.error()) },
                        { "body", request.body() } } });
    aExchange->Respond(TextResponse(400, ToString(report.error()) + "\n"));
    return;
  }
  auto reply = this->agent.OnHeartbeat(now, *report);
  this->Acknowledge(aExchange, JsonResponse(200, EncodeHeartbeatReply(reply)));
}

void
ControlNode::Acknowledge(const std::shared_ptr<Exchange>& aExchange,
                         HttpResponse aResponse)
{
  if (this->agent.IsRecordingShutdown()) {
    this->acknowledgements.push_back(
      { aExchange,
        std::move(aResponse),
        BootClock::now() + kShutdownRecordTimeout });
  } else {
    aExchange->Respond(std::move(aResponse));
  }
  this->RunAgent();
}

void
ControlNode::SendAcknowledgements()
{
  bool isRecorded = !this->agent.IsRecordingShutdown();
  std::vector<Acknowledgement> waiting;
  for (auto& acknowledgement : this->acknowledgements) {
    if (isRecorded || BootClock::now() >= acknowledgement.dueAt) {
      acknowledgement.exchange->Respond(std::move(acknowledgement.response));
    } else {
      waiting.push_back(std::move(acknowledgement));
    }
  }
  this->acknowledgements = std::move(waiting);
}

/** Responds to another daemon's read with this daemon's copy of the rows. */
void
ControlNode::OnPeerRead(const std::shared_ptr<Exchange>& aExchange)
{
  const auto& request = aExchange->request;
  if (request.target() == kSharedConfigurationPath) {
    aExchange->Respond(this->configurationSharing.Serve());
    return;
  }
  auto from = ParseReadRequest(std::string(request.method_string()),
                               std::string(request.target()));
  if (!from) {
    aExchange->Respond(TextResponse(404, "unknown call\n"));
    return;
  }
  if (this->configuration == nullptr || !this->clusterWatch.IsLoaded()) {
    aExchange->Respond(TextResponse(503, "nothing is known yet\n"));
    return;
  }
  StoreRows rows;
  if (*from == ConfigurationKey()) {
    rows.rows = { this->configurationRow };
    rows.version = this->configurationRow.version;
  } else {
    rows = this->agent.View().RowsOf(*from, kMaxRowsPerRead);
  }
  aExchange->Respond(JsonResponse(200, EncodeRows(rows)));
}

void
ControlNode::OnReadinessCheck(const std::shared_ptr<Exchange>& aExchange)
{
  bool hasClusterState =
    this->clusterWatch.IsLoaded() || this->peerBootstrap.HasLoaded();
  bool ready = !this->stopping && this->configuration != nullptr &&
               hasClusterState &&
               aExchange->request.target() == headers::kReadinessPath;
  aExchange->Respond(
    TextResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
}

void
ControlNode::OnMetricsRequest(const std::shared_ptr<Exchange>& aExchange)
{
  bool known = aExchange->request.target() == "/metrics";
  aExchange->Respond(TextResponse(known ? 200 : 404,
                                  known ? this->counters.FormatText()
                                        : "only /metrics is here\n"));
}

void
ControlNode::LoadConfiguration(TableWatch::LoadCallback aCallback)
{
  this->store.ReadAllFrom(
    ConfigurationKey(),
    [this, callback = std::move(aCallback)](Result<StoreRows> aRows) {
      if (!aRows) {
        callback(tl::unexpected(aRows.error()));
        return;
      }
      this->OnOrdersRead(*aRows);
      this->OnConfigurationRows(*aRows, kStoreSource);
      callback(aRows->version);
    });
}

void
ControlNode::OnOrdersRead(const StoreRows& aRows)
{
  std::set<std::string> zones;
  for (const auto& row : aRows.rows) {
    auto zone = ParseEvacuationKey(row.key);
    if (zone && !row.removed) {
      zones.insert(*zone);
    }
  }
  this->agent.ZoneEvacuations().OnRead(
    BootClock::now(), aRows.version, std::move(zones));
  this->RunAgent();
}

void
ControlNode::OnOrderChanges(const StoreRows& aRows)
{
  std::vector<EvacuationChange> changes;
  for (const auto& row : aRows.rows) {
    if (auto zone = ParseEvacuationKey(row.key)) {
      changes.push_back({ *zone, row.version, row.removed });
    }
  }
  this->agent.ZoneEvacuations().OnChanges(
    BootClock::now(), aRows.version, changes);
  if (!changes.empty()) {
    this->RunAgent();
  }
}

/** A configuration of another daemon may be newer than the orders that are
 * known; a watch that began after it would not return the orders before it. */
void
ControlNode::SkipKnownChanges()
{
  this->configurationWatch.SkipTo(std::min(
    this->configurationSeen, this->agent.ZoneEvacuations().Orders().version));
}

/** Applies the newest valid configuration among the rows, which are in the
 * order of their versions. */
void
ControlNode::OnConfigurationRows(const StoreRows& aRows,
                                 const std::string& aSource)
{
  for (auto row = aRows.rows.rbegin(); row != aRows.rows.rend(); ++row) {
    if (row->key == ConfigurationKey() && !row->removed &&
        this->ApplyConfiguration(*row, aSource)) {
      return;
    }
  }
}

/** Returns whether the row is valid or was handled before. */
bool
ControlNode::ApplyConfiguration(const StoreRow& aRow,
                                const std::string& aSource)
{
  if (aRow.version <= this->configurationSeen) {
    return true;
  }
  this->configurationSeen = aRow.version;
  this->SkipKnownChanges();
  auto parsed = ParseConfiguration(aRow.value);
  if (!parsed) {
    this->log.Write({ "configuration-refused",
                      { { "row_version", std::to_string(aRow.version) },
                        { "source", aSource },
                        { "reason", ToString(parsed.error()) } } });
    return false;
  }
  if (this->configuration != nullptr &&
      parsed->version <= this->configuration->version) {
    if (parsed->version == this->configuration->version) {
      this->configurationRow = aRow; // Written again, with a new version.
    }
    return true;
  }
  bool first = this->configuration == nullptr;
  this->log.Write(
    { "configuration-taken",
      { { "version", std::to_string(parsed->version) },
        { "before", first ? "" : std::to_string(this->configuration->version) },
        { "routes", std::to_string(parsed->routes.size()) },
        { "source", aSource },
        { "row_version", std::to_string(aRow.version) },
        { "before_age_ms",
          FormatAge(this->ConfigurationAge(BootClock::now())) },
        { "bytes", std::to_string(aRow.value.size()) } } });
  this->configuration = std::make_shared<Configuration>(std::move(*parsed));
  this->configurationRow = aRow;
  const auto* ownService =
    this->configuration->FindService(this->settings.service);
  this->agent.SetOwnsKeys(ownService != nullptr && ownService->ownsKeys);
  this->onConfiguration(this->configuration);
  if (first) {
    this->clusterWatch.Start();
  }
  return true;
}

void
ControlNode::CheckConfiguration(Time aNow)
{
  if (this->configurationWatch.IsWatching() &&
      this->configurationCheck.Begin(aNow)) {
    this->configurationWatch.Check([this](const Result<void>& aResult) {
      this->OnConfigurationChecked(aResult);
    });
  }
}

void
ControlNode::OnConfigurationChecked(const Result<void>& aResult)
{
  auto now = BootClock::now();
  bool failedBefore = this->configurationCheck.HasFailed();
  auto age = FormatAge(this->ConfigurationAge(now));
  bool isNews = this->configurationCheck.OnEnded(now, aResult.has_value());
  if (isNews) {
    this->SendConfirmations();
  }
  if (aResult.has_value() != failedBefore) {
    return;
  }
  if (!aResult) {
    this->log.Write(
      { "configuration-check-failed",
        { { "age_ms", age }, { "error", ToString(aResult.error()) } } });
    return;
  }
  this->log.Write({ "configuration-checked", { { "age_ms", age } } });
  // Calls that were sent before may never get a response.
  this->configurationWatch.Restart();
  this->clusterWatch.Restart();
}

void
ControlNode::SendToSomeMembers(PeerMessage aMessage)
{
  std::vector<std::string> addresses;
  for (const auto& [id, member] : this->agent.View().AllMembers()) {
    if (id != this->publishedSelf) {
      addresses.push_back(member.record.udpAddress);
    }
  }
  std::vector<std::string> receivers;
  std::sample(addresses.begin(),
              addresses.end(),
              std::back_inserter(receivers),
              kSomeMembers,
              this->random);
  aMessage.from = this->publishedSelf;
  aMessage.era = this->store.Era();
  for (const auto& receiver : receivers) {
    this->SendPeerMessage(receiver, aMessage);
  }
}

void
ControlNode::SendConfirmations()
{
  PeerMessage message;
  message.kind = PeerMessage::Kind::Confirmation;
  this->SendToSomeMembers(std::move(message));
}

void
ControlNode::SendCrashRecords(const CrashRecords::Records& aRecords)
{
  for (size_t sent = 0; sent < aRecords.size(); sent += kMaxCrashRecords) {
    auto count = std::min(kMaxCrashRecords, aRecords.size() - sent);
    auto first = aRecords.begin() + static_cast<std::ptrdiff_t>(sent);
    PeerMessage message;
    message.kind = PeerMessage::Kind::Crashes;
    message.crashes.assign(first, first + static_cast<std::ptrdiff_t>(count));
    this->SendToSomeMembers(std::move(message));
  }
}

void
ControlNode::OnPeerConfirmation(Time aNow, const PeerMessage& aMessage)
{
  // It confirms the orders to evacuate zones as well, so it must state them.
  bool statesOrders =
    aMessage.evacuations.version != 0 && !aMessage.evacuations.truncated;
  bool isSame = statesOrders && aMessage.configuration != 0 &&
                aMessage.configuration == this->configurationRow.version;
  if (isSame && aMessage.configurationAge &&
      this->configurationCheck.OnConfirmed(aNow - *aMessage.configurationAge)) {
    this->SendConfirmations();
  }
}

std::optional<Duration>
ControlNode::ConfigurationAge(Time aNow) const
{
  return this->configurationCheck.Age(aNow);
}

/** Reads the partitions of all services. Changes are then watched from the
 * version at which the first partition was read. */
void
ControlNode::LoadCluster(TableWatch::LoadCallback aCallback)
{
  this->store.ReadParts(
    kClusterTable,
    this->Services(),
    [this](const std::string& aService, const StoreRows& aRows) {
      StoreRows rows;
      rows.version = aRows.version;
      rows.rows = FromStored(aRows.rows, EraOf(aRows.version));
      if (rows.rows.size() < aRows.rows.size()) {
        this->agent.SetHasEarlierRows(BootClock::now());
      }
      this->agent.OnRows(BootClock::now(), aService, rows);
    },
    [this, callback = std::move(aCallback)](Result<RowVersion> aVersion) {
      if (aVersion) {
        this->agent.OnRowsComplete(*aVersion);
      }
      callback(aVersion);
    });
}

std::vector<std::string>
ControlNode::Services() const
{
  std::vector<std::string> services;
  if (this->configuration != nullptr) {
    for (const auto& [name, service] : this->configuration->services) {
      services.push_back(name);
    }
  }
  return services;
}

void
ControlNode::OnClusterRows(const StoreRows& aRows)
{
  for (const auto& row : aRows.rows) {
    this->agent.OnRow(BootClock::now(), row);
  }
  this->RunAgent();
}

Duration
ControlNode::ClusterBatchPause() const
{
  auto members = static_cast<int>(this->agent.View().AllMembers().size());
  return std::min<Duration>(kClusterBatchPausePerMember * members,
                            kMaxClusterBatchPause);
}

void
ControlNode::ReadLease(const StoreKey& aKey)
{
  auto stored = ToStoredKey(aKey, this->agent.Era());
  this->store.ReadFrom(stored, [this, aKey, stored](Result<StoreRows> aRows) {
    if (!aRows) {
      this->log.Write(
        { "store-call-failed",
          { { "call", "read lease" }, { "error", ToString(aRows.error()) } } });
      return;
    }
    const auto* row = FindRow(*aRows, stored);
    this->agent.OnLongLeaseRead(
      BootClock::now(), aKey.key, row == nullptr ? 0 : row->version);
  });
}

void
ControlNode::OnStoreEra(StoreEra aEra)
{
  this->agent.OnStoreEra(BootClock::now(), aEra);
  // The operator's rows are written again, with versions of this era.
  this->configurationSeen = 0;
  auto pause = std::chrono::duration_cast<Duration>(
    kReloadSpread * RandomFraction(this->random));
  this->configurationWatch.ReloadAfter(pause);
  this->clusterWatch.ReloadAfter(pause);
}

void
ControlNode::OnPeerEra(Time aNow, StoreEra aEra)
{
  if (aEra <= this->store.Era() || aNow < this->nextEraReadAt) {
    return;
  }
  this->nextEraReadAt = aNow + kEraReadInterval;
  // No row has this key; the response shows the era.
  StoreKey none{ kLeaseTable, this->settings.service, "~" };
  this->store.ReadFrom(none, [this](const Result<StoreRows>& aRows) {
    if (!aRows) {
      this->log.Write(
        { "store-call-failed",
          { { "call", "read era" }, { "error", ToString(aRows.error()) } } });
    }
  });
}

void
ControlNode::ReceivePeerMessage()
{
  this->peerSocket.async_receive_from(
    asio::buffer(this->peerBuffer),
    this->peerSender,
    [this](boost::system::error_code aError, size_t aSize) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        this->OnDatagram(std::string(this->peerBuffer.data(), aSize));
      }
      this->ReceivePeerMessage();
    });
}

void
ControlNode::OnDatagram(const std::string& aBytes)
{
  auto now = BootClock::now();
  Tcp::endpoint sender(this->peerSender.address(), this->peerSender.port());
  this->peerBootstrap.OnPeerContact(now, sender);
  auto message = DecodePeerMessage(aBytes);
  if (!message) {
    return;
  }
  this->OnPeerEra(now, message->era);
  this->configurationSharing.OnAnnouncement(
    now, message->configuration, sender);
  if (!message->crashes.empty() && this->onCrashRecords) {
    this->onCrashRecords(message->crashes);
  }
  for (const auto& reply : this->agent.OnPeerMessage(now, *message)) {
    this->SendPeerMessage(
      reply.address.empty() ? ToString(sender) : reply.address, reply.message);
  }
  // After the orders that the message announces: it confirms these as well.
  this->OnPeerConfirmation(now, *message);
  this->SkipKnownChanges();
  if (this->agent.ZoneEvacuations().Zones() != this->publishedZones) {
    this->RunAgent();
  }
}

void
ControlNode::SendPeerMessage(const std::string& aAddress, PeerMessage aMessage)
{
  auto address = ParseEndpoint(aAddress);
  if (!address) {
    this->log.Write({ "beacon-not-sent", { { "address", aAddress } } });
    return;
  }
  aMessage.configuration = this->configurationRow.version;
  aMessage.configurationAge = this->ConfigurationAge(BootClock::now());
  aMessage.evacuations = this->agent.ZoneEvacuations().Orders();
  auto bytes = Encode(aMessage);
  auto zone = this->zones.Find(this->agent.View(), aAddress);
  if (zone && *zone != this->settings.zone) {
    this->counters.CountZoneDatagram(*zone, aMessage.kind, bytes.size());
  }
  boost::system::error_code ignored; // Lost datagrams are sent again.
  this->peerSocket.send_to(
    asio::buffer(bytes), { address->address(), address->port() }, 0, ignored);
}

void
ControlNode::BeginStop()
{
  this->stopping = true;
}

void
ControlNode::LeaveCluster()
{
  this->agent.LeaveCluster(BootClock::now());
  this->RunAgent();
}

bool
ControlNode::HasNoPendingChange() const
{
  return this->agent.IsIdle();
}

} // namespace fescuetiller
