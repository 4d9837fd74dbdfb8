#include <algorithm>
#include <deque>
#include <map>
#include <random>

#include <catch2/catch.hpp>

#include "admission/admission.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(seconds(100));
/** Cold servers of Swanbourne: 19 x 1.5 + 8 = 36.5 in a second, of which 28 are
 * planned with. */
constexpr double kPerSecond = 19;
constexpr double kFactor = 1.5;
constexpr double kMargin = 8;
constexpr size_t kPlanned = 28;
/** Longest time between the last check of a request and its sending. */
constexpr Duration kStall = milliseconds(100);

ColdLimit
MakeLimit()
{
  ColdLimit limit;
  limit.SetRate(kPerSecond, kFactor, kMargin);
  return limit;
}

/** Sends requests as soon as the limit allows it, from now on.
 * @return The times. */
std::vector<Time>
SendAll(ColdLimit& aLimit, Time aFrom, Duration aTime)
{
  std::vector<Time> sent;
  uint64_t next = 1;
  for (auto now = aFrom; now < aFrom + aTime; now += milliseconds(1)) {
    while (aLimit.IsCold(now) && aLimit.TimeUntil(now, 1) == Duration(0)) {
      aLimit.OnSent(now, next++);
      sent.push_back(now);
    }
  }
  return sent;
}

} // namespace

// Guards against a crash of a cold server, which gets more than it tolerates in
// some second: after bursts and pauses, while requests wait for a connection,
// when the process loses the processor between a check and the system call, and
// when the server becomes cold or warm at any time.
SCENARIO("No second has more requests than a cold server tolerates", "[cold]")
{
  const uint64_t seed = GENERATE(range(1, 41));
  CAPTURE(seed);
  std::mt19937_64 random(seed);
  auto draw = [&](int64_t aFrom, int64_t aTo) {
    return std::uniform_int_distribution<int64_t>(aFrom, aTo)(random);
  };
  auto limit = MakeLimit();
  std::map<uint64_t, Time> connecting; // By id: when there is a connection.
  struct Arrival
  {
    Time at;
    bool sentWhileCold = false;
  };
  std::vector<Arrival> arrivals;
  uint64_t next = 1;
  bool pausing = false;
  size_t checked = 0;
  auto percent = draw(2, 40); // Of the milliseconds with a request.
  for (auto now = kStart; now < kStart + seconds(30); now += milliseconds(1)) {
    pausing = draw(0, 400) == 0 ? !pausing : pausing;
    if (draw(0, 1000) == 0) {
      auto rest = milliseconds(std::max<int64_t>(0, draw(-2000, 6000)));
      if (draw(0, 1) == 0) {
        limit.OnHeartbeat(now, rest > Duration(0) ? Time(now + rest) : Time());
      } else {
        limit.OnResponse(now - milliseconds(draw(0, 20)), now, rest);
      }
    }
    bool burst = draw(0, 300) == 0;
    auto count = burst ? 20 : draw(0, 99) < percent ? 1 : 0;
    for (; count > 0 && !pausing; --count) {
      if (limit.TimeUntil(now, 1) == Duration(0)) {
        auto wait = milliseconds(draw(0, 9) == 0 ? draw(1, 400) : 0);
        limit.Reserve(next);
        connecting[next++] = now + wait;
      }
    }
    for (auto entry = connecting.begin(); entry != connecting.end();) {
      if (entry->second > now) {
        ++entry;
        continue;
      }
      if (draw(0, 30) == 0 || !limit.MaySend(now)) {
        limit.Release(entry->first); // Its caller has left, or it is refused.
      } else {
        limit.OnSent(now, entry->first);
        auto stall =
          draw(0, 20) == 0 ? microseconds(draw(0, 100000)) : microseconds(0);
        auto at = Time(now + stall);
        if (!arrivals.empty()) {
          at = std::max(at, arrivals.back().at);
        }
        arrivals.push_back({ at, limit.IsCold(now) });
      }
      entry = connecting.erase(entry);
    }
  }
  for (size_t last = 0; last < arrivals.size(); ++last) {
    size_t first = last;
    while (first > 0 &&
           arrivals[first - 1].at > arrivals[last].at - seconds(1)) {
      --first;
    }
    if (arrivals[last].sentWhileCold) {
      ++checked;
      REQUIRE(last - first + 1 <= kPlanned);
    }
  }
  CHECK(checked > 50);
}

