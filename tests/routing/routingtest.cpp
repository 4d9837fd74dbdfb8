#include <catch2/catch.hpp>

#include "routing/routing.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(seconds(100));

Route
RouteOf(const std::string& aName,
        const std::string& aHost,
        const std::string& aPrefix)
{
  Route route;
  route.name = aName;
  route.host = aHost;
  route.prefix = aPrefix;
  route.destinations = { { "agenda", 1 } };
  return route;
}

} // namespace

SCENARIO("The longest prefix of the host's routes takes a request", "[routing]")
{
  auto configuration = std::make_shared<Configuration>();
  for (const auto& route : { RouteOf("all", "a.example", "/"),
                             RouteOf("visits", "a.example", "/visits/"),
                             RouteOf("old", "a.example", "/visits/old/"),
                             RouteOf("other", "b.example", "/visits/") }) {
    configuration->routes[route.name] = route;
  }
  RouteTable table(configuration);
  auto name = [&](const char* aHost, const char* aTarget) -> std::string {
    const auto* route = table.Find(aHost, aTarget);
    return route == nullptr ? "" : route->name;
  };

  CHECK(name("a.example", "/visits/1") == "visits");
  CHECK(name("a.example", "/visits/old/1?page=2") == "old");
  CHECK(name("a.example", "/visits") == "all");
  CHECK(name("a.example", "/x") == "all");
  CHECK(name("b.example", "/visits/old/1") == "other");
  CHECK(name("b.example", "/x") == "");
  CHECK(name("c.example", "/visits/1") == "");
  CHECK(name("A.Example:8080", "/visits/1") == "visits");
  CHECK(name("a.example", "/x?next=/visits/old/") == "all");
  CHECK(name("a.example", "") == "");
}

SCENARIO("A route's services get their weights", "[routing]")
{
  DestinationPicker picker;
  Route route = RouteOf("split", "a.example", "/");

  GIVEN("weights of 90 and 10")
  {
    route.destinations = { { "agenda", 90 }, { "dossier", 10 } };
    THEN("any hundred requests are divided so")
    {
      for (int round = 0; round < 3; ++round) {
        int second = 0;
        for (int count = 0; count < 100; ++count) {
          second += picker.Pick(route) == "dossier" ? 1 : 0;
        }
        CHECK(second == 10);
      }
    }
  }
  GIVEN("a weight of 0")
  {
    route.destinations = { { "agenda", 0 }, { "dossier", 1 } };
    THEN("that service gets nothing")
    {
      for (int count = 0; count < 20; ++count) {
        CHECK(picker.Pick(route) == "dossier");
      }
    }
  }
  GIVEN("only weights of 0")
  {
    route.destinations = { { "agenda", 0 }, { "dossier", 0 } };
    THEN("there is no destination")
    {
      CHECK(picker.Pick(route).empty());
    }
  }
}

SCENARIO("A failing daemon is left alone but for one request at a time",
         "[peers]")
{
  PeerTable peers;
  std::vector<PeerCandidate> candidates{ { "a", "here" }, { "b", "here" } };
  PeerCriteria criteria;
  criteria.ownZone = "here";

  GIVEN("a peer that failed")
  {
    peers.OnFailure(kStart, "a");
    THEN("nothing is sent to it for a while")
    {
      CHECK_FALSE(peers.AllowRequest(kStart + milliseconds(100), "a"));
      CHECK(peers.Pick(kStart + milliseconds(100), candidates, criteria) ==
            "b");
    }
    THEN("then one request finds out, and the others wait for it")
    {
      auto later = kStart + milliseconds(250);
      CHECK(peers.AllowRequest(later, "a"));
      CHECK_FALSE(peers.AllowRequest(later + milliseconds(10), "a"));
    }
    WHEN("it fails again and again")
    {
      auto now = kStart;
      for (int count = 0; count < 8; ++count) {
        now += seconds(3);
        peers.AllowRequest(now, "a");
        peers.OnFailure(now + milliseconds(250), "a");
      }
      THEN("the pauses stay short enough to notice its return")
      {
        CHECK(peers.AllowRequest(now + seconds(3), "a"));
      }
    }
    WHEN("it answers")
    {
      peers.OnReport(kStart + milliseconds(300), "a", 0.1, Duration(0), {});
      THEN("it is used as before")
      {
        CHECK(peers.AllowRequest(kStart + milliseconds(301), "a"));
        CHECK(peers.AllowRequest(kStart + milliseconds(302), "a"));
      }
    }
  }
}

