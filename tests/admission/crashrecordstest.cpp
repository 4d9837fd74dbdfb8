#include <catch2/catch.hpp>

#include <deque>
#include <random>
#include <set>

#include "admission/admission.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr RequestFingerprint kFatal = 77;
constexpr RequestFingerprint kOther = 78;

} // namespace

// Daemons passed a request on as often as it came, though one server after the
// other had ended under it (docs/incidents/2026-12-04-fatal-requests.md).
SCENARIO("A request under which servers ended is blocked", "[crashes]")
{
  CrashRecords records;
  Time now(seconds(100));
  CHECK_FALSE(records.BlockedFor(now, kFatal));

  GIVEN("one server that ended under two requests")
  {
    REQUIRE(records.OnCrash(now, kFatal, 1));
    REQUIRE(records.OnCrash(now, kOther, 1));
    THEN("both may still run")
    {
      CHECK_FALSE(records.BlockedFor(now, kFatal));
      CHECK_FALSE(records.BlockedFor(now, kOther));
      CHECK(records.BlockedCount(now) == 0);
    }
    THEN("the same end is no news")
    {
      CHECK_FALSE(records.OnCrash(now, kFatal, 1));
      CHECK_FALSE(records.BlockedFor(now, kFatal));
    }
    WHEN("a second one ends under one of them")
    {
      now += seconds(5);
      REQUIRE(records.OnCrash(now, kFatal, 2));
      THEN("only that one is blocked")
      {
        CHECK(records.BlockedFor(now, kFatal) == Duration(seconds(10)));
        CHECK_FALSE(records.Admit(now, kFatal).mayRun);
        CHECK_FALSE(records.BlockedFor(now, kOther));
        CHECK(records.Admit(now, kOther).mayRun);
        CHECK_FALSE(records.Admit(now, kOther).news);
        CHECK(records.BlockedCount(now) == 1);
      }
      AND_WHEN("it comes again after a while")
      {
        now += seconds(20);
        THEN("it is tried once, and other daemons must know that")
        {
          auto verdict = records.Admit(now, kFatal);
          CHECK(verdict.mayRun);
          REQUIRE(verdict.news);
          CrashRecords other;
          other.Merge(now, { *verdict.news });
          CHECK_FALSE(other.Admit(now, kFatal).mayRun);
          verdict = records.Admit(now, kFatal);
          CHECK_FALSE(verdict.mayRun);
          CHECK(verdict.blockedFor > seconds(30));
        }
        THEN("it is blocked for an hour if a server ends under it again")
        {
          REQUIRE(records.Admit(now, kFatal).mayRun);
          REQUIRE(records.OnCrash(now, kFatal, 3));
          CHECK(records.BlockedFor(now, kFatal) == Duration(minutes(60)));
          CHECK_FALSE(records.Admit(now + minutes(59), kFatal).mayRun);
          CHECK(records.Admit(now + minutes(60), kFatal).mayRun);
        }
        THEN("it may run again if a server runs it successfully")
        {
          REQUIRE(records.Admit(now, kFatal).mayRun);
          REQUIRE(records.OnSuccess(now, kFatal));
          CHECK_FALSE(records.BlockedFor(now, kFatal));
          CHECK(records.Admit(now, kFatal).mayRun);
          CHECK(records.BlockedCount(now) == 0);
        }
        THEN("it is tried once more if that trial has no result")
        {
          REQUIRE(records.Admit(now, kFatal).mayRun);
          now += seconds(60);
          CHECK(records.Admit(now, kFatal).mayRun);
          CHECK_FALSE(records.Admit(now + minutes(30), kFatal).mayRun);
        }
      }
    }
    WHEN("a server runs one of them successfully before that")
    {
      REQUIRE(records.OnSuccess(now, kOther));
      CHECK_FALSE(records.OnSuccess(now, kOther));
      THEN("it is not suspected for a while")
      {
        now += minutes(1);
        CHECK_FALSE(records.OnCrash(now, kOther, 2));
      }
      THEN("its count begins again after that")
      {
        now += minutes(3);
        CHECK(records.OnCrash(now, kOther, 2));
        CHECK_FALSE(records.BlockedFor(now, kOther));
        CHECK(records.OnCrash(now, kOther, 3));
        CHECK(records.BlockedFor(now, kOther));
      }
    }
  }
  GIVEN("a request under which no server ended")
  {
    THEN("its success leaves no record")
    {
      CHECK_FALSE(records.OnSuccess(now, kOther));
      CHECK(records.IsEmpty());
    }
    THEN("others are suspected also after very many successes")
    {
      for (uint64_t fingerprint = 1000; fingerprint < 50000; ++fingerprint) {
        records.OnSuccess(now, fingerprint);
      }
      CHECK(records.OnCrash(now, kFatal, 1));
      CHECK(records.OnCrash(now, 1000, 1));
      CHECK_FALSE(records.OnCrash(now, 49999, 1));
    }
  }
  GIVEN("more requests than are remembered")
  {
    for (uint64_t fingerprint = 1; fingerprint <= 1001; ++fingerprint) {
      now += milliseconds(1);
      records.OnCrash(now, fingerprint, 1);
      records.OnCrash(now, fingerprint, 2);
    }
    THEN("the oldest one is forgotten")
    {
      CHECK(records.BlockedCount(now) == 1000);
      CHECK_FALSE(records.BlockedFor(now, 1));
      CHECK(records.BlockedFor(now, 2));
    }
  }
}

