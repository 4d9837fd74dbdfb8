#include <algorithm>
#include <map>
#include <random>
#include <set>

#include <catch2/catch.hpp>

#include "admission/admission.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(seconds(100));

SlotRequest
MakeRequest(uint64_t aId,
            const std::string& aClass,
            Time aNow,
            uint32_t aPriority = 1,
            Duration aTarget = milliseconds(200),
            Duration aDeadline = milliseconds(800))
{
  SlotRequest request;
  request.id = aId;
  request.requestClass = aClass;
  request.priority = aPriority;
  request.arrivedAt = aNow;
  request.targetTime = aNow + aTarget;
  request.deadline = aNow + aDeadline;
  request.notBefore = aNow;
  return request;
}

bool
AlwaysStart(const SlotRequest&)
{
  return true;
}

/** Runs requests of a class one by one, so that the queue learns their time. */
void
LearnTime(SlotQueue& aQueue,
          const std::string& aClass,
          Time aNow,
          Duration aTime)
{
  for (uint64_t id = 900000; id < 900030; ++id) {
    aQueue.Offer(aNow, MakeRequest(id, aClass, aNow));
    aQueue.Start(aNow);
    aQueue.OnFinished(aNow + aTime, id, true);
  }
}

/** Simulates a server under a steady load with a manual clock. */
struct Load
{
  struct Class
  {
    std::string name;
    double perSecond;
    Duration time;
    uint32_t priority;
    Duration target;
    Duration deadline;
  };
  struct Count
  {
    int offered = 0;
    int inTime = 0;
    int served = 0;
    int refused = 0;
    Duration longestRefusedWait = Duration(0); ///< Longest before a refusal.
    Duration totalRefusedWait = Duration(0);
  };

  SlotQueue queue{ AlwaysStart };
  std::vector<Class> classes;
  std::map<std::string, Count> counts;

  void Simulate(uint32_t aSlots, Duration aTime, uint64_t aSeed)
  {
    this->queue.SetSlots(aSlots);
    std::mt19937_64 random(aSeed);
    std::map<uint64_t, SlotRequest> waiting;
    std::multimap<Time, SlotRequest> running;
    uint64_t next = 1;
    auto refuse = [&](const std::vector<SlotRefusal>& aRefused, Time aNow) {
      for (const auto& refusal : aRefused) {
        auto& count = this->counts[waiting[refusal.id].requestClass];
        ++count.refused;
        auto waited = Duration(aNow - waiting[refusal.id].arrivedAt);
        count.longestRefusedWait = std::max(count.longestRefusedWait, waited);
        count.totalRefusedWait += waited;
        waiting.erase(refusal.id);
      }
    };
    for (Time now = kStart; now < kStart + aTime; now += milliseconds(1)) {
      while (!running.empty() && running.begin()->first <= now) {
        const auto& ended = running.begin()->second;
        this->queue.OnFinished(now, ended.id, true);
        auto& count = this->counts[ended.requestClass];
        ++count.served;
        count.inTime += now <= ended.targetTime ? 1 : 0;
        running.erase(running.begin());
      }
      for (const auto& each : this->classes) {
        std::poisson_distribution<int> arrivals(each.perSecond / 1000);
        for (int count = arrivals(random); count > 0; --count) {
          auto request = MakeRequest(
            next++, each.name, now, each.priority, each.target, each.deadline);
          ++this->counts[each.name].offered;
          waiting[request.id] = request;
          refuse(this->queue.Offer(now, request), now);
        }
      }
      refuse(this->queue.Expire(now), now);
      for (auto id : this->queue.Start(now)) {
        auto request = waiting[id];
        waiting.erase(id);
        for (const auto& each : this->classes) {
          if (each.name == request.requestClass) {
            running.emplace(now + each.time, request);
          }
        }
      }
    }
  }

  double InTime(const std::string& aClass)
  {
    return static_cast<double>(this->counts[aClass].inTime) /
           this->counts[aClass].offered;
  }
};

} // namespace

SCENARIO("A refusal states its reason and the expected wait", "[slotqueue]")
{
  SlotQueue queue(AlwaysStart);
  queue.SetSlots(1);
  LearnTime(queue, "a", kStart, milliseconds(50));
  auto now = kStart + seconds(1);

  GIVEN("keys that are granted too late")
  {
    // Guards against the reason "no-time" while slots are free.
    auto request = MakeRequest(1, "a", now);
    request.notBefore = now + milliseconds(600);
    auto refused = queue.Offer(now, request);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == "granted-too-late");
    CHECK(refused[0].expectedWait == milliseconds(600));
    THEN("the client retries when they are granted")
    {
      CHECK(refused[0].retryAfter >= milliseconds(600));
    }
  }
  GIVEN("a queue that is too long")
  {
    std::vector<SlotRefusal> refused;
    for (uint64_t id = 1; id < 40 && refused.empty(); ++id) {
      refused = queue.Offer(now, MakeRequest(id, "a", now));
    }
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == "no-time");
    CHECK(refused[0].expectedWait > Duration(0));
  }
}

