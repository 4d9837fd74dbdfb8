#include <catch2/catch.hpp>

#include "cluster/cluster.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(seconds(100));
constexpr KeyRange kHeld{ 0, 99 };

ServerReport
ReportWith(uint64_t aSequence, bool aHolds)
{
  ServerReport report;
  report.incarnation.id = "i-1";
  report.sequence = aSequence;
  if (aHolds) {
    report.grantedRanges = { { kHeld, 4096 } };
  }
  return report;
}

} // namespace

// Guards against a move of keys that the server still holds since an earlier
// run of the daemon granted them for longer than this one assumed.
SCENARIO("Keys that an earlier daemon process granted count as held",
         "[serverstate]")
{
  LeaseTimes times;
  times.promise = milliseconds(3600);
  auto longestGrant = times.promise;
  ServerState server(milliseconds(1500), WithDrift(times.promise, times));
  server.OnHeartbeat(kStart, ReportWith(1, true));

  THEN("they are held for as long as such a grant may last")
  {
    CHECK_FALSE(server.IsUnheld(kStart + longestGrant, kHeld));
    CHECK(server.IsUnheld(kStart + 2 * longestGrant, kHeld));
  }
  THEN("later heartbeats that report them do not extend that")
  {
    server.OnHeartbeat(kStart + seconds(3), ReportWith(2, true));
    CHECK_FALSE(server.IsUnheld(kStart + longestGrant, kHeld));
    CHECK(server.IsUnheld(kStart + 2 * longestGrant, kHeld));
  }
  THEN("they are free once the server reports that it does not hold them")
  {
    server.OnHeartbeat(kStart + seconds(1), ReportWith(2, false));
    CHECK(server.IsUnheld(kStart + seconds(1), kHeld));
  }
}

// Guards against a server that had left and was in use again after its daemon
// was restarted: the drain time began anew with the first heartbeat.
SCENARIO("A restarted daemon does not begin the drain time of a server anew",
         "[serverstate][leaving]")
{
  constexpr Duration kDrainTime = seconds(2);
  ServerState server(milliseconds(1500), seconds(4));
  auto report = ReportWith(7, false);

  GIVEN("a server whose first known heartbeat says that it is shutting down")
  {
    report.draining = true;
    server.OnHeartbeat(kStart, report);
    THEN("its drain time counts as over, since it may be")
    {
      CHECK(server.IsDraining());
      CHECK(server.DrainingSince() + kDrainTime <= kStart);
    }
    THEN("a later incarnation is in use again")
    {
      auto next = ReportWith(1, false);
      next.incarnation.id = "i-2";
      server.OnHeartbeat(kStart + seconds(1), next);
      CHECK_FALSE(server.IsDraining());
    }
  }
  // Guards against requests to a server that had deregistered: the call was the
  // first that a restarted daemon got from it, and was acknowledged and
  // forgotten.
  GIVEN("a server that deregisters before its first heartbeat to this daemon")
  {
    server.OnServerDeregistered(kStart, report.incarnation.id);
    THEN("its next heartbeat does not bring it into use")
    {
      server.OnHeartbeat(kStart + milliseconds(900), report);
      CHECK(server.IsDraining());
      CHECK_FALSE(server.IsAvailable(kStart + milliseconds(900)));
      CHECK(server.DrainingSince() + kDrainTime <= kStart + kDrainTime);
    }
    THEN("another server is not affected")
    {
      report.incarnation.id = "i-2";
      server.OnHeartbeat(kStart + milliseconds(900), report);
      CHECK_FALSE(server.IsDraining());
    }
    THEN("a later incarnation with the same id is not affected")
    {
      report.incarnation.startedAt = 1700000000000;
      server.OnHeartbeat(kStart + seconds(6), report);
      CHECK_FALSE(server.IsDraining());
    }
  }
  GIVEN("a server that announces its shutdown to this daemon")
  {
    server.OnHeartbeat(kStart, report);
    report.sequence = 8;
    report.draining = true;
    server.OnHeartbeat(kStart + seconds(1), report);
    THEN("its drain time begins then")
    {
      CHECK(server.DrainingSince() == kStart + seconds(1));
    }
  }
}

