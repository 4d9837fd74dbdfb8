#include <catch2/catch.hpp>

#include "daemon/controldaemon.h"
#include "standins/storestandin.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time from a heartbeat until requests are served by what it says. Half of the
 * time for which they are served as before after a return of the store. */
constexpr Duration kMaxDelay = milliseconds(1000);

/** A daemon that is a member, and a store that can come back from a copy. */
struct LeavingFixture
{
  asio::io_context context{ 1 };
  EventLog log{ "test", { 0, 0, 0 } };
  StoreStandIn store{ context };
  std::unique_ptr<ControlDaemon> daemon;

  LeavingFixture()
  {
    REQUIRE(this->store.Listen(0));
    this->store.SetConfiguration(ConfigurationText(1, 1));
    this->daemon = std::make_unique<ControlDaemon>(
      this->context, this->log, "near", Loopback(this->store.Port()));
    REQUIRE(this->RunUntil(
      [this] {
        const auto& serving = this->daemon->serving;
        return this->daemon->isMember && !serving.ranges.empty() &&
               serving.ranges[0].grantedUntil > BootClock::now();
      },
      seconds(15)));
  }

  bool RunUntil(const std::function<bool()>& aCondition, Duration aTimeout)
  {
    auto end = BootClock::now() + aTimeout;
    while (!aCondition() && BootClock::now() < end) {
      this->context.run_for(milliseconds(5));
    }
    return aCondition();
  }
};

} // namespace

// Guards against a daemon that acknowledged the announcement and sent its
// server requests as before, while the members joined again in a returned
// store.
SCENARIO("A server that announces its shutdown while the store returns gets no "
         "requests after its drain time",
         "[leaving][storereturn]")
{
  LeavingFixture fixture;
  auto& daemon = *fixture.daemon;
  fixture.store.Copy();
  fixture.store.SetFault("read-only"); // The daemon cannot join again.
  fixture.store.Restore();
  auto era = [&] {
    return daemon.counters.FormatText().find("store-returned");
  };
  REQUIRE(
    fixture.RunUntil([&] { return era() != std::string::npos; }, seconds(15)));
  auto before = daemon.serving;
  REQUIRE_FALSE(before.draining);

  daemon.isDraining = true;
  daemon.SendHeartbeat();
  auto announcedAt = BootClock::now();
  CHECK(fixture.RunUntil([&] { return daemon.serving.draining; }, kMaxDelay));
  CHECK(daemon.serving.sendUntil <=
        announcedAt + kMaxDelay + daemon.serving.drainTime);
  THEN("its keys are served as before until then")
  {
    CHECK(daemon.serving.ranges == before.ranges);
    CHECK(daemon.serving.available);
  }
}

// Guards against a server that waits in vain for the acknowledgement of its
// shutdown, which a restarted daemon has to find in the store.
SCENARIO("A shutdown is acknowledged in time if the store cannot record it",
         "[leaving][shutdowns]")
{
  LeavingFixture fixture;
  for (std::string fault : { "", "read-only", "silent" }) {
    DYNAMIC_SECTION("a store that is " << (fault.empty() ? "well" : fault))
    {
      fixture.store.SetFault(fault);
      std::optional<Time> acknowledgedAt;
      HttpRequest request(
        http::verb::post, "/v1/instances/i-near/deregister", 11);
      request.prepare_payload();
      auto sentAt = BootClock::now();
      Fetch(fixture.daemon->pool,
            fixture.daemon->serverCallAddress,
            std::move(request),
            CallOptions(),
            [&](const Result<HttpResponse>& aResult) {
              if (aResult && aResult->result_int() == 200) {
                acknowledgedAt = BootClock::now();
              }
            });
      // Servers wait for one second.
      CHECK(fixture.RunUntil([&] { return acknowledgedAt.has_value(); },
                             milliseconds(900)));
      CHECK(fixture.daemon->serving.draining);
      CHECK(fixture.daemon->serving.sendUntil <=
            sentAt + milliseconds(900) + fixture.daemon->serving.drainTime);
    }
  }
}