SCENARIO("A request starts, waits or is refused at once", "[slotqueue]")
{
  SlotQueue queue(AlwaysStart);
  queue.SetSlots(2);
  LearnTime(queue, "lookup", kStart - seconds(20), milliseconds(100));

  GIVEN("free slots")
  {
    THEN("it starts at once")
    {
      CHECK(queue.Offer(kStart, MakeRequest(1, "lookup", kStart)).empty());
      CHECK(queue.Start(kStart) == std::vector<uint64_t>{ 1 });
    }
  }
  GIVEN("more requests than can finish before their deadline")
  {
    std::vector<SlotRefusal> refused;
    for (uint64_t id = 1; id <= 40; ++id) {
      auto now = queue.Offer(kStart, MakeRequest(id, "lookup", kStart));
      refused.insert(refused.end(), now.begin(), now.end());
      queue.Start(kStart);
    }
    THEN("the rest is refused at once, with a retry delay")
    {
      REQUIRE(refused.size() > 10);
      CHECK(queue.WaitingCount() + queue.RunningCount() + refused.size() == 40);
      for (const auto& refusal : refused) {
        CHECK(refusal.retryAfter > Duration(0));
      }
    }
    THEN("clients refused at the same time do not retry at the same time")
    {
      CHECK(refused.front().retryAfter != refused.back().retryAfter);
    }
  }
  GIVEN("a request whose keys are granted only after its deadline")
  {
    auto request = MakeRequest(1, "lookup", kStart);
    request.notBefore = kStart + seconds(1);
    THEN("it is refused at once")
    {
      CHECK(queue.Offer(kStart, request).size() == 1);
    }
  }
  GIVEN("a waiting request that is cancelled")
  {
    for (uint64_t id = 1; id <= 3; ++id) {
      queue.Offer(kStart, MakeRequest(id, "lookup", kStart));
    }
    queue.Start(kStart);
    THEN("it never starts")
    {
      CHECK(queue.Cancel(3));
      queue.OnFinished(kStart + milliseconds(100), 1, true);
      CHECK(queue.Start(kStart + milliseconds(100)).empty());
    }
  }
}

SCENARIO("No request starts after its deadline", "[slotqueue]")
{
  SlotQueue queue(AlwaysStart);
  queue.SetSlots(1);
  queue.Offer(kStart, MakeRequest(1, "lookup", kStart));
  queue.Start(kStart);
  queue.Offer(kStart, MakeRequest(2, "lookup", kStart));
  auto late = kStart + milliseconds(801);
  queue.OnFinished(late, 1, true);
  CHECK(queue.Start(late).empty());
  CHECK(queue.Expire(late).size() == 1);
}

SCENARIO("A request that may not start does not block later ones",
         "[slotqueue]")
{
  SlotQueue queue([](const SlotRequest& aRequest) { return aRequest.id != 1; });
  queue.SetSlots(1);
  queue.Offer(kStart, MakeRequest(1, "lookup", kStart));
  queue.Offer(kStart, MakeRequest(2, "lookup", kStart));
  CHECK(queue.Start(kStart) == std::vector<uint64_t>{ 2 });
}

SCENARIO("Nested requests start first, then those of higher priority",
         "[slotqueue]")
{
  SlotQueue queue(AlwaysStart);
  queue.SetSlots(1);
  queue.Offer(kStart, MakeRequest(1, "bulk", kStart, 3));
  queue.Start(kStart);
  queue.Offer(kStart, MakeRequest(2, "bulk", kStart, 3));
  queue.Offer(kStart, MakeRequest(3, "booking", kStart, 1));
  auto call = MakeRequest(4, "check", kStart, 3);
  call.nested = true;
  queue.Offer(kStart, call);
  auto now = kStart + milliseconds(10);
  std::vector<uint64_t> order;
  for (uint64_t ended = 1; order.size() < 3;) {
    queue.OnFinished(now, ended, false);
    auto started = queue.Start(now);
    REQUIRE(started.size() == 1);
    order.push_back(started[0]);
    ended = started[0];
  }
  CHECK(order == std::vector<uint64_t>{ 4, 3, 2 });
}