SCENARIO("A cold server gets as many requests as planned", "[cold]")
{
  auto limit = MakeLimit();

  GIVEN("a warm server")
  {
    THEN("all requests may be sent")
    {
      CHECK(limit.TimeUntil(kStart, 1000) == Duration(0));
      CHECK_FALSE(limit.PerSecond(kStart));
    }
    WHEN("it becomes cold after many requests")
    {
      // Guards against a limit that begins to count only then.
      for (uint64_t id = 1; id <= 60; ++id) {
        limit.OnSent(kStart + milliseconds(id * 10), id);
      }
      auto now = kStart + milliseconds(600);
      limit.OnHeartbeat(now, now + seconds(10));
      THEN("it gets no more until enough of them are a second old")
      {
        CHECK_FALSE(limit.MaySend(now));
        CHECK(limit.TimeUntil(now, 1) > milliseconds(700));
        auto sent = SendAll(limit, now, seconds(2));
        REQUIRE_FALSE(sent.empty());
        CHECK(sent.front() >= kStart + seconds(1));
      }
    }
  }
  GIVEN("a cold server")
  {
    limit.OnHeartbeat(kStart, kStart + seconds(60));
    THEN("it gets what is planned")
    {
      auto sent = SendAll(limit, kStart, seconds(11));
      CHECK(sent.size() >= kPlanned * 10 - 3);
      CHECK(sent.size() <= kPlanned * 10);
      CHECK(limit.PerSecond(kStart) == Approx(kPlanned / 1.1));
    }
    THEN("requests are spread over the second, so that urgent ones find room")
    {
      auto sent = SendAll(limit, kStart, seconds(11));
      for (size_t index = 1; index < sent.size(); ++index) {
        REQUIRE(sent[index] - sent[index - 1] <= milliseconds(276));
      }
    }
    THEN("the time until a request may be sent is foretold")
    {
      // Guards against waits and retry delays that do not follow the limit.
      for (size_t ahead : { 1, 5, 20, 40, 100 }) {
        auto copy = limit;
        auto sent = SendAll(copy, kStart, seconds(6));
        REQUIRE(sent.size() >= ahead);
        auto foretold = kStart + limit.TimeUntil(kStart, ahead);
        CAPTURE(ahead);
        CHECK(foretold <= sent[ahead - 1] + milliseconds(1));
        CHECK(foretold + milliseconds(280) >= sent[ahead - 1]);
      }
    }
    THEN("requests that were reserved or sent count, misdirected ones don't")
    {
      for (uint64_t id = 1; id <= 7; ++id) {
        limit.Reserve(id);
      }
      CHECK(limit.TimeUntil(kStart, 1) > Duration(0));
      limit.Release(1);
      CHECK(limit.TimeUntil(kStart, 1) == Duration(0));
      for (uint64_t id = 2; id <= 8; ++id) {
        limit.OnSent(kStart, id);
      }
      CHECK(limit.TimeUntil(kStart, 1) > Duration(0));
      limit.OnMisdirected(5);
      CHECK(limit.TimeUntil(kStart, 1) == Duration(0));
    }
    THEN("all requests may be sent as soon as it is warm")
    {
      SendAll(limit, kStart, seconds(1));
      auto almost = kStart + seconds(60) - milliseconds(5);
      SendAll(limit, almost - milliseconds(1), milliseconds(1));
      CHECK(limit.TimeUntil(almost, 100) == milliseconds(5));
      CHECK(limit.TimeUntil(kStart + seconds(60), 100) == Duration(0));
    }
  }
  GIVEN("a service without a limit for cold servers")
  {
    limit.SetRate(std::nullopt, kFactor, kMargin);
    limit.OnHeartbeat(kStart, Time::max());
    CHECK_FALSE(limit.IsCold(kStart));
    CHECK(limit.TimeUntil(kStart, 1000) == Duration(0));
    CHECK(limit.MaySend(kStart));
  }
  GIVEN("a limit below one request in a second")
  {
    // Guards against a server that gets no request at all.
    limit.SetRate(0.5, 1, 0);
    limit.OnHeartbeat(kStart, Time::max());
    CHECK(SendAll(limit, kStart, seconds(11)).size() == 10);
  }
  GIVEN("a factor that has no exact binary form")
  {
    limit.SetRate(20, 1.1, 0);
    limit.OnHeartbeat(kStart, Time::max());
    CHECK(limit.PerSecond(kStart) == Approx(22 / 1.1));
  }
}

