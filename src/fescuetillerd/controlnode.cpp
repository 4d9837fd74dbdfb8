#include "fescuetillerd/controlnode.h"

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Between looks at leases and moves: a small part of the shortest time that
 * they decide about. */
constexpr Duration kTickInterval = milliseconds(100);
/** Waits for changes of the configuration: a silent connection is noticed
 * within the usual time in which a configuration is to be in force. */
constexpr Duration kConfigurationWait = milliseconds(4000);
/** Waits for changes of the cluster; daemons that act on an old view are
 * corrected by the others. */
constexpr Duration kClusterWait = milliseconds(8000);
/** Pauses after a change, so that changes in quick succession share a call.
 * Members tell each other directly what they change in the cluster, so that the
 * pause there grows with their number and the calls do not. */
constexpr Duration kConfigurationPause = milliseconds(40);
constexpr Duration kClusterPausePerMember = milliseconds(50);
constexpr Duration kLongestClusterPause = milliseconds(5000);
/** Two refused connections at least so far apart show that nothing listens. */
constexpr Duration kRefusedAgain = milliseconds(60);
/** Refusals that lie further apart do not belong together. */
constexpr Duration kRefusedForget = milliseconds(1500);
/** Heartbeats of a backend server that fit into a promise at least: one may be
 * late without an end of the server's grants. */
constexpr double kHeartbeatsInPromise = 2.4;
/** A call of a backend server fits into this. */
constexpr uint64_t kServerCallBytes = 1024 * 1024;

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

AgentSettings
ToAgentSettings(const NodeSettings& aSettings)
{
  AgentSettings settings;
  settings.heartbeat = aSettings.heartbeat;
  settings.times.promise =
    std::max<Duration>(settings.times.promise,
                       std::chrono::duration_cast<Duration>(
                         aSettings.heartbeat * kHeartbeatsInPromise));
  settings.longestGrant = aSettings.maxGrantTime;
  settings.drainTime = aSettings.drainTime;
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
  , serverCalls(aContext,
                [this](const std::shared_ptr<Exchange>& aExchange) {
                  this->OnServerCall(aExchange);
                })
  , readyCalls(aContext,
               [this](const std::shared_ptr<Exchange>& aExchange) {
                 this->OnReadyCall(aExchange);
               })
  , metricsCalls(aContext,
                 [this](const std::shared_ptr<Exchange>& aExchange) {
                   this->OnMetricsCall(aExchange);
                 })
  , peerCalls(aContext,
              [this](const std::shared_ptr<Exchange>& aExchange) {
                this->OnPeerCall(aExchange);
              })
  , beacons(aContext)
  , timer(aContext)
  , configurationWatch(
      aContext,
      store,
      aLog,
      ConfigurationKey().table,
      kConfigurationWait,
      { [this](TableWatch::Loaded aLoaded) {
         this->LoadConfiguration(std::move(aLoaded));
       },
        [this](const StoreRows& aRows) { this->OnConfigurationRows(aRows); },
        [](bool) {},
        [] { return kConfigurationPause; } })
  , clusterWatch(
      aContext,
      store,
      aLog,
      kClusterTable,
      kClusterWait,
      { [this](TableWatch::Loaded aLoaded) {
         this->LoadCluster(std::move(aLoaded));
       },
        [this](const StoreRows& aRows) { this->OnClusterRows(aRows); },
        [this](bool aReachable) { this->agent.SetStoreReachable(aReachable); },
        [this] { return this->ClusterPause(); } })
  , learner(
      pool,
      aLog,
      { [this] { return !this->clusterWatch.IsLoaded(); },
        [this](const StoreRows& aRows) { this->OnConfigurationRows(aRows); },
        [this] { return this->Services(); },
        [this](const StoreRows& aRows) { this->OnClusterRows(aRows); } })
{
}

Result<void>
ControlNode::Listen()
{
  SessionLimits limits;
  limits.maxBodyBytes = kServerCallBytes;
  this->serverCalls.SetLimits(limits);
  this->readyCalls.SetLimits(limits);
  this->metricsCalls.SetLimits(limits);
  this->peerCalls.SetLimits(limits);
  auto own = this->settings.ip + ":" + std::to_string(this->settings.firstPort);
  for (auto [server, text] :
       { std::pair(&this->serverCalls, this->settings.serverCallAddress),
         std::pair(&this->readyCalls, this->settings.readinessAddress),
         std::pair(&this->peerCalls, own),
         std::pair(&this->metricsCalls, this->settings.metricsAddress) }) {
    auto listening = server->Listen(text);
    if (!listening) {
      return listening;
    }
  }
  auto beacon = ParseEndpoint(own);
  if (!beacon) {
    return tl::unexpected(beacon.error());
  }
  boost::system::error_code error;
  this->beacons.open(asio::ip::udp::v4(), error);
  if (!error) {
    this->beacons.bind({ beacon->address(), beacon->port() }, error);
  }
  if (error) {
    return tl::unexpected(Error{ ErrorCode::Unavailable,
                                 "listen for lease messages",
                                 ToString(*beacon),
                                 error.message() });
  }
  this->ReceiveBeacon();
  this->configurationWatch.Start();
  this->Tick();
  return {};
}

void
ControlNode::SetSettings(const NodeSettings& aSettings)
{
  this->settings = aSettings;
  this->agent.SetBounds(aSettings.maxGrantTime, aSettings.drainTime);
  this->store.SetAddress(
    ParseEndpoint(aSettings.storeAddress).value_or(Tcp::endpoint()));
}

void
ControlNode::Tick()
{
  auto now = BootClock::now();
  this->pool.CloseExpired(now);
  for (auto* server : { &this->serverCalls,
                        &this->readyCalls,
                        &this->metricsCalls,
                        &this->peerCalls }) {
    server->CloseTimedOut(now);
  }
  this->Advance();
  this->log.Flush();
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->Tick();
    }
  });
}

