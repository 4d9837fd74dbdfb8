#include <catch2/catch.hpp>

#include "daemon/slowlinkfixture.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The daemon near is in zone "near", far in zone "far". */
struct ZonesFixture : SlowLinkFixture
{
  ZonesFixture() { this->store.SetConfiguration(ConfigurationText(1, 2)); }

  void StartNear()
  {
    SlowLinkFixture::StartNear();
    REQUIRE(this->RunUntil([this] { return this->near->isMember; }));
  }

  void StartFar()
  {
    SlowLinkFixture::StartFar();
    REQUIRE(this->RunUntil([this] { return this->far->isMember; }));
  }
};

bool
IsEvacuated(const ControlDaemon& aDaemon)
{
  return aDaemon.serving.evacuatedFrom != Time::max();
}

} // namespace

SCENARIO("A daemon obeys the orders to evacuate zones", "[evacuations]")
{
  // Guards against orders that are in the store, and are not read from there or
  // not passed on to the request path.
  ZonesFixture fixture;

  GIVEN("a daemon that runs")
  {
    fixture.StartNear();
    REQUIRE_FALSE(IsEvacuated(*fixture.near));
    WHEN("another zone is evacuated")
    {
      fixture.store.SetEvacuated("other", true);
      CHECK(fixture.RunUntil([&] { return !fixture.near->zones.empty(); }));
      CHECK(fixture.near->zones == std::set<std::string>{ "other" });
      CHECK_FALSE(IsEvacuated(*fixture.near));
    }
    WHEN("its zone is evacuated, together with an invalid configuration")
    {
      auto now = BootClock::now();
      fixture.store.SetEvacuated("near", true);
      fixture.store.SetConfiguration("invalid");
      REQUIRE(fixture.RunUntil([&] { return IsEvacuated(*fixture.near); }));
      CHECK(fixture.near->serving.evacuatedFrom <= now + seconds(4));
      CHECK(fixture.near->serving.coldUntil == Time::max());
      AND_WHEN("the order is withdrawn")
      {
        fixture.store.SetEvacuated("near", false);
        REQUIRE(fixture.RunUntil([&] { return !IsEvacuated(*fixture.near); }));
        CHECK(fixture.near->zones.empty());
        CHECK(fixture.RunUntil(
          [&] { return fixture.near->serving.coldUntil != Time::max(); },
          seconds(2)));
      }
    }
    WHEN("its zone is evacuated, and the store returns from an older copy")
    {
      fixture.store.Copy();
      fixture.store.SetEvacuated("near", true);
      REQUIRE(fixture.RunUntil([&] { return IsEvacuated(*fixture.near); }));
      fixture.store.Restore();
      fixture.context.run_for(seconds(3));
      CHECK(IsEvacuated(*fixture.near));
      THEN("the order goes on if it is written again")
      {
        fixture.store.SetEvacuated("near", true);
        fixture.context.run_for(seconds(4));
        CHECK(IsEvacuated(*fixture.near));
      }
      THEN("it ends otherwise")
      {
        CHECK(fixture.RunUntil([&] { return !IsEvacuated(*fixture.near); },
                               seconds(5)));
      }
    }
  }
  GIVEN("a daemon that starts when its zone is evacuated")
  {
    fixture.store.SetEvacuated("near", true);
    fixture.StartNear();
    CHECK(fixture.near->serving.evacuatedFrom < BootClock::now());
    CHECK(fixture.near->serving.knowsEvacuations);
  }
  GIVEN("a daemon that cannot reach the store any more")
  {
    fixture.StartNear();
    fixture.StartFar();
    REQUIRE(fixture.RunUntil(
      [&] { return fixture.near->members == 2 && fixture.far->members == 2; }));
    fixture.context.run_for(seconds(1));
    fixture.link->SetBytesPerSecond(1);
    fixture.link->SilenceConnections();
    fixture.store.SetEvacuated("far", true);
    THEN("it learns the order from the other daemon")
    {
      CHECK(fixture.RunUntil([&] { return IsEvacuated(*fixture.far); },
                             seconds(2)));
      CHECK(fixture.near->zones == std::set<std::string>{ "far" });
    }
  }
}
