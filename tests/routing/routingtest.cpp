#include <catch2/catch.hpp>

#include "routing/routing.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(seconds(100));
constexpr const char* kClass = "lookup";

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

SCENARIO("A request takes its host's route with the longest matching prefix",
         "[routing]")
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

SCENARIO("A route's requests are divided among its services by weight",
         "[routing]")
{
  DestinationPicker picker;
  Route route = RouteOf("split", "a.example", "/");

  GIVEN("weights of 90 and 10")
  {
    route.destinations = { { "agenda", 90 }, { "dossier", 10 } };
    THEN("every hundred requests are divided accordingly")
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
    THEN("that service gets no requests")
    {
      for (int count = 0; count < 20; ++count) {
        CHECK(picker.Pick(route) == "dossier");
      }
    }
  }
  GIVEN("only weights of 0")
  {
    route.destinations = { { "agenda", 0 }, { "dossier", 0 } };
    THEN("no service is picked")
    {
      CHECK(picker.Pick(route).empty());
    }
  }
}

SCENARIO("A failing daemon gets only one request at a time, as a probe",
         "[peers]")
{
  PeerTable peers;
  std::vector<PeerCandidate> candidates{ { "a", "here" }, { "b", "here" } };
  PeerCriteria criteria;
  criteria.ownZone = "here";
  criteria.requestClass = kClass;

  GIVEN("a peer that failed")
  {
    peers.OnFailure(kStart, "a");
    THEN("no requests are sent to it during a pause")
    {
      CHECK_FALSE(peers.AllowRequest(kStart + milliseconds(100), "a"));
      CHECK(peers.Pick(kStart + milliseconds(100), candidates, criteria) ==
            "b");
    }
    THEN("after the pause, one request is allowed until its result is known")
    {
      auto later = kStart + milliseconds(250);
      CHECK(peers.AllowRequest(later, "a"));
      CHECK_FALSE(peers.AllowRequest(later + milliseconds(10), "a"));
    }
    WHEN("it fails repeatedly")
    {
      auto now = kStart;
      for (int count = 0; count < 8; ++count) {
        now += seconds(3);
        peers.AllowRequest(now, "a");
        peers.OnFailure(now + milliseconds(250), "a");
      }
      THEN("the pauses stay short enough to detect its recovery")
      {
        CHECK(peers.AllowRequest(now + seconds(3), "a"));
      }
    }
    WHEN("it responds")
    {
      peers.OnReport(
        kStart + milliseconds(300), "a", kClass, 0.1, Duration(0), {});
      THEN("requests are allowed without a limit again")
      {
        CHECK(peers.AllowRequest(kStart + milliseconds(301), "a"));
        CHECK(peers.AllowRequest(kStart + milliseconds(302), "a"));
      }
    }
  }
}

// Guards against daemons that treat each other as unreachable since the servers
// beside them break off responses.
SCENARIO("The share of requests that a peer wants to be sent is followed",
         "[peers]")
{
  PeerTable peers;

  GIVEN("a peer that refuses most requests of a class")
  {
    peers.OnSendShare(kStart, "a", kClass, 0.2, milliseconds(400));
    THEN("its share holds for this class only")
    {
      CHECK(peers.ShareToSend(kStart, "a", kClass).share == 0.2);
      CHECK(peers.ShareToSend(kStart, "a", "other").share == 1);
      CHECK(peers.ShareToSend(kStart, "b", kClass).share == 1);
    }
    THEN(
      "it ends soon without further responses, since there may be room again")
    {
      CHECK(peers.ShareToSend(kStart + seconds(2), "a", kClass).share == 1);
    }
    AND_WHEN("it answers a request")
    {
      peers.OnSendShare(kStart, "a", kClass, 0.3, Duration(0));
      THEN("refused clients are still told the last known delay")
      {
        auto wanted = peers.ShareToSend(kStart, "a", kClass);
        CHECK(wanted.share == 0.3);
        CHECK(wanted.retryAfter == milliseconds(400));
      }
    }
  }
}

