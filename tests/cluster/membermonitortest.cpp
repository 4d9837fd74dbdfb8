#include <catch2/catch.hpp>

#include "cluster/cluster.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(seconds(100));

/** Returns a view in which member "d" has the given guardians. */
ClusterView
ViewOf(const std::vector<MemberId>& aGuardians,
       const std::vector<MemberId>& aOthers,
       RowVersion aVersion)
{
  ClusterView view;
  auto apply = [&](const MemberId& aId,
                   const std::vector<MemberId>& aRecordGuardians,
                   RowVersion aRowVersion) {
    MemberRecord record{ aId,
                         "agenda",
                         "z",
                         "10.0.0.1:2",
                         "10.0.0.1:3",
                         MemberState::Ready,
                         aRecordGuardians };
    auto row = ToRow(record);
    row.version = aRowVersion;
    view.Apply(row);
  };
  for (const auto& other : aOthers) {
    apply(other, { "d" }, 1);
  }
  apply("d", aGuardians, aVersion);
  view.SetCompleteUpTo(aVersion);
  return view;
}

bool
IsLost(const MemberMonitor::Findings& aFindings)
{
  return !aFindings.lost.empty();
}

} // namespace

SCENARIO("A guardian agrees to a takeover only after a whole promise",
         "[membermonitor]")
{
  LeaseTimes times;
  auto silence = WithDrift(times.promise, times) + milliseconds(1);
  MemberMonitor monitor(times);
  auto view = ViewOf({ "a", "b", "c" }, { "a", "b", "c" }, 10);
  monitor.Tick(kStart, view, "a");

  GIVEN("a member whose lease was renewed")
  {
    REQUIRE(monitor.OnRenewal(kStart + seconds(1), "d"));
    THEN("it does not agree to a takeover within the promise")
    {
      CHECK_FALSE(
        monitor.OnConsentRequest(kStart + seconds(1) + times.promise, "d", 10));
    }
    THEN("it agrees later, and refuses renewals afterwards")
    {
      auto later = kStart + seconds(1) + silence;
      CHECK(monitor.OnConsentRequest(later, "d", 10));
      CHECK_FALSE(monitor.OnRenewal(later, "d"));
    }
  }
  GIVEN("a new version of the member record after a long silence")
  {
    // Guards against a guardian that is named again and agrees at once because
    // of what it knew about the earlier version: two servers would hold keys.
    auto later = kStart + seconds(60);
    auto renewed = ViewOf({ "a", "b", "c" }, { "a", "b", "c" }, 11);
    monitor.Tick(later, renewed, "a");
    THEN("the silence is measured from the new version")
    {
      CHECK_FALSE(monitor.OnConsentRequest(later + seconds(1), "d", 11));
      CHECK(monitor.OnConsentRequest(later + silence, "d", 11));
    }
    THEN("it does not agree for the earlier version")
    {
      CHECK_FALSE(monitor.OnConsentRequest(later + silence, "d", 10));
    }
  }
  GIVEN("a record that this guardian has not seen")
  {
    THEN("it does not agree")
    {
      CHECK_FALSE(monitor.OnConsentRequest(kStart + seconds(60), "e", 5));
    }
  }
}

SCENARIO("A member is lost once most of its guardians agree", "[membermonitor]")
{
  LeaseTimes times;
  auto silence = WithDrift(times.promise, times) + milliseconds(1);
  MemberMonitor monitor(times);
  auto view = ViewOf({ "a", "b", "c" }, { "a", "b", "c" }, 10);
  monitor.Tick(kStart, view, "a");
  auto silent = kStart + silence;

  GIVEN("the consent of one guardian")
  {
    auto findings = monitor.Tick(silent, view, "a");
    THEN("the others are asked for consent and the member is not lost")
    {
      CHECK(findings.messages.size() == 2);
      CHECK_FALSE(IsLost(findings));
    }
    WHEN("a second one agrees")
    {
      monitor.OnConsent("d", "b", 10);
      THEN("it is lost")
      {
        CHECK(IsLost(monitor.Tick(silent + milliseconds(100), view, "a")));
      }
    }
    WHEN("a second one agrees about another version")
    {
      monitor.OnConsent("d", "b", 9);
      THEN("that does not count")
      {
        CHECK_FALSE(
          IsLost(monitor.Tick(silent + milliseconds(100), view, "a")));
      }
    }
  }
  GIVEN("two guardians that are no longer members")
  {
    // Guards against a lost member that stays the owner of its keys because its
    // guardians were lost as well.
    auto alone = ViewOf({ "a", "b", "c" }, { "a" }, 10);
    monitor.Tick(silent, alone, "a");
    THEN("it is lost once their promises have expired")
    {
      CHECK_FALSE(IsLost(monitor.Tick(silent + seconds(2), alone, "a")));
      CHECK(IsLost(monitor.Tick(silent + silence, alone, "a")));
    }
  }
  GIVEN("a member that is no guardian while no guardian is left")
  {
    MemberMonitor other(times);
    auto none = ViewOf({ "a", "b", "c" }, { "x" }, 10);
    other.Tick(kStart, none, "x");
    THEN("that member reports the loss some time after the promises")
    {
      CHECK_FALSE(IsLost(other.Tick(kStart + seconds(3), none, "x")));
      bool lost = false;
      for (int step = 0; step < 80; ++step) {
        lost =
          lost || IsLost(other.Tick(
                    kStart + seconds(3) + step * milliseconds(100), none, "x"));
      }
      CHECK(lost);
    }
  }
}