/** Lets the agent decide, and carries its decisions out. */
void
ControlNode::Advance()
{
  auto now = BootClock::now();
  auto output = this->agent.Tick(now);
  for (const auto& beacon : output.messages) {
    this->SendBeacon(beacon.address, beacon.message);
  }
  for (const auto& key : output.leaseReads) {
    this->ReadLease(key);
  }
  if (auto change = this->agent.Transactions().Next(now)) {
    this->store.Transact(*change, [this](Result<StoreOutcome> aOutcome) {
      if (!aOutcome) {
        this->log.Write({ "store-call-failed",
                          { { "call", "change" },
                            { "error", ToString(aOutcome.error()) } } });
      }
      this->agent.Transactions().OnResponse(BootClock::now(), aOutcome);
      this->Advance();
    });
  }
  this->WriteEvents();
  this->Publish();
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
  auto serving = this->agent.ServingStateAt(BootClock::now());
  const auto& view = this->agent.View();
  if (view.ChangeCount() != this->publishedChanges ||
      serving.member != this->publishedSelf) {
    this->publishedChanges = view.ChangeCount();
    this->publishedSelf = serving.member;
    this->onView(std::make_shared<ClusterView>(view), serving.member);
  }
  if (!(serving == this->publishedServing)) {
    this->publishedServing = serving;
    this->onServing(serving);
  }
}

void
ControlNode::OnReport(TrafficReport aReport)
{
  this->counters.SetGauge("fescuetiller_offered_load", aReport.load);
  this->counters.SetGauge("fescuetiller_server_connections",
                          static_cast<double>(aReport.serverConnections));
  this->counters.SetGauge("fescuetiller_log_lines_dropped",
                          static_cast<double>(this->log.DroppedLines()));
  this->counters.SetGauge("fescuetiller_store_calls",
                          static_cast<double>(this->store.calls));
  this->agent.SetLoads(std::move(aReport.keyWeights),
                       std::move(aReport.peerLoads));
}

void
ControlNode::OnServerRefused()
{
  auto now = BootClock::now();
  bool again = this->refusedAt != Time() &&
               now - this->refusedAt >= kRefusedAgain &&
               now - this->refusedAt <= kRefusedForget;
  if (again) {
    this->agent.OnConnectionRefused(now);
    this->refusedAt = Time();
    this->Advance();
  } else if (this->refusedAt == Time() ||
             now - this->refusedAt > kRefusedForget) {
    this->refusedAt = now;
  }
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
    aExchange->Respond(TextResponse(200, ""));
    this->Advance();
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
  aExchange->Respond(JsonResponse(200, EncodeHeartbeatReply(reply)));
  this->Advance();
}