SCENARIO("Daemons merge their crash records in any order", "[crashes]")
{
  Time now(seconds(100));
  CrashRecords left;
  CrashRecords right;

  GIVEN("two daemons beside one server each, which ended under a request")
  {
    auto fromLeft = left.OnCrash(now, kFatal, 1);
    auto fromRight = right.OnCrash(now, kFatal, 2);
    REQUIRE((fromLeft && fromRight));
    THEN("the request is blocked at both once they have told each other")
    {
      CHECK(left.Merge(now, { *fromRight }).size() == 1);
      CHECK(right.Merge(now, { *fromLeft }).size() == 1);
      CHECK(left.BlockedFor(now, kFatal));
      CHECK(right.BlockedFor(now, kFatal));
      AND_THEN("what they know already is no news")
      {
        CHECK(left.Merge(now, { *fromRight, *fromLeft }).empty());
        CHECK(left.Merge(now, right.Next(now, 10)).empty());
      }
      AND_THEN("a daemon that is started later learns it, and for how long")
      {
        CrashRecords late;
        now += minutes(20);
        CHECK(late.Merge(now, left.Next(now, 10)).size() == 1);
        CHECK(late.BlockedCount(now) == 1);
        CHECK(late.BlockedCount(now + minutes(39)) == 1);
        CHECK(late.BlockedCount(now + minutes(40)) == 0);
      }
    }
    THEN("a success that one of them has seen outdates both")
    {
      left.Merge(now, { *fromRight });
      auto success = left.OnSuccess(now, kFatal);
      REQUIRE(success);
      right.Merge(now, { *success });
      CHECK(right.Merge(now, { *fromLeft, *fromRight }).empty());
      CHECK_FALSE(right.BlockedFor(now, kFatal));
    }
  }
  GIVEN("records that are too old, or from the future")
  {
    THEN("they are ignored")
    {
      CHECK(
        left.Merge(now, { { kFatal, 0, { 1, 2 }, 0, minutes(60) } }).empty());
      CHECK(left.Merge(now, { { kFatal, 0, { 1, 2 }, 0, milliseconds(-1) } })
              .empty());
      CHECK(left.IsEmpty());
    }
  }
  GIVEN("more records than are repeated at a time")
  {
    for (uint64_t fingerprint = 1; fingerprint <= 5; ++fingerprint) {
      left.OnCrash(now, fingerprint, 1);
    }
    THEN("they are repeated in turn, and not twice at a time")
    {
      std::set<RequestFingerprint> repeated;
      for (int turn = 0; turn < 3; ++turn) {
        for (const auto& record : left.Next(now, 2)) {
          repeated.insert(record.fingerprint);
        }
      }
      CHECK(repeated.size() == 5);
      CHECK(left.Next(now, 10).size() == 5);
    }
    THEN("they are no longer repeated once they are outdated")
    {
      CHECK(left.Next(now + minutes(60), 10).empty());
      CHECK(left.IsEmpty());
    }
  }
}

namespace {

/** Servers that end under one request, and daemons that tell each other, by a
 * manual clock. Each request takes one step of 100 ms; a message arrives in the
 * next step, or never. */
struct CrashingCluster
{
  static constexpr size_t kServers = 8;
  static constexpr size_t kSlots = 6;
  static constexpr size_t kReceivers = 4;
  static constexpr int kStepsDown = 30;
  static constexpr int kStepsBetweenRepeats = 5;

