#pragma once

#include <catch2/catch.hpp>

#include "daemon/controldaemon.h"
#include "standins/slowlink.h"
#include "standins/storestandin.h"

namespace fescuetiller {

/** A store, and daemons that reach it directly or over a slow link. */
struct SlowLinkFixture
{
  asio::io_context context{ 1 };
  EventLog log{ "test", { 0, 0, 0 } };
  StoreStandIn store{ context };
  std::unique_ptr<SlowLink> link;
  std::unique_ptr<ControlDaemon> near;
  std::unique_ptr<ControlDaemon> far;

  SlowLinkFixture()
  {
    REQUIRE(this->store.Listen(0));
    this->link =
      std::make_unique<SlowLink>(this->context, Loopback(this->store.Port()));
    REQUIRE(this->link->Listen());
  }

  void StartNear()
  {
    this->near = std::make_unique<ControlDaemon>(
      this->context, this->log, "near", Loopback(this->store.Port()));
  }

  void StartFar()
  {
    this->far = std::make_unique<ControlDaemon>(
      this->context, this->log, "far", this->link->Address());
  }

  bool RunUntil(const std::function<bool()>& aCondition,
                Duration aTimeout = std::chrono::seconds(15))
  {
    auto end = std::chrono::steady_clock::now() + aTimeout;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      this->context.run_for(std::chrono::milliseconds(20));
    }
    return aCondition();
  }
};

} // namespace fescuetiller