SCENARIO("The daemon with the shortest expected time is chosen", "[peers]")
{
  PeerTable peers;
  std::vector<PeerCandidate> candidates{ { "near", "here" },
                                         { "far", "there" } };
  PeerCriteria criteria;
  criteria.ownZone = "here";
  criteria.zonePreference = milliseconds(60);

  GIVEN("equal times")
  {
    peers.OnReport(kStart, "near", 0.5, milliseconds(50), {});
    peers.OnReport(kStart, "far", 0.5, milliseconds(50), {});
    THEN("the own zone is preferred")
    {
      CHECK(peers.Pick(kStart, candidates, criteria) == "near");
    }
    WHEN("it was tried")
    {
      criteria.tried = { "near" };
      THEN("the other one is next")
      {
        CHECK(peers.Pick(kStart, candidates, criteria) == "far");
      }
    }
  }
  GIVEN("a near peer whose answers take long on their way")
  {
    // Found on a grown deployment: daemons on a tenth of a core or a slow link
    // got as much as others, and half of the calls through them came too late.
    peers.OnReport(kStart, "near", 0.5, milliseconds(50), {});
    peers.OnReport(kStart, "far", 0.5, milliseconds(50), {});
    for (int count = 0; count < 5; ++count) {
      peers.OnOverhead(kStart, "near", milliseconds(200));
      peers.OnOverhead(kStart, "far", milliseconds(5));
    }
    THEN("the other one is chosen")
    {
      CHECK(peers.Pick(kStart, candidates, criteria) == "far");
    }
    THEN("it is tried again once that is forgotten")
    {
      auto later = kStart + seconds(6);
      peers.OnReport(later, "near", 0.5, milliseconds(50), {});
      peers.OnReport(later, "far", 0.5, milliseconds(50), {});
      CHECK(peers.Pick(later, candidates, criteria) == "near");
    }
  }
  GIVEN("a near peer for which clients waited in vain")
  {
    peers.OnReport(kStart, "near", 0.5, milliseconds(50), {});
    peers.OnReport(kStart, "far", 0.5, milliseconds(50), {});
    peers.OnClientDisconnect(kStart, "near", milliseconds(300));
    THEN("the other one is chosen")
    {
      CHECK(peers.Pick(kStart, candidates, criteria) == "far");
    }
  }
  GIVEN("a client that left soon")
  {
    peers.OnOverhead(kStart, "near", milliseconds(20));
    peers.OnClientDisconnect(kStart, "near", milliseconds(1));
    THEN("nothing is known by that")
    {
      CHECK(peers.Pick(kStart, candidates, criteria) == "near");
    }
  }
  GIVEN("a queue in the own zone that outweighs the preference")
  {
    peers.OnReport(kStart, "near", 1.5, milliseconds(300), {});
    peers.OnReport(kStart, "far", 0.2, milliseconds(50), {});
    THEN("the other zone is chosen")
    {
      CHECK(peers.Pick(kStart, candidates, criteria) == "far");
    }
    THEN("an old report does not count")
    {
      CHECK(peers.Pick(kStart + seconds(10), candidates, criteria) == "near");
    }
  }
  GIVEN("everyone tried")
  {
    criteria.tried = { "near", "far" };
    THEN("nobody is chosen")
    {
      CHECK(peers.Pick(kStart, candidates, criteria).empty());
    }
  }
}

TEST_CASE("Retries are bounded to a share of the requests", "[routing]")
{
  constexpr double kShare = 0.25;
  constexpr double kSaved = 2;
  RetryBudget budget(kShare, kSaved);

  SECTION("what was saved up at the start is used once")
  {
    CHECK(budget.TryAcquireRetry());
    CHECK(budget.TryAcquireRetry());
    CHECK_FALSE(budget.TryAcquireRetry());
    for (int request = 0; request < 4; ++request) {
      budget.CountRequest();
    }
    CHECK(budget.TryAcquireRetry());
    CHECK_FALSE(budget.TryAcquireRetry());
  }
  SECTION("no more is saved up than allowed")
  {
    for (int request = 0; request < 1000; ++request) {
      budget.CountRequest();
    }
    int taken = 0;
    while (budget.TryAcquireRetry()) {
      ++taken;
    }
    CHECK(taken == kSaved);
  }
}