SCENARIO("The latest statement tells whether a server is cold", "[cold]")
{
  auto limit = MakeLimit();
  limit.OnHeartbeat(kStart, Time());
  auto sentAt = kStart + milliseconds(100);
  auto now = kStart + milliseconds(110);

  WHEN("a response states that it is cold")
  {
    limit.OnResponse(sentAt, now, seconds(2));
    CHECK(limit.ColdUntil() == now + seconds(2));
    THEN("one to an earlier request changes nothing")
    {
      limit.OnResponse(kStart + milliseconds(90), now + milliseconds(5), {});
      CHECK(limit.IsCold(now + milliseconds(5)));
    }
    THEN("one to a later request may end that")
    {
      limit.OnResponse(now + milliseconds(1), now + milliseconds(5), {});
      CHECK_FALSE(limit.IsCold(now + milliseconds(5)));
    }
    THEN("the next heartbeat decides")
    {
      limit.OnHeartbeat(now + milliseconds(10), Time());
      CHECK_FALSE(limit.IsCold(now + milliseconds(10)));
    }
    THEN("the same heartbeat, passed on again, does not")
    {
      limit.OnHeartbeat(kStart, Time());
      CHECK(limit.IsCold(now));
    }
  }
  WHEN("a request was sent before a heartbeat that says that it is cold")
  {
    limit.OnHeartbeat(now, now + seconds(1));
    limit.OnResponse(sentAt, now + milliseconds(1), Duration(0));
    THEN("its response does not end that")
    {
      CHECK(limit.IsCold(now + milliseconds(1)));
    }
  }
  WHEN("the server counts as cold until a later heartbeat")
  {
    limit.OnHeartbeat(kStart, Time::max());
    limit.OnResponse(sentAt, now, Duration(0));
    THEN("no response ends that")
    {
      CHECK(limit.IsCold(now));
      limit.OnHeartbeat(now, Time());
      CHECK_FALSE(limit.IsCold(now));
    }
  }
  WHEN("another process may have been started")
  {
    limit.OnRestart(now);
    CHECK(limit.IsCold(now + seconds(100)));
    limit.OnHeartbeat(now + milliseconds(400), Time());
    CHECK_FALSE(limit.IsCold(now + milliseconds(400)));
  }
}

// Guards against a daemon that starts with an empty count while the server is
// cold, and so sends as many again as the process before it.
SCENARIO("A restart during a warm-up", "[cold]")
{
  const int64_t gap = GENERATE(1, 200, 600, 1500);
  CAPTURE(gap);
  auto before = MakeLimit();
  before.OnHeartbeat(kStart, kStart + seconds(20));
  auto restart = kStart + milliseconds(2760); // Just after a part was sent.
  auto sent = SendAll(before, kStart, restart - kStart);
  auto after = MakeLimit();
  after.SetCountedSince(restart);
  after.OnHeartbeat(restart + milliseconds(gap), kStart + seconds(20));
  auto later = SendAll(after, restart + milliseconds(gap), seconds(4));
  CHECK(later.size() >= kPlanned);
  sent.insert(sent.end(), later.begin(), later.end());
  for (size_t last = kPlanned; last < sent.size(); ++last) {
    REQUIRE(sent[last] - sent[last - kPlanned] >= seconds(1));
  }
}