// Guards against keys that are slow after a move: a grant of some of the keys
// that the server had released made the daemon forget the handovers of all.
SCENARIO("A grant of some released keys leaves the handovers of the others",
         "[serverstate][handover]")
{
  ServerState server(milliseconds(900), seconds(4));
  auto report = ReportWith(1, false);
  report.releasedRanges = { { kHeld, "token" }, { { 200, 299 }, "other" } };
  server.OnHeartbeat(kStart, report);
  REQUIRE(server.HandoverOf(kHeld) == "token");
  server.OnGranted({ { { 40, 59 }, 4096, "" } }, kStart + seconds(3));

  THEN("those on either side keep theirs")
  {
    CHECK(server.HandoverOf({ 0, 39 }) == "token");
    CHECK(server.HandoverOf({ 60, 99 }) == "token");
    CHECK(server.HandoverOf({ 200, 299 }) == "other");
  }
  THEN("the granted ones have none")
  {
    CHECK(server.HandoverOf({ 40, 59 }).empty());
    CHECK(server.HandoverOf(kHeld).empty());
  }
}

// Guards against keys that are slow when they come back to a server, with the
// handover of its own earlier release.
SCENARIO("The handover of keys that have moved away is not used again",
         "[serverstate][handover]")
{
  ServerState server(milliseconds(900), seconds(4));
  auto report = ReportWith(1, false);
  report.releasedRanges = { { kHeld, "earlier" } };
  server.OnHeartbeat(kStart, report);
  server.ForgetReleasedOutside({ { 60, 200 } });

  constexpr size_t kMaxParts = 10;
  auto parts = server.DivideByHandover(kHeld, "new", kMaxParts);
  CHECK(parts == std::vector<ReleasedRange>{ { { 0, 59 }, "new" },
                                             { { 60, 99 }, "earlier" } });
}

// Guards against responses to heartbeats that exceed the platform's limit.
SCENARIO("A range is not divided into more parts than there is room for",
         "[serverstate][handover]")
{
  ServerState server(milliseconds(900), seconds(4));
  auto report = ReportWith(1, false);
  constexpr size_t kReleased = 10;
  for (Key key = 0; key < kReleased; ++key) {
    report.releasedRanges.push_back(
      { { 2 * key, 2 * key }, "h" + std::to_string(key) });
  }
  server.OnHeartbeat(kStart, report);

  auto divided = server.DivideByHandover(kHeld, "other", 2 * kReleased);
  CHECK(divided.size() == 2 * kReleased);
  auto whole = server.DivideByHandover(kHeld, "other", 2 * kReleased - 1);
  CHECK(whole == std::vector<ReleasedRange>{ { kHeld, "other" } });
}