SCENARIO("A daemon is blamed for a request that got no response only if it has "
         "not reported since",
         "[peers]")
{
  PeerTable peers;
  auto sentAt = kStart;
  auto failedAt = kStart + milliseconds(100);
  auto report = [&peers](Time aNow) {
    peers.OnReport(aNow, "a", kClass, 0.5, milliseconds(50), {});
  };
  auto isBlamed = [&](Time aNow) { return !peers.AllowRequest(aNow, "a"); };
  report(kStart - milliseconds(1));

  GIVEN("a response that breaks off behind the daemon's report")
  {
    report(failedAt - milliseconds(1));
    peers.OnUnanswered(failedAt, "a", sentAt);
    THEN("requests are sent to the daemon as before, and not one at a time")
    {
      CHECK_FALSE(isBlamed(failedAt));
      CHECK_FALSE(isBlamed(failedAt));
    }
  }
  GIVEN("a connection that falls silent while others get responses")
  {
    report(sentAt + milliseconds(1));
    peers.OnUnanswered(sentAt + seconds(1), "a", sentAt);
    THEN("the daemon is not blamed")
    {
      CHECK_FALSE(isBlamed(sentAt + seconds(1)));
    }
  }
  GIVEN("a machine that is lost with many requests on their way")
  {
    for (int count = 0; count < 5; ++count) {
      peers.OnUnanswered(
        failedAt + milliseconds(count), "a", sentAt + milliseconds(10 * count));
    }
    THEN("the daemon is blamed")
    {
      CHECK(isBlamed(failedAt + milliseconds(5)));
    }
  }
  GIVEN("a daemon that ends after its last report")
  {
    report(failedAt - milliseconds(1));
    peers.OnUnanswered(failedAt, "a", sentAt);
    WHEN("the next connection to it is refused")
    {
      peers.OnFailure(failedAt + milliseconds(1), "a");
      THEN("it is blamed")
      {
        CHECK(isBlamed(failedAt + milliseconds(2)));
      }
    }
  }
  GIVEN("a daemon that was blamed, and whose server breaks off the response to "
        "the probe")
  {
    peers.OnUnanswered(failedAt, "a", sentAt);
    auto probedAt = failedAt + milliseconds(250);
    REQUIRE_FALSE(isBlamed(probedAt));
    report(probedAt + milliseconds(1));
    peers.OnUnanswered(probedAt + milliseconds(2), "a", probedAt);
    THEN("requests are sent to it without a limit again")
    {
      CHECK_FALSE(isBlamed(probedAt + milliseconds(3)));
      CHECK_FALSE(isBlamed(probedAt + milliseconds(3)));
    }
  }
  GIVEN("a server that breaks off a quarter of its responses")
  {
    constexpr int kRequests = 1000;
    constexpr int kBrokenOffEach = 4;
    int refused = 0;
    for (int count = 0; count < kRequests; ++count) {
      auto now = kStart + milliseconds(10 * count);
      if (isBlamed(now)) {
        ++refused;
        continue;
      }
      report(now + milliseconds(4));
      if (count % kBrokenOffEach == 0) {
        peers.OnUnanswered(now + milliseconds(5), "a", now);
      }
    }
    THEN("no request is refused")
    {
      CHECK(refused == 0);
    }
  }
}

