#pragma once

#include <memory>
#include <set>
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "fescuetillerd/controlnode.h"
#include "standins/reservedports.h"

namespace fescuetiller {

/** Control plane of one daemon, with the heartbeats of its backend server. */
struct ControlDaemon
{
  ControlDaemon(asio::io_context& aContext,
                EventLog& aLog,
                const std::string& aName,
                const Tcp::endpoint& aStore)
    : name(aName)
    , ports(aContext)
    , pool(aContext)
    , timer(aContext)
  {
    NodeSettings settings;
    settings.name = aName;
    settings.ip = "127.0.0.1";
    settings.zone = aName;
    settings.service = "agenda";
    settings.server = "127.0.0.1:" + std::to_string(aName == "near" ? 1 : 2);
    settings.peerAddress = settings.server;
    settings.serverCallAddress = ToString(this->ports.Reserve());
    settings.readinessAddress = ToString(this->ports.Reserve());
    settings.firstPort = this->ports.Reserve().port();
    settings.storeAddress = ToString(aStore);
    settings.heartbeat = std::chrono::milliseconds(300);
    this->serverCallAddress = *ParseEndpoint(settings.serverCallAddress);
    this->server = settings.server;
    this->node =
      std::make_unique<ControlNode>(aContext, settings, aLog, this->counters);
    this->node->onConfiguration = [this](auto aConfiguration) {
      this->version = aConfiguration->version;
      this->routes = aConfiguration->routes.size();
    };
    this->node->onView = [this](auto aView, auto aSelf) {
      this->members = aView->AllMembers().size();
      this->isMember = !aSelf.empty();
    };
    this->node->onServing = [this](const auto& aServing) {
      this->serving = aServing;
    };
    this->node->onEvacuatedZones = [this](const auto& aZones) {
      this->zones = aZones;
    };
    REQUIRE(this->node->Listen());
    this->SendHeartbeat();
  }

  void SendHeartbeat()
  {
    nlohmann::json body = { { "service", "agenda" },
                            { "address", this->server },
                            { "zone", this->name },
                            { "version", "v1" },
                            { "slots", 4 },
                            { "state",
                              this->isDraining ? "draining" : "ready" },
                            { "seq", ++this->sequence },
                            { "cold", "0ms" },
                            { "holds", nlohmann::json::array() },
                            { "freed", nlohmann::json::array() } };
    HttpRequest request(
      http::verb::post, "/v1/instances/i-" + this->name + "/heartbeat", 11);
    request.body() = body.dump();
    request.prepare_payload();
    Fetch(this->pool,
          this->serverCallAddress,
          std::move(request),
          CallOptions(),
          [](const Result<HttpResponse>&) {});
    this->timer.expires_after(std::chrono::milliseconds(300));
    this->timer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        this->SendHeartbeat();
      }
    });
  }

  std::string name;
  std::string server;
  Tcp::endpoint serverCallAddress;
  ReservedPorts ports;
  Counters counters;
  ConnectionPool pool;
  asio::steady_timer timer;
  uint64_t sequence = 0;
  std::unique_ptr<ControlNode> node;
  uint64_t version = 0; ///< Configuration in force.
  size_t routes = 0;
  size_t members = 0; ///< Members that the daemon knows.
  bool isMember = false;
  ServingState serving;        ///< What requests are served by.
  std::set<std::string> zones; ///< Under evacuation.
  bool isDraining = false;     ///< Whether the server announces its shutdown.
};

inline std::string
ConfigurationText(uint64_t aVersion, size_t aRoutes)
{
  nlohmann::json routes = nlohmann::json::object();
  for (size_t number = 0; number < aRoutes; ++number) {
    auto name = ToHex(number * 0x9E3779B97F4A7C15U);
    routes["r-" + name] = { { "host", "a.example" },
                            { "prefix", "/" + name + "/" },
                            { "kind", "safe" },
                            { "timeout", "2000ms" },
                            { "target-latency", "600ms" },
                            { "priority", 1 },
                            { "service", "agenda" },
                            { "attempts", 2 } };
  }
  nlohmann::json text = { { "version", "r" + std::to_string(aVersion) },
                          { "routes", routes },
                          { "services",
                            { { "agenda",
                                { { "health-check", "/health" },
                                  { "max-connections", 100 },
                                  { "sharded", true } } } } } };
  return text.dump();
}

} // namespace fescuetiller
