#include <catch2/catch.hpp>

#include "cluster/cluster.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(seconds(100));

/** A view in which "d" is watched by some guardians. */
ClusterView
ViewOf(const std::vector<MemberId>& aGuardians,
       const std::vector<MemberId>& aOthers,
       RowVersion aVersion)
{
  ClusterView view;
  auto apply = [&](const MemberId& aId,
                   const std::vector<MemberId>& aWatched,
                   RowVersion aRowVersion) {
    MemberRecord record{ aId,        "agenda",           "z",     aId + ":2",
                         aId + ":3", MemberState::Ready, aWatched };
    auto row = ToRow(record);
    row.version = aRowVersion;
    view.Apply(row);
  };
  for (const auto& other : aOthers) {
    apply(other, { "d" }, 1);
  }
  apply("d", aGuardians, aVersion);
  return view;
}

bool
IsLost(const MemberMonitor::Findings& aFindings)
{
  return !aFindings.lost.empty();
}

} // namespace

SCENARIO("A guardian agrees to a takeover only after a whole promise",
         "[wardwatch]")
{
  LeaseTimes times;
  auto silence = WithDrift(times.promise, times) + milliseconds(1);
  MemberMonitor watch(times);
  auto view = ViewOf({ "a", "b", "c" }, { "a", "b", "c" }, 10);
  watch.Tick(kStart, view, "a");

  GIVEN("a member that renewed")
  {
    REQUIRE(watch.OnRenewal(kStart + seconds(1), "d"));
    THEN("no takeover is agreed to within the promise")
    {
      CHECK_FALSE(
        watch.OnConsentRequest(kStart + seconds(1) + times.promise, "d", 10));
    }
    THEN("it is agreed to later, and renewals are refused from then on")
    {
      auto later = kStart + seconds(1) + silence;
      CHECK(watch.OnConsentRequest(later, "d", 10));
      CHECK_FALSE(watch.OnRenewal(later, "d"));
    }
  }
  GIVEN("a new version of the record after a long silence")
  {
    // Found on a played day: a guardian that was named again agreed at once,
    // from what it knew of the earlier version (two servers held keys).
    auto later = kStart + seconds(60);
    auto renewed = ViewOf({ "a", "b", "c" }, { "a", "b", "c" }, 11);
    watch.Tick(later, renewed, "a");
    THEN("the wait begins anew")
    {
      CHECK_FALSE(watch.OnConsentRequest(later + seconds(1), "d", 11));
      CHECK(watch.OnConsentRequest(later + silence, "d", 11));
    }
    THEN("nothing is agreed to for the earlier version")
    {
      CHECK_FALSE(watch.OnConsentRequest(later + silence, "d", 10));
    }
  }
  GIVEN("a record that this guardian has not seen")
  {
    THEN("nothing is agreed to")
    {
      CHECK_FALSE(watch.OnConsentRequest(kStart + seconds(60), "e", 5));
    }
  }
}