SCENARIO("The daemon with the shortest expected time is picked", "[peers]")
{
  PeerTable peers;
  std::vector<PeerCandidate> candidates{ { "near", "here" },
                                         { "far", "there" } };
  PeerCriteria criteria;
  criteria.ownZone = "here";
  criteria.requestClass = kClass;
  criteria.zonePreference = milliseconds(60);

  GIVEN("a peer that is slow only with the long responses of another class")
  {
    // Guards against short calls that avoid a daemon whose link is full of
    // downloads, which do not delay them.
    for (const auto* member : { "near", "far" }) {
      peers.OnReport(kStart, member, kClass, 0.5, milliseconds(50), {});
      peers.OnOverhead(kStart, member, kClass, milliseconds(5));
    }
    peers.OnReport(kStart, "near", "download", 0.5, milliseconds(900), {});
    peers.OnOverhead(kStart, "near", "download", milliseconds(400));
    THEN("it is still picked for this one")
    {
      CHECK(peers.Pick(kStart, candidates, criteria) == "near");
      criteria.requestClass = "download";
      CHECK(peers.Pick(kStart, candidates, criteria) == "far");
    }
  }
  GIVEN("equal expected times")
  {
    peers.OnReport(kStart, "near", kClass, 0.5, milliseconds(50), {});
    peers.OnReport(kStart, "far", kClass, 0.5, milliseconds(50), {});
    THEN("the own zone is preferred")
    {
      CHECK(peers.Pick(kStart, candidates, criteria) == "near");
    }
    WHEN("the near peer was tried")
    {
      criteria.tried = { "near" };
      THEN("the other one is picked")
      {
        CHECK(peers.Pick(kStart, candidates, criteria) == "far");
      }
    }
  }
  GIVEN("a near peer with a high overhead")
  {
    // Without the overhead, daemons on a tenth of a core or behind a slow link
    // get as many requests as others, and half of the calls through them miss
    // their deadline.
    peers.OnReport(kStart, "near", kClass, 0.5, milliseconds(50), {});
    peers.OnReport(kStart, "far", kClass, 0.5, milliseconds(50), {});
    for (int count = 0; count < 5; ++count) {
      peers.OnOverhead(kStart, "near", kClass, milliseconds(200));
      peers.OnOverhead(kStart, "far", kClass, milliseconds(5));
    }
    THEN("the other one is picked")
    {
      CHECK(peers.Pick(kStart, candidates, criteria) == "far");
    }
    THEN("it is picked again when the measured overhead is outdated")
    {
      auto later = kStart + seconds(6);
      peers.OnReport(later, "near", kClass, 0.5, milliseconds(50), {});
      peers.OnReport(later, "far", kClass, 0.5, milliseconds(50), {});
      CHECK(peers.Pick(later, candidates, criteria) == "near");
    }
  }
  GIVEN("a client that disconnected after a long wait for the near peer")
  {
    peers.OnReport(kStart, "near", kClass, 0.5, milliseconds(50), {});
    peers.OnReport(kStart, "far", kClass, 0.5, milliseconds(50), {});
    peers.OnClientDisconnect(kStart, "near", kClass, milliseconds(300));
    THEN("the other one is picked")
    {
      CHECK(peers.Pick(kStart, candidates, criteria) == "far");
    }
  }
  GIVEN("a client that disconnected after a short wait")
  {
    peers.OnOverhead(kStart, "near", kClass, milliseconds(20));
    peers.OnClientDisconnect(kStart, "near", kClass, milliseconds(1));
    THEN("the overhead does not change")
    {
      CHECK(peers.Pick(kStart, candidates, criteria) == "near");
    }
  }
  GIVEN("a longer queue in the own zone than the preference allows for")
  {
    peers.OnReport(kStart, "near", kClass, 1.5, milliseconds(300), {});
    peers.OnReport(kStart, "far", kClass, 0.2, milliseconds(50), {});
    THEN("the peer in the other zone is picked")
    {
      CHECK(peers.Pick(kStart, candidates, criteria) == "far");
    }
    THEN("an outdated report is ignored")
    {
      CHECK(peers.Pick(kStart + seconds(10), candidates, criteria) == "near");
    }
  }
  GIVEN("all candidates tried")
  {
    criteria.tried = { "near", "far" };
    THEN("none is picked")
    {
      CHECK(peers.Pick(kStart, candidates, criteria).empty());
    }
  }
}

TEST_CASE("Retries are limited to a ratio of the requests", "[routing]")
{
  constexpr double kRatio = 0.25;
  constexpr double kMaxTokens = 2;
  RetryBudget budget(kRatio, kMaxTokens);

  SECTION("the initial tokens are consumed once")
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
  SECTION("the bucket holds no more than its capacity")
  {
    for (int request = 0; request < 1000; ++request) {
      budget.CountRequest();
    }
    int taken = 0;
    while (budget.TryAcquireRetry()) {
      ++taken;
    }
    CHECK(taken == kMaxTokens);
  }
}