/** Answers a read of the store with what is known here. */
void
ControlNode::OnPeerCall(const std::shared_ptr<Exchange>& aExchange)
{
  const auto& request = aExchange->request;
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
ControlNode::OnReadyCall(const std::shared_ptr<Exchange>& aExchange)
{
  bool knows = this->clusterWatch.IsLoaded() || this->learner.HasLoaded();
  bool ready = !this->stopping && this->configuration != nullptr && knows &&
               aExchange->request.target() == headers::kReadinessPath;
  aExchange->Respond(
    TextResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
}

void
ControlNode::OnMetricsCall(const std::shared_ptr<Exchange>& aExchange)
{
  bool known = aExchange->request.target() == "/metrics";
  aExchange->Respond(TextResponse(known ? 200 : 404,
                                  known ? this->counters.FormatText()
                                        : "only /metrics is here\n"));
}

void
ControlNode::LoadConfiguration(TableWatch::Loaded aLoaded)
{
  this->store.ReadFrom(
    ConfigurationKey(),
    [this, loaded = std::move(aLoaded)](Result<StoreRows> aRows) {
      if (!aRows) {
        loaded(tl::unexpected(aRows.error()));
        return;
      }
      this->OnConfigurationRows(*aRows);
      loaded(aRows->version);
    });
}

void
ControlNode::OnConfigurationRows(const StoreRows& aRows)
{
  for (const auto& row : aRows.rows) {
    if (row.key == ConfigurationKey() && !row.removed) {
      this->TakeConfiguration(row);
    }
  }
}

void
ControlNode::TakeConfiguration(const StoreRow& aRow)
{
  auto parsed = ParseConfiguration(aRow.value);
  if (!parsed) {
    this->log.Write({ "configuration-refused",
                      { { "row_version", std::to_string(aRow.version) },
                        { "reason", ToString(parsed.error()) } } });
    return;
  }
  if (this->configuration != nullptr &&
      parsed->version <= this->configuration->version) {
    return;
  }
  bool first = this->configuration == nullptr;
  this->log.Write(
    { "configuration-taken",
      { { "version", std::to_string(parsed->version) },
        { "before", first ? "" : std::to_string(this->configuration->version) },
        { "routes", std::to_string(parsed->routes.size()) } } });
  this->configuration = std::make_shared<Configuration>(std::move(*parsed));
  this->configurationRow = aRow;
  const auto* own = this->configuration->FindService(this->settings.service);
  this->agent.SetOwnsKeys(own != nullptr && own->ownsKeys);
  this->onConfiguration(this->configuration);
  if (first) {
    this->clusterWatch.Start();
  }
}

/** Reads the services' parts; changes are then followed from the first one's
 * version on. */
void
ControlNode::LoadCluster(TableWatch::Loaded aLoaded)
{
  this->store.ReadParts(
    kClusterTable,
    this->Services(),
    [this](const std::string& aService, const StoreRows& aRows) {
      this->agent.OnRows(BootClock::now(), aService, aRows);
    },
    std::move(aLoaded));
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
  this->Advance();
}

Duration
ControlNode::ClusterPause() const
{
  auto members = static_cast<int>(this->agent.View().AllMembers().size());
  return std::min<Duration>(kClusterPausePerMember * members,
                            kLongestClusterPause);
}

void
ControlNode::ReadLease(const StoreKey& aKey)
{
  this->store.ReadFrom(aKey, [this, aKey](Result<StoreRows> aRows) {
    if (!aRows) {
      this->log.Write(
        { "store-call-failed",
          { { "call", "read lease" }, { "error", ToString(aRows.error()) } } });
      return;
    }
    const auto* row = FindRow(*aRows, aKey);
    this->agent.OnLongLeaseRead(
      BootClock::now(), aKey.key, row == nullptr ? 0 : row->version);
  });
}

void
ControlNode::ReceiveBeacon()
{
  this->beacons.async_receive_from(
    asio::buffer(this->beaconBuffer),
    this->beaconSender,
    [this](boost::system::error_code aError, size_t aSize) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        this->OnDatagram(std::string(this->beaconBuffer.data(), aSize));
      }
      this->ReceiveBeacon();
    });
}

void
ControlNode::OnDatagram(const std::string& aBytes)
{
  auto now = BootClock::now();
  Tcp::endpoint sender(this->beaconSender.address(), this->beaconSender.port());
  this->learner.OnPeerContact(now, sender);
  auto message = DecodePeerMessage(aBytes);
  if (!message) {
    return;
  }
  for (const auto& reply : this->agent.OnPeerMessage(now, *message)) {
    this->SendBeacon(ToString(sender), reply.message);
  }
}

void
ControlNode::SendBeacon(const std::string& aAddress,
                        const PeerMessage& aMessage)
{
  auto address = ParseEndpoint(aAddress);
  if (!address) {
    this->log.Write({ "beacon-not-sent", { { "address", aAddress } } });
    return;
  }
  boost::system::error_code ignored; // A lost datagram is sent again.
  this->beacons.send_to(asio::buffer(Encode(aMessage)),
                        { address->address(), address->port() },
                        0,
                        ignored);
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
  this->Advance();
}

bool
ControlNode::Settled() const
{
  return this->agent.IsIdle();
}

} // namespace fescuetiller