// Guards against two holders of the same keys: a late heartbeat of an ended
// incarnation, or one of another writer, at a daemon that had not seen its
// sender before, was taken for the start of a new incarnation that holds no
// keys. The keys were granted to others, and the running server got none any
// more.
SCENARIO("A heartbeat of another incarnation does not replace one that runs",
         "[serverstate][incarnations]")
{
  using Result = ServerState::HeartbeatResult;
  constexpr Duration kHeartbeat = milliseconds(870);
  ServerState server(kHeartbeat, seconds(4));
  server.OnHeartbeat(kStart, ReportWith(1, false));
  server.OnHeartbeat(kStart + kHeartbeat, ReportWith(2, false));
  server.OnGranted({ { kHeld, 4096, "" } }, kStart + seconds(4));
  auto other = ReportWith(50, false);
  other.incarnation.id = "i-0";
  auto at = kStart + kHeartbeat + milliseconds(200);

  WHEN("a late one says that another incarnation shuts down without keys")
  {
    other.draining = true;
    CHECK(server.OnHeartbeat(at, other) == Result::Stale);
    THEN("the running one keeps its keys and stays in use")
    {
      CHECK_FALSE(server.IsDraining());
      CHECK_FALSE(server.IsUnheld(at, kHeld));
      CHECK(server.OnHeartbeat(kStart + 2 * kHeartbeat, ReportWith(3, true)) ==
            Result::Current);
    }
  }
  WHEN("another writer sends them all the time")
  {
    auto next = kStart + 2 * kHeartbeat;
    uint64_t sequence = 3;
    for (; at < kStart + seconds(10); at += milliseconds(100)) {
      if (at >= next) {
        CHECK(server.OnHeartbeat(at, ReportWith(sequence++, true)) ==
              Result::Current);
        next += kHeartbeat;
      }
      ++other.sequence;
      CHECK(server.OnHeartbeat(at, other) == Result::Stale);
    }
  }
  WHEN("two late ones arrive at once")
  {
    CHECK(server.OnHeartbeat(at, other) == Result::Stale);
    ++other.sequence;
    CHECK(server.OnHeartbeat(at, other) == Result::Stale);
  }
  WHEN(
    "an incarnation whose shutdown is known sends them after the running one "
    "was silent")
  {
    server.SetAnnouncedShutdowns({ other.incarnation });
    at += seconds(10);
    CHECK(server.OnHeartbeat(at, other) == Result::Stale);
  }
  WHEN("the next incarnation has started and the last one is silent")
  {
    CHECK(server.OnHeartbeat(at, other) == Result::Stale);
    auto result = Result::Stale;
    for (int count = 0; count < 2 && result == Result::Stale; ++count) {
      ++other.sequence;
      at += kHeartbeat;
      result = server.OnHeartbeat(at, other);
    }
    CHECK(result == Result::NewIncarnation);
    THEN("the keys of the last one count as held until they expire")
    {
      CHECK_FALSE(server.IsUnheld(at, kHeld));
      CHECK(server.IsUnheld(kStart + seconds(5), kHeld));
    }
  }
  WHEN("the address has refused connections and the next one has started")
  {
    server.OnConnectionRefused(at);
    CHECK(server.OnHeartbeat(at, other) == Result::NewIncarnation);
    CHECK(server.IsUnheld(at, kHeld));
    THEN("heartbeats of the last one are late")
    {
      at += seconds(10);
      CHECK(server.OnHeartbeat(at, ReportWith(3, true)) == Result::Stale);
    }
  }
}

// Guards against a move of keys that the server holds: an earlier process of
// the daemon granted them after a heartbeat was sent that arrives late.
SCENARIO("A first heartbeat that may be late does not show which keys are free",
         "[serverstate][incarnations]")
{
  ServerState server(milliseconds(870), seconds(4));
  server.OnHeartbeat(kStart, ReportWith(5, false));
  CHECK_FALSE(server.IsUnheld(kStart, kHeld));

  WHEN("the next one at its regular time reports the keys")
  {
    auto at = kStart + milliseconds(870);
    server.OnHeartbeat(at, ReportWith(9, true));
    CHECK_FALSE(server.IsUnheld(at, kHeld));
    CHECK(server.IsUnheld(at, { 200, 299 }));
  }
  WHEN("another late one arrives with it")
  {
    server.OnHeartbeat(kStart, ReportWith(6, false));
    CHECK_FALSE(server.IsUnheld(kStart, kHeld));
  }
  WHEN("no other one arrives")
  {
    CHECK(server.IsUnheld(kStart + seconds(4), kHeld));
  }
  WHEN("the server has ended")
  {
    server.OnConnectionRefused(kStart);
    CHECK(server.IsUnheld(kStart, kHeld));
  }
}