// Guards against a takeover of a live member by a daemon to which the rows of
// the member's guardians had not been delivered yet: two servers held the keys.
SCENARIO("A guardian whose row may not have arrived yet is not missing",
         "[membermonitor]")
{
  LeaseTimes times;
  auto silence = WithDrift(times.promise, times) + milliseconds(1);
  MemberMonitor monitor(times);
  MemberRecord record{ "d",
                       "agenda",
                       "z",
                       "10.0.0.1:2",
                       "10.0.0.1:3",
                       MemberState::Ready,
                       { "a", "b", "c" } };
  auto row = ToRow(record);
  row.version = 10;
  ClusterView view;
  view.SetCompleteUpTo(5);
  view.Apply(row);

  GIVEN("a member whose record arrived before those of its guardians")
  {
    auto now = kStart;
    for (; now < kStart + seconds(30); now += milliseconds(100)) {
      CHECK_FALSE(IsLost(monitor.Tick(now, view, "x")));
    }
    WHEN("the guardians are absent from all changes up to the record")
    {
      view.SetCompleteUpTo(10);
      THEN("the member is lost once their last promises have expired")
      {
        auto detected = now;
        for (; now < detected + seconds(8); now += milliseconds(100)) {
          if (IsLost(monitor.Tick(now, view, "x"))) {
            break;
          }
        }
        CHECK(now - detected > silence);
        CHECK(now - detected < seconds(7));
      }
    }
    WHEN("a guardian's record arrives")
    {
      record.id = "a";
      row = ToRow(record);
      row.version = 8;
      view.Apply(row);
      view.SetCompleteUpTo(10);
      THEN("the member is not lost without its consent")
      {
        REQUIRE(view.FindMember("a") != nullptr);
        monitor.Tick(now, view, "a");
        for (auto end = now + seconds(8); now < end; now += milliseconds(100)) {
          monitor.OnRenewal(now, "d");
          CHECK_FALSE(IsLost(monitor.Tick(now, view, "a")));
        }
      }
    }
  }
}

SCENARIO("A member without guardians is lost after its long lease",
         "[membermonitor]")
{
  LeaseTimes times;
  MemberMonitor monitor(times);
  auto view = ViewOf({}, { "x" }, 10);
  monitor.Tick(kStart, view, "x");
  auto end = WithDrift(times.longLease, times) + milliseconds(1);
  auto first = kStart + seconds(4);
  REQUIRE(monitor.Tick(first, view, "x").leaseReads.size() == 1);
  monitor.OnLongLeaseRead(first, "d", 77);

  WHEN("the long lease is unchanged")
  {
    monitor.OnLongLeaseRead(first + seconds(8), "d", 77);
    THEN("it is lost after the length of the lease, given that version")
    {
      CHECK_FALSE(IsLost(monitor.Tick(first + seconds(12), view, "x")));
      auto findings = monitor.Tick(first + end, view, "x");
      REQUIRE(IsLost(findings));
      CHECK(findings.lost[0].leaseVersion == RowVersion(77));
    }
  }
  WHEN("the long lease is renewed")
  {
    monitor.OnLongLeaseRead(first + seconds(8), "d", 78);
    THEN("the length of the lease is measured from the renewal")
    {
      CHECK_FALSE(IsLost(monitor.Tick(first + end, view, "x")));
    }
  }
}

SCENARIO("A lost member is detected if its guardians were lost as well",
         "[membermonitor]")
{
  // Guards against members that were guardians of each other and failed
  // together: no other member would monitor them.
  LeaseTimes times;
  MemberMonitor monitor(times);
  MemberProbe probe;
  auto view = ViewOf({ "a", "b" }, { "a", "b", "x" }, 10);
  auto end = kStart + seconds(6) + WithDrift(times.longLease, times) +
             WithDrift(times.promise, times) + seconds(12);

  // "x" is no guardian; "d" is the only member that never replies.
  std::set<MemberId> lost;
  size_t probes = 0;
  size_t reads = 0;
  for (auto now = kStart; now < end; now += milliseconds(100)) {
    for (const auto& id : probe.Tick(now, view, "x")) {
      ++probes;
      if (id != "d") {
        probe.OnReply(id);
      }
    }
    auto findings = monitor.Tick(now, view, "x", probe.SilentMembers(now));
    for (const auto& key : findings.leaseReads) {
      ++reads;
      monitor.OnLongLeaseRead(now, key.key, 77);
    }
    for (const auto& member : findings.lost) {
      CHECK(member.leaseVersion == RowVersion(77));
      lost.insert(member.id);
    }
  }
  THEN("it is lost by its long lease, and nobody else is")
  {
    CHECK(lost == std::set<MemberId>{ "d" });
  }
  THEN("that takes few probes and reads")
  {
    auto passed = std::chrono::duration_cast<seconds>(end - kStart).count();
    CHECK(probes <= 2 * static_cast<size_t>(passed));
    CHECK(reads <= 8);
  }
}