SCENARIO("Shorter times are learned again after a slow period", "[slotqueue]")
{
  // If every request is refused because the learned time is too long, no
  // request runs and the queue never learns that the class has become faster.
  SlotQueue queue(AlwaysStart);
  queue.SetSlots(2);
  LearnTime(queue, "lookup", kStart - seconds(20), seconds(3));

  GIVEN("a class that took longer than its deadline")
  {
    auto now = kStart;
    int served = 0;
    for (uint64_t id = 1; id <= 200; ++id) {
      now += milliseconds(20);
      queue.Offer(now, MakeRequest(id, "lookup", now));
      for (auto started : queue.Start(now)) {
        queue.OnFinished(now + milliseconds(15), started, true);
        ++served;
      }
    }
    THEN("free slots still serve it")
    {
      CHECK(served == 200);
    }
  }
}

SCENARIO(
  "Overload: requests that can meet their target first, others refused early",
  "[slotqueue][load]")
{
  GIVEN("an offered load of 1.5 from classes of two priorities")
  {
    Load load;
    load.classes = {
      { "booking", 40, milliseconds(78), 1, milliseconds(250), seconds(1) },
      { "lookup",
        100,
        milliseconds(60),
        2,
        milliseconds(200),
        milliseconds(800) }
    };
    load.Simulate(6, seconds(20), 1);
    THEN("the urgent class meets its target")
    {
      CHECK(load.InTime("booking") > 0.95);
    }
    THEN("the remaining slots serve requests of the other in time")
    {
      double room = (6 - 40 * 0.078) / (100 * 0.06);
      CHECK(load.InTime("lookup") > 0.8 * room);
    }
    THEN("no request is refused after most of its time has passed")
    {
      // The platform counts a request as lost if it is refused after three
      // quarters of its time.
      CHECK(ToMilliseconds(load.counts["lookup"].longestRefusedWait) <
            800 * 3 / 4);
      CHECK(ToMilliseconds(load.counts["booking"].longestRefusedWait) <
            1000 * 3 / 4);
    }
    THEN("requests are refused early on average")
    {
      // The platform accepts refusals within an eighth of the target latency.
      const auto& lookups = load.counts["lookup"];
      REQUIRE(lookups.refused > 100);
      CHECK(ToMilliseconds(lookups.totalRefusedWait / lookups.refused) <
            200 / 8);
    }
  }
  GIVEN("an offered load of 3 from two classes of one priority")
  {
    // Without balancing, 16% of the requests of the class with the shorter
    // target are served and 41% of the other.
    Load load;
    load.classes = {
      { "notice",
        80,
        milliseconds(72),
        2,
        milliseconds(250),
        milliseconds(800) },
      { "download", 80, milliseconds(72), 2, milliseconds(300), seconds(2) }
    };
    load.Simulate(4, seconds(20), 2);
    THEN("both are served about equally often")
    {
      auto served = [&](const char* aClass) {
        return static_cast<double>(load.counts[aClass].served) /
               load.counts[aClass].offered;
      };
      CHECK(served("notice") == Approx(served("download")).margin(0.1));
      CHECK(load.InTime("notice") > 0.2);
    }
  }
  GIVEN("an offered load below 1")
  {
    Load load;
    load.classes = { { "lookup",
                       60,
                       milliseconds(60),
                       2,
                       milliseconds(200),
                       milliseconds(800) } };
    load.Simulate(6, seconds(10), 3);
    THEN("nothing is refused")
    {
      CHECK(load.counts["lookup"].refused == 0);
      CHECK(load.InTime("lookup") > 0.99);
    }
  }
}

SCENARIO("The offered load includes refused requests", "[slotqueue]")
{
  Load load;
  load.classes = {
    { "lookup", 300, milliseconds(60), 2, milliseconds(200), milliseconds(800) }
  };
  load.Simulate(6, seconds(10), 4);
  CHECK(load.queue.OfferedLoad(kStart + seconds(10)) == Approx(3).margin(0.6));
  CHECK(load.queue.OfferedLoad(kStart + seconds(20)) < 0.1);
}