SCENARIO("A request that its client sends again is recognized",
         "[clientretries]")
{
  ClientRetries retries;
  constexpr RequestFingerprint kLookup = 1;
  const Time kDeadline = kStart + milliseconds(1500);
  CHECK(retries.IsEmpty());

  GIVEN("a client whose first attempt was refused")
  {
    const ClientRetries::Attempt kFirst{ kStart, kStart + milliseconds(250) };
    retries.OnUnsuccessful(
      kStart + milliseconds(5), kLookup, kDeadline, kFirst);
    const Time kBack = kStart + milliseconds(300);
    THEN("its retry counts from the first attempt, although it arrives later "
         "than the client's time left tells")
    {
      CHECK(retries.TakeAttempt(kBack, kLookup, kDeadline + milliseconds(9)) ==
            kFirst);
      AND_THEN("another client's request does not")
      {
        CHECK_FALSE(retries.TakeAttempt(kBack, kLookup, kDeadline));
      }
      AND_THEN("a third attempt counts from the first one, too")
      {
        retries.OnUnsuccessful(kBack, kLookup, kDeadline, kFirst);
        CHECK(retries.TakeAttempt(
                kBack + milliseconds(200), kLookup, kDeadline) == kFirst);
      }
    }
    THEN("another request with the same deadline is not taken for it")
    {
      CHECK_FALSE(retries.TakeAttempt(kBack, kLookup + 1, kDeadline));
    }
    THEN("a client that requests the same later is not taken for it")
    {
      CHECK_FALSE(
        retries.TakeAttempt(kBack, kLookup, kDeadline + milliseconds(300)));
    }
    THEN("a client that requests the same just after it may send at once")
    {
      // Guards against first attempts that are refused since another client
      // was.
      for (auto later : { 1, 9, 30, 49 }) {
        auto copy = retries;
        auto found = copy.TakeAttempt(kStart + milliseconds(later),
                                      kLookup,
                                      kDeadline + milliseconds(later));
        CHECK((!found || found->retryDueAt == Time()));
      }
    }
    THEN("it is forgotten when the client no longer waits")
    {
      CHECK_FALSE(
        retries.TakeAttempt(kDeadline + seconds(2), kLookup, kDeadline));
      CHECK(retries.IsEmpty());
    }
  }
  GIVEN("two clients that request the same and are refused")
  {
    const Time kSecond = kStart + milliseconds(30);
    const ClientRetries::Attempt kOne{ kStart, Time() };
    const ClientRetries::Attempt kOther{ kSecond, Time() };
    retries.OnUnsuccessful(kSecond, kLookup, kDeadline, kOne);
    retries.OnUnsuccessful(
      kSecond, kLookup, kDeadline + milliseconds(30), kOther);
    THEN("each of them is recognized by its own deadline")
    {
      CHECK(retries.TakeAttempt(kStart + milliseconds(250),
                                kLookup,
                                kDeadline + milliseconds(28)) == kOther);
      CHECK(retries.TakeAttempt(kStart + milliseconds(260),
                                kLookup,
                                kDeadline + milliseconds(3)) == kOne);
    }
  }
  GIVEN("a client that waits for hours")
  {
    const Time kLater = kStart + std::chrono::hours(3);
    retries.OnUnsuccessful(kStart, kLookup, kLater, { kStart, Time() });
    THEN("its request is not kept")
    {
      CHECK(retries.IsEmpty());
    }
  }
  GIVEN("more refused clients than can be kept")
  {
    constexpr uint64_t kClients = 20000;
    for (uint64_t client = 0; client < kClients; ++client) {
      retries.OnUnsuccessful(kStart, client, kDeadline, { kStart, Time() });
    }
    THEN("the last ones are not recognized")
    {
      CHECK(retries.TakeAttempt(kStart, 0, kDeadline));
      CHECK_FALSE(retries.TakeAttempt(kStart, kClients - 1, kDeadline));
    }
  }
}

SCENARIO("Announcements of servers are kept by the address of their daemon",
         "[servernotices]")
{
  ServerNotices notices;
  const std::string kAddress = "10.0.0.1:7000";
  ServerNotice leaving{ { "i-1", 5 }, std::nullopt, milliseconds(100) };
  ServerNotice limited{ { "i-1", 5 }, 12.5, std::nullopt };

  GIVEN("a daemon that has reported nothing")
  {
    notices.OnResponse(kStart, kAddress, std::nullopt);
    CHECK_FALSE(notices.Find(kStart, kAddress));
  }
  GIVEN("a server that announced its shutdown")
  {
    notices.OnResponse(kStart, kAddress, leaving);
    THEN("that is kept, with the time since then")
    {
      auto found = notices.Find(kStart + seconds(1), kAddress);
      REQUIRE(found);
      CHECK(found->leavingFor == milliseconds(1100));
    }
    THEN("it holds although a restarted daemon does not know of it")
    {
      notices.OnResponse(kStart + seconds(1), kAddress, std::nullopt);
      CHECK(notices.Find(kStart + seconds(1), kAddress)->leavingFor);
      notices.OnResponse(kStart + seconds(1), kAddress, limited);
      CHECK(notices.Find(kStart + seconds(1), kAddress)->leavingFor);
    }
    THEN("the next incarnation has announced nothing")
    {
      limited.server.startedAt = 6;
      notices.OnResponse(kStart + seconds(1), kAddress, limited);
      CHECK_FALSE(notices.Find(kStart + seconds(1), kAddress)->leavingFor);
    }
    THEN("it is dropped some time after the last report")
    {
      notices.OnResponse(kStart + seconds(90), "10.0.0.2:7000", limited);
      CHECK_FALSE(notices.Find(kStart + seconds(90), kAddress));
    }
  }
  GIVEN("a server that stated a limit")
  {
    notices.OnResponse(kStart, kAddress, limited);
    CHECK(notices.Find(kStart, kAddress)->requestLimit == 12.5);
    THEN("it ends with a response that reports none")
    {
      notices.OnResponse(kStart + seconds(1), kAddress, std::nullopt);
      CHECK_FALSE(notices.Find(kStart + seconds(1), kAddress));
    }
  }
}
