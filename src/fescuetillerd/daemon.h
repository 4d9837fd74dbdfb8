#pragma once

#include <grpcpp/grpcpp.h>

#include "fescuetillerd/controlloop.h"
#include "fescuetillerd/countingstore.h"
#include "fescuetillerd/drainstate.h"
#include "fescuetillerd/healthmonitor.h"
#include "fescuetillerd/httpserver.h"
#include "fescuetillerd/operatorapi.h"
#include "fescuetillerd/peerservice.h"

namespace fescuetiller {

/** One fescuetillerd process: owns every part and wires them together. */
class Daemon
{
public:
  explicit Daemon(Settings aSettings);
  ~Daemon();

  /** Binds all ports, reaches the platform once, starts all threads. */
  Result<void> Start();

  /** Hands everything over and lets running requests end.
   * @return An error when that took longer than the stop timeout. */
  Result<void> Stop();

private:
  Result<void> ReachPlatform();
  Result<void> StartPeerServer();
  Result<void> BindHttpServers();
  Result<void> WritePortsFile() const;
  void InstallBackendApi();
  void InstallOperatorApi();
  wire::HealthReport Health() const;
  std::vector<RefusedInput> RefusedInputs() const;
  Result<void> RefreshDrain(const std::string& aMember);
  void LearnRows(const std::vector<Row>& aRows);
  OwnershipSettings MakeOwnershipSettings() const;
  std::unique_ptr<TableStore> OpenStore();
  static std::string Address(const std::string& aIp, uint16_t aPort);

  Settings settings;
  ControlSocket socket;
  Inbox inbox;
  ServingTable serving;
  Routes routes;
  Classes classes;
  SlotGate gate;
  BackendLink backend;
  RequestMemory memory;
  PeerClient peers;
  ClassMetrics metrics;
  Executor executor;
  Router router;
  PeerService peerService;
  StoreCounters storeCounters;
  std::atomic<uint64_t> malformedRows{ 0 };
  std::atomic<bool> backendAnnounced{ false };
  std::atomic<bool> drainOutdated{ false };
  DrainState drain;
  HealthMonitor monitor;
  HttpServer callerServer;
  HttpServer backendServer;
  HttpServer operatorServer;
  std::unique_ptr<grpc::Server> peerServer;
  std::unique_ptr<ControlLoop> control;
};

} // namespace fescuetiller
