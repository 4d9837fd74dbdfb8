#include "fescuetillerd/daemon.h"

#include <fstream>
#include <sstream>
#include <thread>

#include <glog/logging.h>
#include <httplib.h>

#include "fescuetillerd/callerapi.h"

namespace fescuetiller {

namespace {

constexpr size_t kMaxPeerChannels = 64;
constexpr size_t kMaxSmallBody = 65536;
constexpr int kPeerIdleThreads = 16;
constexpr size_t kBackendThreads = 2;
constexpr size_t kOperatorThreads = 4;
constexpr int kStatusBadRequest = 400;

} // namespace

Daemon::Daemon(Settings aSettings)
  : settings(std::move(aSettings))
  , gate(1)
  , memory(RequestTableLimits())
  , peers(kMaxPeerChannels, memory)
  , executor(serving, gate, backend, routes, memory)
  , router(settings.partitions,
           routes,
           classes,
           executor,
           memory,
           peers,
           metrics)
  , peerService(
      router,
      memory,
      backend,
      [this](const std::vector<Row>& aRows) { this->LearnRows(aRows); })
  , drain(settings.name,
          [this](bool aDrain) { this->inbox.Put(DrainRequested{ aDrain }); })
  , monitor(
      settings.name,
      [this] { return this->Health(); },
      [this] {
        if (this->drainOutdated) {
          this->RefreshDrain(this->settings.name);
        }
      })
  , callerServer(settings.limits.callerThreads)
  , backendServer(kBackendThreads)
  , operatorServer(kOperatorThreads)
{
}

Daemon::~Daemon() = default;

std::unique_ptr<TableStore>
Daemon::OpenStore()
{
  auto store = std::make_unique<HttpTableStore>(this->settings.platformAddress,
                                                this->settings.platformTimeout);
  return std::make_unique<CountingStore>(std::move(store), this->storeCounters);
}

std::string
Daemon::Address(const std::string& aIp, uint16_t aPort)
{
  return aIp + ":" + std::to_string(aPort);
}

Result<void>
Daemon::ReachPlatform()
{
  return this->RefreshDrain(this->settings.name);
}

Result<void>
Daemon::StartPeerServer()
{
  int port = 0;
  grpc::ServerBuilder builder;
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  // Other daemons ping while a call is open.
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
  builder.SetMaxReceiveMessageSize(kMaxPeerMessageBytes);
  // The default keeps two idle threads and starts one for most requests.
  builder.SetSyncServerOption(
    grpc::ServerBuilder::SyncServerOption::MAX_POLLERS, kPeerIdleThreads);
  builder.AddListeningPort(
    Address(this->settings.peerIp, this->settings.peerPort),
    grpc::InsecureServerCredentials(),
    &port);
  builder.RegisterService(&this->peerService);
  this->peerServer = builder.BuildAndStart();
  if (!this->peerServer || port == 0) {
    return tl::unexpected(
      Error{ ErrorCode::Unavailable,
             "listen for daemons",
             Address(this->settings.peerIp, this->settings.peerPort),
             "the port is taken or not allowed" });
  }
  this->settings.peerPort = static_cast<uint16_t>(port);
  return {};
}

OwnershipSettings
Daemon::MakeOwnershipSettings() const
{
  OwnershipSettings ownership;
  ownership.name = this->settings.name;
  ownership.zone = this->settings.zone;
  ownership.controlAddress =
    Address(this->settings.peerIp, this->settings.controlPort);
  ownership.peerAddress =
    Address(this->settings.peerIp, this->settings.peerPort);
  ownership.callerAddress =
    Address(this->settings.listenIp, this->settings.callerPort);
  ownership.operatorAddress =
    Address(this->settings.operatorIp, this->settings.operatorPort);
  ownership.partitions = this->settings.partitions;
  ownership.lease = this->settings.lease;
  return ownership;
}

Result<void>
Daemon::Start()
{
  auto reached = this->ReachPlatform();
  if (!reached && this->settings.seeds.empty()) {
    return reached;
  }
  LOG_IF(WARNING, !reached) << (reached ? Error() : reached.error())
                            << "; learning from the seeds until it answers";
  auto control =
    this->socket.Open(this->settings.peerIp, this->settings.controlPort);
  if (!control) {
    return tl::unexpected(control.error());
  }
  this->settings.controlPort = *control;
  auto peer = this->StartPeerServer();
  if (!peer) {
    return peer;
  }
  InstallCallerApi(this->callerServer.Handlers(),
                   this->router,
                   this->settings.defaultDeadline);
  this->InstallBackendApi();
  this->InstallOperatorApi();
  auto bound = this->BindHttpServers();
  if (!bound) {
    return bound;
  }
  ControlParts parts{ this->socket,
                      this->inbox,
                      this->serving,
                      this->routes,
                      this->classes,
                      this->gate,
                      this->backend,
                      this->peers,
                      [this] { return this->OpenStore(); },
                      this->settings.seeds,
                      [this](const std::vector<Row>& aRows) {
                        this->drain.Apply(aRows);
                      } };
  PlacementSettings placement;
  placement.goal = this->settings.weighMost;
  this->control = std::make_unique<ControlLoop>(
    this->MakeOwnershipSettings(), MakePlacement(placement), std::move(parts));
  this->control->Start();
  // Their handlers use the control loop, so they answer only from here on.
  for (auto* server :
       { &this->callerServer, &this->backendServer, &this->operatorServer }) {
    server->Listen();
  }
  this->monitor.Start();
  return this->WritePortsFile();
}

Result<void>
Daemon::BindHttpServers()
{
  struct Listener
  {
    HttpServer& server;
    std::string ip;
    uint16_t& port;
    size_t maxBodyBytes;
  };
  Settings& own = this->settings;
  const Listener kListeners[] = {
    { this->callerServer,
      own.listenIp,
      own.callerPort,
      own.limits.maxBodyBytes },
    { this->backendServer, own.backendIp, own.backendPort, kMaxSmallBody },
    { this->operatorServer, own.operatorIp, own.operatorPort, kMaxSmallBody },
  };
  for (const auto& listener : kListeners) {
    listener.server.Limit(own.limits, listener.maxBodyBytes);
    auto bound = listener.server.Bind(listener.ip, listener.port);
    if (!bound) {
      return tl::unexpected(bound.error());
    }
    listener.port = *bound;
  }
  return {};
}

Result<void>
Daemon::WritePortsFile() const
{
  if (this->settings.portsFile.empty()) {
    return {};
  }
  std::string temporary = this->settings.portsFile + ".new";
  std::ofstream file(temporary);
  file << "caller_port=" << this->settings.callerPort << "\n"
       << "backend_port=" << this->settings.backendPort << "\n"
       << "operator_port=" << this->settings.operatorPort << "\n"
       << "peer_port=" << this->settings.peerPort << "\n"
       << "control_port=" << this->settings.controlPort << "\n";
  file.close();
  bool renamed =
    std::rename(temporary.c_str(), this->settings.portsFile.c_str()) == 0;
  if (!file || !renamed) {
    return tl::unexpected(Error{ ErrorCode::Invalid,
                                 "write ports file",
                                 this->settings.portsFile,
                                 "cannot write" });
  }
  return {};
}

void
Daemon::InstallBackendApi()
{
  this->backendServer.Handlers().Post(
    "/v1/announce",
    [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      wire::Announcement announcement;
      auto parsed = FromJson(aRequest.body, announcement, aRequest.remote_addr);
      bool known = this->settings.partitions.count(announcement.service()) != 0;
      if (!parsed || !known || announcement.slots() == 0) {
        aResponse.status = kStatusBadRequest;
        std::string text =
          parsed ? "unknown service or no slots" : ToString(parsed.error());
        aResponse.set_content(text + "\n", "text/plain");
        return;
      }
      this->backendAnnounced = true;
      this->backend.Connect(announcement.address(),
                            announcement.connections(),
                            announcement.checks_grant());
      this->gate.Announce(announcement.address(), announcement.slots());
      this->inbox.Put(BackendAnnounced{ announcement.service(),
                                        announcement.address(),
                                        announcement.slots(),
                                        announcement.connections(),
                                        announcement.checks_grant() });
    });
}

void
Daemon::InstallOperatorApi()
{
  OperatorParts parts{ this->settings,
                       this->classes,
                       this->serving,
                       this->metrics,
                       this->storeCounters,
                       this->drain,
                       [this] { return this->control->Status(); },
                       [this] { return this->Health(); },
                       [this] { return this->monitor.Unavailable(); },
                       [this] { return this->RefusedInputs(); },
                       [this](const std::string& aMember) {
                         return this->RefreshDrain(aMember);
                       } };
  fescuetiller::InstallOperatorApi(this->operatorServer.Handlers(), parts);
}

wire::HealthReport
Daemon::Health() const
{
  ControlStatus status = this->control->Summary();
  HealthInputs inputs;
  inputs.leaseLeft = status.serving.incarnation == kNoIncarnation
                       ? Duration(0)
                       : status.serving.leaseUntil - BootClock::now();
  inputs.backendAnnounced = this->backendAnnounced;
  inputs.backendHealthy = status.backendHealthy;
  inputs.storeReachable = status.storeReachable;
  inputs.drained = this->drain.Current().drain;
  inputs.partitions = status.serving.partitions.size();
  return JudgeHealth(inputs);
}

std::vector<RefusedInput>
Daemon::RefusedInputs() const
{
  return { { "caller http", this->callerServer.Refused() },
           { "backend http", this->backendServer.Refused() },
           { "operator http", this->operatorServer.Refused() },
           { "control datagram", this->socket.Malformed() },
           { "peer row", this->malformedRows } };
}

Result<void>
Daemon::RefreshDrain(const std::string& aMember)
{
  auto read = this->OpenStore()->ReadRows({ DrainKey(aMember) });
  if (aMember == this->settings.name) {
    this->drainOutdated = !read;
  }
  if (!read) {
    return tl::unexpected(read.error());
  }
  this->drain.Apply(read->rows);
  this->inbox.Put(RowsLearned{ read->rows });
  return {};
}

void
Daemon::LearnRows(const std::vector<Row>& aRows)
{
  for (const auto& row : aRows) {
    bool malformed =
      (row.key.table == kMemberTable && !ParseMember(row)) ||
      (row.key.table == kAssignmentTable && !ParseAssignment(row)) ||
      (row.key.table == kClassTable && !ParseClassTarget(row));
    this->malformedRows += malformed && !row.deleted ? 1 : 0;
  }
  this->inbox.Put(RowsLearned{ aRows });
}

Result<void>
Daemon::Stop()
{
  this->inbox.Put(StopRequested{});
  Time giveUp = BootClock::now() + this->settings.stopTimeout;
  while (!this->control->Stopped() && BootClock::now() < giveUp) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  bool handedOver = this->control->Stopped();
  this->callerServer.Stop();
  this->peerServer->Shutdown();
  this->monitor.Stop();
  this->control->Stop();
  this->backendServer.Stop();
  this->operatorServer.Stop();
  if (!handedOver) {
    return tl::unexpected(Error{ ErrorCode::Expired,
                                 "hand over partitions",
                                 this->settings.name,
                                 "the stop timeout passed first" });
  }
  return {};
}

} // namespace fescuetiller