  explicit CrashingCluster(uint64_t aSeed)
    : random(aSeed)
    , downUntil(kServers, 0)
  {
    for (size_t server = 0; server < kServers; ++server) {
      this->daemons.emplace_back(this->random());
    }
  }

  void Tell(size_t aFrom, const CrashRecords::Records& aRecords)
  {
    for (size_t count = 0; count < kReceivers && !aRecords.empty(); ++count) {
      auto to = this->random() % kServers;
      if (to != aFrom && this->random() % 10 != 0) {
        this->messages.emplace_back(to, aRecords);
      }
    }
  }

  void Run(size_t aServer, const std::set<RequestFingerprint>& aRequests)
  {
    auto& daemon = this->daemons[aServer];
    bool ends = aRequests.count(kFatal) > 0;
    for (auto request : aRequests) {
      auto news = ends ? daemon.OnCrash(this->now,
                                        request,
                                        this->incarnations * kServers + aServer)
                       : daemon.OnSuccess(this->now, request);
      if (news) {
        this->Tell(aServer, { *news });
      }
    }
    if (ends) {
      ++this->incarnations;
      ++this->fatalRuns;
      this->downUntil[aServer] = this->step + kStepsDown;
    }
  }

  /** Each server that is up gets popular requests, rare ones, and the fatal one
   * if it comes. */
  void Step(bool aFatalComes)
  {
    ++this->step;
    this->now += milliseconds(100);
    for (const auto& [to, records] : std::exchange(this->messages, {})) {
      this->Tell(to, this->daemons[to].Merge(this->now, records));
    }
    for (size_t server = 0; server < kServers; ++server) {
      if (this->step % kStepsBetweenRepeats == 0) {
        this->Tell(server, this->daemons[server].Next(this->now, 8));
      }
      if (this->step < this->downUntil[server]) {
        continue;
      }
      std::set<RequestFingerprint> requests;
      for (size_t slot = 0; slot < kSlots; ++slot) {
        auto draw = this->random() % 100;
        if (draw < 5 && !aFatalComes) {
          continue;
        }
        auto request = draw < 5    ? kFatal
                       : draw < 40 ? 1000 + draw
                                   : this->random();
        auto verdict = this->daemons[server].Admit(this->now, request);
        if (verdict.news) {
          this->Tell(server, { *verdict.news });
        }
        if (verdict.mayRun) {
          requests.insert(request);
          ++this->runs;
        } else if (request != kFatal) {
          ++this->refusedOthers;
        }
      }
      this->Run(server, requests);
    }
  }

  std::mt19937_64 random;
  Time now{ seconds(100) };
  int step = 0;
  std::vector<CrashRecords> daemons;
  std::vector<int> downUntil;
  std::deque<std::pair<size_t, CrashRecords::Records>> messages;
  uint64_t incarnations = 1;
  size_t fatalRuns = 0;
  size_t runs = 0;
  size_t refusedOthers = 0;
};

} // namespace

SCENARIO("A fatal request ends few servers and blocks no others for long",
         "[crashes]")
{
  constexpr int kStepsPerSecond = 10;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    CrashingCluster cluster(seed);
    auto runFor = [&](int aSeconds, bool aFatalComes) {
      for (int step = 0; step < aSeconds * kStepsPerSecond; ++step) {
        cluster.Step(aFatalComes);
      }
    };
    // Several servers may run it before the first one has ended, and two
    // daemons may try it before they have told each other.
    constexpr size_t kMaxFatalRuns = CrashingCluster::kServers + 2;
    GIVEN("daemons that know popular requests, seed " + std::to_string(seed))
    {
      runFor(5, false);
      runFor(60, true);
      CHECK(cluster.fatalRuns <= kMaxFatalRuns);
      CHECK(cluster.refusedOthers * 100 <= cluster.runs);
      auto before = cluster.fatalRuns;
      runFor(600, true);
      CHECK(cluster.fatalRuns == before);
    }
    GIVEN("daemons that were just started, seed " + std::to_string(seed))
    {
      runFor(90, true);
      CHECK(cluster.fatalRuns <= kMaxFatalRuns);
      cluster.refusedOthers = 0;
      runFor(60, true);
      CHECK(cluster.refusedOthers == 0);
    }
  }
}
