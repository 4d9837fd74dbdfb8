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