SCENARIO("A member is lost once most of its guardians agree", "[wardwatch]")
{
  LeaseTimes times;
  auto silence = WithDrift(times.promise, times) + milliseconds(1);
  MemberMonitor watch(times);
  auto view = ViewOf({ "a", "b", "c" }, { "a", "b", "c" }, 10);
  watch.Tick(kStart, view, "a");
  auto silent = kStart + silence;

  GIVEN("one guardian's word")
  {
    auto findings = watch.Tick(silent, view, "a");
    THEN("the others are asked and nobody is lost")
    {
      CHECK(findings.messages.size() == 2);
      CHECK_FALSE(IsLost(findings));
    }
    WHEN("a second one agrees")
    {
      watch.OnConsent("d", "b", 10);
      THEN("it is lost")
      {
        CHECK(IsLost(watch.Tick(silent + milliseconds(100), view, "a")));
      }
    }
    WHEN("a second one agrees about another version")
    {
      watch.OnConsent("d", "b", 9);
      THEN("that does not count")
      {
        CHECK_FALSE(IsLost(watch.Tick(silent + milliseconds(100), view, "a")));
      }
    }
  }
  GIVEN("two guardians that are members no more")
  {
    // Found on a played day: with its guardians lost as well, a member stayed
    // owner for the rest of the day.
    auto alone = ViewOf({ "a", "b", "c" }, { "a" }, 10);
    watch.Tick(silent, alone, "a");
    THEN("their promises must run out first")
    {
      CHECK_FALSE(IsLost(watch.Tick(silent + seconds(2), alone, "a")));
      CHECK(IsLost(watch.Tick(silent + silence, alone, "a")));
    }
  }
  GIVEN("no guardian that is left, and another member")
  {
    MemberMonitor other(times);
    auto none = ViewOf({ "a", "b", "c" }, { "x" }, 10);
    other.Tick(kStart, none, "x");
    THEN("that member finds it lost, some time after the promises")
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

SCENARIO("A member without guardians is lost after its long lease",
         "[wardwatch]")
{
  LeaseTimes times;
  MemberMonitor watch(times);
  auto view = ViewOf({}, { "x" }, 10);
  watch.Tick(kStart, view, "x");
  auto end = WithDrift(times.longLease, times) + milliseconds(1);
  auto first = kStart + seconds(4);
  REQUIRE(watch.Tick(first, view, "x").leaseReads.size() == 1);
  watch.OnLongLeaseRead(first, "d", 77);

  WHEN("the lease stands unchanged")
  {
    watch.OnLongLeaseRead(first + seconds(8), "d", 77);
    THEN("it is lost after the whole lease, on condition of that version")
    {
      CHECK_FALSE(IsLost(watch.Tick(first + seconds(12), view, "x")));
      auto findings = watch.Tick(first + end, view, "x");
      REQUIRE(IsLost(findings));
      CHECK(findings.lost[0].leaseVersion == RowVersion(77));
    }
  }
  WHEN("the lease is renewed")
  {
    watch.OnLongLeaseRead(first + seconds(8), "d", 78);
    THEN("the wait begins anew")
    {
      CHECK_FALSE(IsLost(watch.Tick(first + end, view, "x")));
    }
  }
}

SCENARIO("A member whose guardians are gone without a trace is found",
         "[wardwatch]")
{
  // Found by a series of faults: members that watched each other were lost
  // together, and their records named each other for ever.
  LeaseTimes times;
  MemberMonitor watch(times);
  MemberProbe probe;
  auto view = ViewOf({ "a", "b" }, { "a", "b", "x" }, 10);
  auto end = kStart + seconds(6) + WithDrift(times.longLease, times) +
             WithDrift(times.promise, times) + seconds(12);

  // "x" is no guardian; "d" is the only one that never answers.
  std::set<MemberId> lost;
  size_t questions = 0;
  size_t reads = 0;
  for (auto now = kStart; now < end; now += milliseconds(100)) {
    for (const auto& id : probe.Tick(now, view, "x")) {
      ++questions;
      if (id != "d") {
        probe.OnReply(id);
      }
    }
    auto findings = watch.Tick(now, view, "x", probe.SilentMembers(now));
    for (const auto& key : findings.leaseReads) {
      ++reads;
      watch.OnLongLeaseRead(now, key.key, 77);
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
  THEN("that takes few questions and reads")
  {
    auto passed = std::chrono::duration_cast<seconds>(end - kStart).count();
    CHECK(questions <= 2 * static_cast<size_t>(passed));
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
    AND_WHEN("other guardians are being written")
    {
      lease.BeginGuardianChange({ "x", "y", "z" }, kStart + milliseconds(500));
      THEN("both sets must agree")
      {
        CHECK(lease.EndsAt() == kStart + milliseconds(500) + times.promise);
      }
      AND_WHEN("the change is refused for certain")
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
    THEN("it ends with that one")
    {
      CHECK(lease.EndsAt() == kStart + times.longLease);
    }
  }
}

SCENARIO("A change of the store is settled whatever becomes of its answers",
         "[transactions]")
{
  TransactionQueue queue;
  StoreTransaction change;
  StoreKey key{ "cluster", "agenda", "member/d" };
  change.conditions = { { key, 5 } };
  change.sets = { { key, "new", 0, false } };
  std::optional<TransactionResult> settled;
  Error lost{ ErrorCode::Unknown, "change", "store", "no answer" };
  Error refused{ ErrorCode::Unavailable, "change", "store", "status 503" };
  auto add = [&](Time aGiveUpAt) {
    queue.Add(
      change,
      [&](Time, const TransactionResult& aDone) { settled = aDone; },
      aGiveUpAt);
  };

  GIVEN("an attempt whose answer was lost after it took effect")
  {
    add(Time::max());
    REQUIRE(queue.Next(kStart));
    queue.OnResponse(kStart, tl::unexpected(lost));
    CHECK_FALSE(settled);
    CHECK_FALSE(queue.IsStoreResponding());
    REQUIRE(queue.Next(kStart + seconds(1)));
    StoreOutcome conflict;
    conflict.current = { { key, "new", 9, false } };
    queue.OnResponse(kStart + seconds(1), conflict);
    THEN("the conflict with its own rows counts as committed")
    {
      REQUIRE(settled);
      CHECK(settled->committed);
      CHECK(settled->version == 9);
    }
  }
  GIVEN("an attempt whose answer was lost, and another writer's row")
  {
    add(kStart);
    REQUIRE(queue.Next(kStart));
    queue.OnResponse(kStart, tl::unexpected(lost));
    THEN("it is not given up while it may still take effect")
    {
      CHECK_FALSE(settled);
      REQUIRE(queue.Next(kStart + seconds(1)));
      StoreOutcome conflict;
      conflict.current = { { key, "theirs", 9, false } };
      queue.OnResponse(kStart + seconds(1), conflict);
      REQUIRE(settled);
      CHECK_FALSE(settled->committed);
      CHECK(settled->current.size() == 1);
    }
  }
  GIVEN("attempts that certainly had no effect")
  {
    add(kStart + milliseconds(300));
    REQUIRE(queue.Next(kStart));
    queue.OnResponse(kStart, tl::unexpected(refused));
    CHECK_FALSE(settled);
    REQUIRE(queue.Next(kStart + milliseconds(400)));
    queue.OnResponse(kStart + milliseconds(400), tl::unexpected(refused));
    THEN("the change is dropped at its time")
    {
      REQUIRE(settled);
      CHECK_FALSE(settled->committed);
      CHECK(queue.IsEmpty());
    }
  }
}
