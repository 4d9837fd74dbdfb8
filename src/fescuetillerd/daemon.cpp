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
constexpr int kPeerIdleThreads = 16;
constexpr size_t kCallerThreads = 128;
constexpr size_t kBackendThreads = 2;
constexpr size_t kOperatorThreads = 4;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnavailable = 503;

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
  , peerService(router,
                memory,
                backend,
                [this](const std::vector<Row>& aRows) {
                  this->inbox.Put(RowsLearned{ aRows });
                })
  , callerServer(kCallerThreads)
  , backendServer(kBackendThreads)
  , operatorServer(kOperatorThreads)
{
}

Daemon::~Daemon() = default;

std::unique_ptr<TableStore>
Daemon::OpenStore() const
{
  return std::make_unique<HttpTableStore>(this->settings.platformAddress,
                                          this->settings.platformTimeout);
}

std::string
Daemon::Address(uint16_t aPort) const
{
  return this->settings.listenIp + ":" + std::to_string(aPort);
}

Result<void>
Daemon::ReachPlatform()
{
  auto read = this->OpenStore()->ReadChanges(kMemberTable, 0);
  if (!read) {
    return tl::unexpected(read.error());
  }
  return {};
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
  builder.AddListeningPort(this->Address(this->settings.peerPort),
                           grpc::InsecureServerCredentials(),
                           &port);
  builder.RegisterService(&this->peerService);
  this->peerServer = builder.BuildAndStart();
  if (!this->peerServer || port == 0) {
    return tl::unexpected(Error{ ErrorCode::Unavailable,
                                 "listen for daemons",
                                 this->Address(this->settings.peerPort),
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
  ownership.controlAddress = this->Address(this->settings.controlPort);
  ownership.peerAddress = this->Address(this->settings.peerPort);
  ownership.callerAddress = this->Address(this->settings.callerPort);
  ownership.operatorAddress = this->Address(this->settings.operatorPort);
  ownership.partitions = this->settings.partitions;
  return ownership;
}

Result<void>
Daemon::Start()
{
  auto reached = this->ReachPlatform();
  if (!reached) {
    return reached;
  }
  auto control =
    this->socket.Open(this->settings.listenIp, this->settings.controlPort);
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
  this->callerServer.Handlers().set_payload_max_length(
    this->settings.maxBodyBytes);
  this->InstallBackendApi();
  this->InstallOperatorApi();
  std::pair<HttpServer*, uint16_t*> servers[] = {
    { &this->callerServer, &this->settings.callerPort },
    { &this->backendServer, &this->settings.backendPort },
    { &this->operatorServer, &this->settings.operatorPort },
  };
  for (auto [server, port] : servers) {
    auto bound = server->Start(this->settings.listenIp, *port);
    if (!bound) {
      return tl::unexpected(bound.error());
    }
    *port = *bound;
  }
  ControlParts parts{
    this->socket,  this->inbox,   this->serving,
    this->routes,  this->classes, this->gate,
    this->backend, this->peers,   [this] { return this->OpenStore(); }
  };
  this->control = std::make_unique<ControlLoop>(
    this->MakeOwnershipSettings(), RendezvousPlacement, std::move(parts));
  this->control->Start();
  return this->WritePortsFile();
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
      this->backend.Connect(announcement.address(), announcement.connections());
      this->gate.SetSlots(announcement.slots());
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
  auto& handlers = this->operatorServer.Handlers();
  auto drain = [this](bool aDrain) {
    return [this, aDrain](const httplib::Request&, httplib::Response&) {
      this->inbox.Put(DrainRequested{ aDrain });
    };
  };
  handlers.Post("/v1/drain", drain(true));
  handlers.Post("/v1/undrain", drain(false));
  handlers.Get("/v1/status",
               [this](const httplib::Request&, httplib::Response& aResponse) {
                 aResponse.set_content(this->StatusText(), "text/plain");
               });
  handlers.Get(
    "/metrics", [this](const httplib::Request&, httplib::Response& aResponse) {
      aResponse.set_content(this->MetricsText(), "text/plain; version=0.0.4");
    });
  handlers.Get(
    "/healthz", [this](const httplib::Request&, httplib::Response& aResponse) {
      ControlStatus status = this->control->Status();
      bool leaseHeld = BootClock::now() < status.serving.leaseUntil;
      bool healthy = leaseHeld && status.backendHealthy;
      aResponse.status = healthy ? 200 : kStatusUnavailable;
      aResponse.set_content(healthy ? "ok\n" : "not serving\n", "text/plain");
    });
}

std::string
Daemon::StatusText() const
{
  ControlStatus status = this->control->Status();
  Time now = BootClock::now();
  std::ostringstream text;
  text << "name " << this->settings.name << "\n"
       << "incarnation " << ToHex(status.serving.incarnation) << "\n"
       << "lease_ms " << ToMilliseconds(status.serving.leaseUntil - now) << "\n"
       << "partitions " << status.serving.partitions.size() << "\n"
       << "running " << this->serving.Running() << "\n"
       << "store " << (status.storeReachable ? "reachable" : "unreachable")
       << "\n"
       << "backend " << (status.backendHealthy ? "healthy" : "lost") << "\n";
  for (const auto& member : status.members) {
    if (member.state != MemberState::Ended) {
      text << "member " << ToHex(member.incarnation) << " " << member.name
           << " " << member.service << " " << member.zone << "\n";
    }
  }
  return text.str();
}

std::string
Daemon::MetricsText() const
{
  ControlStatus status = this->control->Status();
  std::ostringstream text;
  text << this->metrics.Text() << "# TYPE fescuetiller_partitions gauge\n"
       << "fescuetiller_partitions " << status.serving.partitions.size() << "\n"
       << "# TYPE fescuetiller_takeovers_total counter\n"
       << "fescuetiller_takeovers_total " << status.counters.takeovers << "\n"
       << "# TYPE fescuetiller_moves_out_total counter\n"
       << "fescuetiller_moves_out_total " << status.counters.movesOut << "\n"
       << "# TYPE fescuetiller_gossip_bytes_sent_total counter\n"
       << "fescuetiller_gossip_bytes_sent_total " << status.gossip.bytesSent
       << "\n"
       << "# TYPE fescuetiller_claims_total counter\n"
       << "fescuetiller_claims_total " << status.counters.claims << "\n";
  return text.str();
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