// Guards against requests that were checked before a stall and leave after it,
// closer to those that follow than they were counted.
SCENARIO("A stalled process that sends late", "[cold]")
{
  auto limit = MakeLimit();
  limit.OnHeartbeat(kStart, Time::max());
  auto sent = SendAll(limit, kStart, seconds(30));
  // Each possible stall delays all that was counted in it to its end.
  for (auto end = kStart + kStall; end < kStart + seconds(4);
       end += milliseconds(1)) {
    auto arrivals = sent;
    for (auto& at : arrivals) {
      at = at >= end - kStall ? std::max(at, Time(end)) : at;
    }
    for (size_t last = kPlanned; last < arrivals.size(); ++last) {
      REQUIRE(arrivals[last] - arrivals[last - kPlanned] >= seconds(1));
    }
  }
}

SCENARIO("A queue obeys the limit of its cold server", "[cold][slotqueue]")
{
  SlotQueue queue([](const SlotRequest&) { return true; });
  queue.SetSlots(5);
  queue.Cold().SetRate(kPerSecond, kFactor, kMargin);
  auto request = [&](uint64_t aId, Time aNow) {
    SlotRequest made;
    made.id = aId;
    made.requestClass = "plan-view";
    made.priority = 1;
    made.arrivedAt = aNow;
    made.targetTime = aNow + milliseconds(200);
    made.deadline = aNow + milliseconds(1200);
    made.notBefore = aNow;
    return made;
  };
  /** Runs requests of 60 ms at a rate. @return The refusals. */
  auto run = [&](Time aFrom, Duration aTime, Duration aInterval) {
    static uint64_t next = 1;
    std::vector<SlotRefusal> refused;
    std::multimap<Time, uint64_t> running;
    auto arrival = aFrom;
    for (auto now = aFrom; now < aFrom + aTime; now += milliseconds(1)) {
      while (!running.empty() && running.begin()->first <= now) {
        queue.OnFinished(now, running.begin()->second, true);
        running.erase(running.begin());
      }
      if (now >= arrival) {
        arrival += aInterval;
        auto each = queue.Offer(now, request(next++, now));
        refused.insert(refused.end(), each.begin(), each.end());
      }
      auto expired = queue.Expire(now);
      refused.insert(refused.end(), expired.begin(), expired.end());
      for (auto id : queue.Start(now)) {
        queue.Cold().OnSent(now, id);
        running.emplace(now + milliseconds(60), id);
      }
    }
    for (const auto& [end, id] : running) {
      queue.OnFinished(aFrom + aTime, id, true);
    }
    return refused;
  };

  WHEN("the server is warm")
  {
    CHECK(run(kStart, seconds(5), milliseconds(16)).empty());
    CHECK(queue.UnusableShare(kStart + seconds(5)) == 0);
  }
  WHEN("it is cold and gets 62 requests a second")
  {
    queue.Cold().OnHeartbeat(kStart, kStart + seconds(60));
    auto refused = run(kStart, seconds(10), milliseconds(16));
    auto now = kStart + seconds(10);
    THEN("those that exceed the limit are refused, with the reason")
    {
      // 62.5 - 25.5 requests a second for 10 s.
      CHECK(refused.size() > 340);
      CHECK(refused.size() < 400);
      CHECK(std::all_of(refused.begin(), refused.end(), [](auto& aRefusal) {
        return aRefusal.reason == kServerColdReason &&
               aRefusal.retryAfter >= milliseconds(40) &&
               aRefusal.retryAfter < seconds(2);
      }));
    }
    THEN("most of its slots count as unusable, and others get the requests")
    {
      CHECK(queue.UnusableShare(now) == Approx(0.7).margin(0.1));
      CHECK(queue.OfferedLoad(now) > 1);
      CHECK(queue.ShareToSend(now, "plan-view") < 1);
      CHECK(queue.ExpectedLatency(now, "plan-view") > milliseconds(60));
    }
    THEN("it gets all of them as soon as it is warm")
    {
      queue.Cold().OnHeartbeat(now, Time());
      CHECK(run(now, seconds(5), milliseconds(16)).empty());
      CHECK(queue.UnusableShare(now + seconds(5)) == 0);
    }
  }
  WHEN("it is cold and nothing was offered yet")
  {
    // Guards against a new member that appears to have its full capacity and
    // gets more keys than it can serve.
    queue.Cold().OnHeartbeat(kStart, kStart + seconds(60));
    CHECK(queue.UnusableShare(kStart) == Approx(0.75).margin(0.05));
  }
}