SCENARIO("A server with a request limit is used up to that limit",
         "[slotqueue][limit]")
{
  // Guards against a server that states a limit and gets more, against requests
  // that wait for a start that the limit does not allow in time, and against
  // less urgent classes that displace more urgent ones there.
  constexpr Duration kTime = seconds(30);
  const double limit = GENERATE(0.5, 5.0, 15.0, 40.0);
  const uint64_t seed = GENERATE(range(1, 6));
  CAPTURE(limit, seed);
  Load load;
  load.classes = {
    { "booking",
      17,
      milliseconds(78),
      0,
      milliseconds(250),
      milliseconds(1000) },
    { "lookup", 36, milliseconds(60), 1, milliseconds(200), milliseconds(800) }
  };
  load.queue.Limit().OnResponse(kStart, kStart, limit);
  load.Simulate(6, kTime, seed);

  auto& booking = load.counts["booking"];
  auto& lookup = load.counts["lookup"];
  double served = booking.served + lookup.served;
  double allowed = limit * std::chrono::duration<double>(kTime).count();
  THEN("it gets what it accepts, and the more urgent class comes first")
  {
    CHECK(served <= allowed + 5);
    CHECK(served >= allowed * 0.8);
    CHECK(booking.served * lookup.offered >= lookup.served * booking.offered);
  }
  THEN("no request waits for more than half of its time and is refused then")
  {
    constexpr Duration kStep = milliseconds(1);
    CHECK(booking.longestRefusedWait <= milliseconds(500) + kStep);
    CHECK(lookup.longestRefusedWait <= milliseconds(400) + kStep);
  }
  THEN("what exceeds the limit counts as load until there is none any more")
  {
    auto now = kStart + kTime;
    CHECK(load.queue.OfferedLoad(now) > 1);
    load.queue.Limit().OnResponse(now, now, std::nullopt);
    CHECK(load.queue.OfferedLoad(now) < 1);
  }
}

SCENARIO("A refusal because of a request limit says so", "[slotqueue][limit]")
{
  SlotQueue queue(AlwaysStart);
  queue.SetSlots(2);
  LearnTime(queue, "a", kStart - seconds(20), milliseconds(50));
  queue.Limit().OnResponse(kStart, kStart, 0.5);
  auto refused = queue.Offer(kStart, MakeRequest(1, "a", kStart));

  REQUIRE(refused.size() == 1);
  CHECK(refused[0].reason == "server-limit");
  CHECK(refused[0].expectedWait >= seconds(2));
  CHECK(refused[0].retryAfter >= seconds(2));
}

// Guards against estimates that are negative since a retry arrives after its
// target time.
SCENARIO("A retry of a class without a learned time adds no negative load",
         "[clientretries]")
{
  SlotQueue queue(AlwaysStart);
  auto late = MakeRequest(1, "lookup", kStart);
  late.targetTime = kStart - milliseconds(400);
  CHECK(queue.Offer(kStart, late).empty());
  CHECK(queue.OfferedLoad(kStart) >= 0);
  CHECK(queue.Start(kStart) == std::vector<uint64_t>{ 1 });
}

// Guards against clients that keep a server busy with requests that they send
// ahead: requests of classes that are less urgent were displaced by them.
SCENARIO("Requests that are sent ahead start after all others",
         "[admission][pure]")
{
  SlotQueue queue(AlwaysStart);
  queue.SetSlots(2);
  LearnTime(queue, "book", kStart, milliseconds(10));
  LearnTime(queue, "look", kStart, milliseconds(10));
  auto now = kStart + seconds(20);
  uint64_t id = 1;
  size_t answered = 0;
  size_t refused = 0;
  std::set<uint64_t> ordinary;
  std::map<uint64_t, Time> running;
  size_t crowdRuns = 0;
  // 40 connections send bookings, each as soon as the one before has ended; 50
  // lookups a second come from others. The server manages 200 a second.
  size_t idleCrowd = 40;
  for (int step = 0; step < 4000; ++step) {
    now += milliseconds(1);
    for (auto entry = running.begin(); entry != running.end();) {
      if (entry->second > now) {
        ++entry;
        continue;
      }
      queue.OnFinished(now, entry->first, true);
      bool own = ordinary.count(entry->first) > 0;
      answered += own ? 1 : 0;
      crowdRuns += own ? 0 : 1;
      idleCrowd += own ? 0 : 1;
      entry = running.erase(entry);
    }
    std::vector<SlotRefusal> refusals;
    for (; idleCrowd > 0; --idleCrowd) {
      auto request = MakeRequest(id++, "book", now, 1);
      request.sentAhead = true;
      auto refusal = queue.Offer(now, request);
      refusals.insert(refusals.end(), refusal.begin(), refusal.end());
    }
    if (step % 20 == 0) {
      ordinary.insert(id);
      auto refusal = queue.Offer(now, MakeRequest(id++, "look", now, 2));
      refusals.insert(refusals.end(), refusal.begin(), refusal.end());
    }
    auto expired = queue.Expire(now);
    refusals.insert(refusals.end(), expired.begin(), expired.end());
    for (const auto& refusal : refusals) {
      bool own = ordinary.count(refusal.id) > 0;
      refused += own ? 1 : 0;
      idleCrowd += own ? 0 : 1;
    }
    for (auto started : queue.Start(now)) {
      running[started] = now + milliseconds(10);
    }
  }
  CHECK(refused == 0);
  CHECK(answered >= 195);
  CHECK(crowdRuns > 400); // Free slots are still used.
}