SCENARIO("A lease ends with the promises of most guardians", "[ownlease]")
{
  LeaseTimes times;
  OwnLease lease(times);
  lease.Start({ "a", "b", "c" }, kStart);

  THEN("writing the record counts as an acknowledgement from each")
  {
    CHECK(lease.EndsAt() == kStart + times.promise);
  }
  WHEN("one of three guardians acknowledges later")
  {
    lease.OnAcknowledgement("a", kStart + seconds(2));
    THEN("that does not extend it")
    {
      CHECK(lease.EndsAt() == kStart + times.promise);
    }
  }
  WHEN("two of three acknowledge later")
  {
    lease.OnAcknowledgement("a", kStart + seconds(2));
    lease.OnAcknowledgement("c", kStart + seconds(1));
    THEN("the earlier of the two counts")
    {
      CHECK(lease.EndsAt() == kStart + seconds(1) + times.promise);
    }
    AND_WHEN("a record with other guardians is being written")
    {
      lease.BeginGuardianChange({ "x", "y", "z" }, kStart + milliseconds(500));
      THEN("the promises of both sets are required")
      {
        CHECK(lease.EndsAt() == kStart + milliseconds(500) + times.promise);
      }
      AND_WHEN("the change was certainly not committed")
      {
        lease.EndGuardianChange(false);
        THEN("the old set counts alone")
        {
          CHECK(lease.EndsAt() == kStart + seconds(1) + times.promise);
        }
      }
    }
  }
  WHEN("the long lease is not renewed")
  {
    lease.OnAcknowledgement("a", kStart + seconds(30));
    lease.OnAcknowledgement("b", kStart + seconds(30));
    THEN("the lease ends with the long lease")
    {
      CHECK(lease.EndsAt() == kStart + times.longLease);
    }
  }
}

SCENARIO("A transaction gets a certain result even if responses are lost",
         "[transactions]")
{
  TransactionQueue queue;
  StoreTransaction change;
  StoreKey key{ "cluster", "agenda", "member/d" };
  change.conditions = { { key, 5 } };
  change.sets = { { key, "new", 0, false } };
  std::optional<TransactionResult> result;
  Error lost{ ErrorCode::Unknown, "change", "store", "no response" };
  Error refused{ ErrorCode::Unavailable, "change", "store", "status 503" };
  auto add = [&](Time aGiveUpAt) {
    queue.Add(
      change,
      [&](Time, const TransactionResult& aDone) { result = aDone; },
      aGiveUpAt);
  };

  GIVEN("a committed attempt whose response was lost")
  {
    add(Time::max());
    REQUIRE(queue.Next(kStart));
    queue.OnResponse(kStart, tl::unexpected(lost));
    CHECK_FALSE(result);
    CHECK_FALSE(queue.IsStoreResponding());
    REQUIRE(queue.Next(kStart + seconds(1)));
    StoreOutcome conflict;
    conflict.current = { { key, "new", 9, false } };
    queue.OnResponse(kStart + seconds(1), conflict);
    THEN("the conflict with its own rows counts as committed")
    {
      REQUIRE(result);
      CHECK(result->committed);
      CHECK(result->version == 9);
    }
  }
  GIVEN("an attempt whose response was lost, and a row of another writer")
  {
    add(kStart);
    REQUIRE(queue.Next(kStart));
    queue.OnResponse(kStart, tl::unexpected(lost));
    THEN("it is not dropped while it may still take effect")
    {
      CHECK_FALSE(result);
      REQUIRE(queue.Next(kStart + seconds(1)));
      StoreOutcome conflict;
      conflict.current = { { key, "theirs", 9, false } };
      queue.OnResponse(kStart + seconds(1), conflict);
      REQUIRE(result);
      CHECK_FALSE(result->committed);
      CHECK(result->current.size() == 1);
    }
  }
  GIVEN("attempts that certainly took no effect")
  {
    add(kStart + milliseconds(300));
    REQUIRE(queue.Next(kStart));
    queue.OnResponse(kStart, tl::unexpected(refused));
    CHECK_FALSE(result);
    REQUIRE(queue.Next(kStart + milliseconds(400)));
    queue.OnResponse(kStart + milliseconds(400), tl::unexpected(refused));
    THEN("the transaction is dropped at its deadline")
    {
      REQUIRE(result);
      CHECK_FALSE(result->committed);
      CHECK(queue.IsEmpty());
    }
  }
}
