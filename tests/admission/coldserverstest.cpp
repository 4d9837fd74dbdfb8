#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include <catch2/catch.hpp>

#include "admission/admission.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(seconds(100));
constexpr Duration kStep = milliseconds(1);
constexpr Duration kHeartbeat = milliseconds(870);
/** A cold server of Swanbourne: 19 x 1.5 + 8 requests in any second. */
constexpr double kPerSecond = 19;
constexpr double kFactor = 1.5;
constexpr double kMargin = 8;
constexpr size_t kBound = 36;
constexpr uint32_t kSlots = 5;
constexpr Duration kWork = milliseconds(60);
constexpr uint64_t kFirstStatusCheck = 1000000;

/** What a simulated pair does, or fails to do. */
struct PairOptions
{
  bool hasLimit = true;
  bool checksStatus = true;
  bool statesLoad = true;
};

/** A backend server and the decisions of the daemon beside it, with a manual
 * clock. Work goes on when its caller leaves, and a full server resets the
 * connection. */
class SimulatedPair
{
public:
  explicit SimulatedPair(PairOptions aOptions = {})
    : options(aOptions)
  {
    this->queue.SetSlots(kSlots);
    if (this->options.hasLimit) {
      this->queue.Cold().SetRate(kPerSecond, kFactor, kMargin);
    }
  }

  /** @return Whether the request was refused at once. */
  bool Offer(Time aNow, const SlotRequest& aRequest)
  {
    this->requests[aRequest.id] = aRequest;
    auto refused = this->queue.Offer(aNow, aRequest);
    this->refusals += refused.size();
    return !refused.empty();
  }

  void BecomeCold(Time aNow, Duration aTime) { this->coldUntil = aNow + aTime; }

  void Step(Time aNow)
  {
    if (aNow >= this->nextHeartbeat) {
      this->nextHeartbeat = aNow + kHeartbeat;
      this->queue.Cold().OnHeartbeat(
        aNow, aNow < this->coldUntil ? this->coldUntil : Time());
    }
    this->Receive(aNow);
    this->Work(aNow);
    this->refusals += this->queue.Expire(aNow).size();
    this->CheckStatus(aNow);
    for (auto id : this->queue.Start(aNow)) {
      if (this->queue.Cold().MaySend(aNow)) {
        this->Send(aNow, id);
      } else {
        this->queue.OnFinished(aNow, id, false);
        ++this->refusals;
      }
    }
  }

  /** The caller of a request that runs leaves, if there is one. */
  void Leave(Time aNow)
  {
    for (auto& each : this->work) {
      if (!each.abandoned) {
        each.abandoned = true;
        this->queue.OnAbandoned(aNow, each.id);
        return;
      }
    }
  }

  SlotQueue queue{ [](const SlotRequest&) { return true; } };
  Time nextHeartbeat = kStart;
  double slowness = 1;
  size_t mostWhileCold = 0; ///< Most requests in a second.
  size_t sentToFull = 0;    ///< Requests that came while all slots were in use.
  size_t statusChecks = 0;
  size_t refusals = 0;
  size_t inTime = 0;
  size_t late = 0;

private:
  struct Running
  {
    uint64_t id = 0;
    Duration left = kWork; ///< At the usual speed.
    bool abandoned = false;
  };
  struct Response
  {
    uint64_t id = 0;
    bool failed = false;
    ServerLoad load;
    Duration coldFor = Duration(0);
    Time sentAt;
  };

  ServerLoad Load() const
  {
    return {
      static_cast<uint32_t>(this->work.size()), 0, kSlots, this->slowness
    };
  }

  void Send(Time aNow, uint64_t aId)
  {
    this->queue.Cold().OnSent(aNow, aId);
    if (aNow < this->coldUntil) {
      this->coldArrivals.push_back(aNow);
      while (this->coldArrivals.front() <= aNow - seconds(1)) {
        this->coldArrivals.pop_front();
      }
      this->mostWhileCold =
        std::max(this->mostWhileCold, this->coldArrivals.size());
    }
    if (aId >= kFirstStatusCheck) {
      auto cold = std::max(Duration(this->coldUntil - aNow), Duration(0));
      this->responses.emplace(aNow + kStep,
                              Response{ aId, false, this->Load(), cold, aNow });
    } else if (this->work.size() >= kSlots) {
      ++this->sentToFull;
      this->responses.emplace(aNow + kStep,
                              Response{ aId, true, {}, Duration(0), aNow });
    } else {
      this->work.push_back({ aId });
    }
  }

  void Work(Time aNow)
  {
    auto done = std::chrono::duration_cast<Duration>(kStep / this->slowness);
    for (auto each = this->work.begin(); each != this->work.end();) {
      each->left -= done;
      if (each->left > Duration(0)) {
        ++each;
        continue;
      }
      auto ended = *each;
      each = this->work.erase(each);
      if (!ended.abandoned) {
        this->responses.emplace(
          aNow + kStep,
          Response{ ended.id, false, this->Load(), Duration(0), aNow });
      }
    }
  }

  void Receive(Time aNow)
  {
    while (!this->responses.empty() && this->responses.begin()->first <= aNow) {
      auto response = this->responses.begin()->second;
      this->responses.erase(this->responses.begin());
      if (this->options.statesLoad && !response.failed) {
        this->queue.OnStatedLoad(aNow, response.id, response.load);
      }
      bool isCheck = response.id >= kFirstStatusCheck;
      if (isCheck) {
        this->queue.Cold().OnResponse(response.sentAt, aNow, response.coldFor);
        this->schedule.OnEnded(aNow, true);
      } else if (!response.failed) {
        bool onTime = aNow <= this->requests[response.id].targetTime;
        ++(onTime ? this->inTime : this->late);
      }
      this->queue.OnFinished(aNow, response.id, !isCheck && !response.failed);
    }
  }

  void CheckStatus(Time aNow)
  {
    if (this->options.checksStatus &&
        this->schedule.IsDue(aNow, this->queue.Cold(), kHeartbeat) &&
        this->queue.StartStatusCheck(aNow, this->nextCheck)) {
      ++this->statusChecks;
      this->schedule.OnSent(aNow);
      this->Send(aNow, this->nextCheck++);
    }
  }

  PairOptions options;
  StatusSchedule schedule;
  std::map<uint64_t, SlotRequest> requests;
  std::vector<Running> work;
  std::multimap<Time, Response> responses; ///< On their way, by arrival.
  std::deque<Time> coldArrivals;           ///< In the last second.
  Time coldUntil;
  uint64_t nextCheck = kFirstStatusCheck;
};

SlotRequest
MakeRequest(uint64_t aId, Time aNow)
{
  SlotRequest request;
  request.id = aId;
  request.requestClass = "plan-view";
  request.priority = 1;
  request.arrivedAt = aNow;
  request.targetTime = aNow + milliseconds(200);
  request.deadline = aNow + milliseconds(1200);
  request.notBefore = aNow;
  return request;
}

/** Several pairs that serve the same requests. Each request goes to the one
 * with the shortest expected time out of three; if it is refused at once, to
 * another one. */
struct Fleet
{
  std::vector<std::unique_ptr<SimulatedPair>> pairs;
  std::mt19937_64 random;
  uint64_t next = 1;
  size_t offered = 0;

  Fleet(size_t aPairs, PairOptions aOptions, uint64_t aSeed)
    : random(aSeed)
  {
    for (size_t index = 0; index < aPairs; ++index) {
      this->pairs.push_back(std::make_unique<SimulatedPair>(aOptions));
      this->pairs.back()->nextHeartbeat =
        kStart +
        kHeartbeat * static_cast<int64_t>(index) / static_cast<int64_t>(aPairs);
    }
  }

  void Offer(Time aNow)
  {
    ++this->offered;
    std::vector<SimulatedPair*> some;
    for (const auto& each : this->pairs) {
      some.push_back(each.get());
    }
    std::shuffle(some.begin(), some.end(), this->random);
    auto first = std::min_element(
      some.begin(),
      some.begin() + std::min<std::ptrdiff_t>(3, some.end() - some.begin()),
      [&](auto* aLeft, auto* aRight) {
        return aLeft->queue.ExpectedLatency(aNow, "plan-view") <
               aRight->queue.ExpectedLatency(aNow, "plan-view");
      });
    auto request = MakeRequest(this->next++, aNow);
    request.mayRunElsewhere = true;
    if ((*first)->Offer(aNow, request)) {
      some.back()->Offer(aNow, request);
    }
  }

  void Run(Time aFrom, Time aUntil, double aPerSecond)
  {
    for (auto now = aFrom; now < aUntil; now += kStep) {
      std::poisson_distribution<int> arrivals(aPerSecond / 1000);
      for (int count = arrivals(this->random); count > 0; --count) {
        this->Offer(now);
      }
      for (const auto& each : this->pairs) {
        each->Step(now);
      }
    }
  }

  double InTime() const
  {
    double sum = 0;
    for (const auto& each : this->pairs) {
      sum += static_cast<double>(each->inTime);
    }
    return sum / static_cast<double>(this->offered);
  }
};

/** Runs requests at a pair at a steady rate. */
void
RunSteadily(SimulatedPair& aPair, Time aFrom, Time aUntil, Duration aInterval)
{
  static uint64_t next = 1;
  auto arrival = aFrom;
  for (auto now = aFrom; now < aUntil; now += kStep) {
    for (; arrival <= now; arrival += aInterval) {
      aPair.Offer(now, MakeRequest(next++, now));
    }
    aPair.Step(now);
  }
}

} // namespace

// Guards against servers that crash since they get the usual rate while cold,
// and against requests that wait or fail there while others have free slots.
SCENARIO("A zone's servers all become cold at once under full load",
         "[cold][coldservers]")
{
  const uint64_t seed = GENERATE(range(1, 6));
  CAPTURE(seed);
  // 12 servers of four zones. The nine others can run 750 requests a second.
  Fleet fleet(12, {}, seed);
  auto onset = kStart + seconds(4);
  fleet.Run(kStart, onset, 600);
  for (size_t index = 0; index < 12; index += 4) {
    fleet.pairs[index]->BecomeCold(onset, seconds(8));
  }
  fleet.Run(onset, onset + seconds(12), 600);
  for (size_t index = 0; index < 12; index += 4) {
    CHECK(fleet.pairs[index]->mostWhileCold > 15);
    CHECK(fleet.pairs[index]->mostWhileCold <= kBound);
  }
  CHECK(fleet.InTime() > 0.97);
}

// Guards against a server that gets the usual rate until its next heartbeat
// says that it is cold.
SCENARIO("A server becomes cold between two heartbeats", "[cold][coldservers]")
{
  const int64_t after = GENERATE(1, 100, 300, 600, 860);
  const double perSecond = GENERATE(25, 40, 60, 80);
  CAPTURE(after, perSecond);
  auto interval = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1 / perSecond));
  auto onset = kStart + kHeartbeat * 4 + milliseconds(after);
  SimulatedPair pair;
  RunSteadily(pair, kStart, onset, interval);
  auto before = std::chrono::duration<double>(onset - kStart).count();

  THEN("status checks tell in time, and are as few as the rate requires")
  {
    CHECK(pair.statusChecks > 0);
    CHECK(static_cast<double>(pair.statusChecks) <=
          before * (perSecond / 18 + 0.5));
    pair.BecomeCold(onset, seconds(5));
    RunSteadily(pair, onset, onset + seconds(5), interval);
    CHECK(pair.mostWhileCold <= kBound);
    CHECK(pair.mostWhileCold >= 20);
  }
}

SCENARIO("Status checks are sent as the rate requires", "[cold][coldservers]")
{
  GIVEN("a rate at which heartbeats suffice")
  {
    SimulatedPair pair;
    RunSteadily(pair, kStart, kStart + seconds(20), milliseconds(55));
    CHECK(pair.statusChecks == 0);
  }
  GIVEN("a service whose cold servers have no limit")
  {
    SimulatedPair pair({ false, true, true });
    RunSteadily(pair, kStart, kStart + seconds(20), milliseconds(15));
    CHECK(pair.statusChecks == 0);
  }
  GIVEN("a server that is known to be cold")
  {
    SimulatedPair pair;
    pair.BecomeCold(kStart, seconds(60));
    RunSteadily(pair, kStart, kStart + seconds(20), milliseconds(15));
    CHECK(pair.statusChecks == 0);
  }
  GIVEN("a very high rate")
  {
    ColdLimit limit;
    limit.SetRate(kPerSecond, kFactor, kMargin);
    StatusSchedule schedule;
    int checks = 0;
    for (int64_t ms = 0; ms < 2000; ++ms) {
      auto now = kStart + milliseconds(ms);
      limit.OnSent(now, static_cast<uint64_t>(ms));
      if (schedule.IsDue(now, limit, kHeartbeat)) {
        schedule.OnSent(now);
        ++checks;
        limit.OnResponse(now, now, Duration(0));
        schedule.OnEnded(now, true);
      }
    }
    THEN("they are 100 ms apart")
    {
      CHECK(checks >= 18);
      CHECK(checks <= 20);
    }
  }
  GIVEN("a server whose responses do not state whether it is cold")
  {
    ColdLimit limit;
    limit.SetRate(kPerSecond, kFactor, kMargin);
    StatusSchedule schedule;
    int checks = 0;
    for (int64_t ms = 0; ms < 10000; ms += 10) {
      auto now = kStart + milliseconds(ms);
      limit.OnSent(now, static_cast<uint64_t>(ms));
      if (schedule.IsDue(now, limit, kHeartbeat)) {
        schedule.OnSent(now);
        ++checks;
        schedule.OnEnded(now, false);
      }
    }
    THEN("it is seldom asked")
    {
      CHECK(checks <= 10);
    }
  }
}

// Guards against estimates that are means over seconds, so that requests go to
// a machine that is slow for 400 ms and are late there, and against learned
// times that such a machine distorts.
SCENARIO("A noisy machine", "[statedload][coldservers]")
{
  const uint64_t seed = GENERATE(range(1, 4));
  CAPTURE(seed);
  auto run = [&](bool aStates) {
    Fleet fleet(10, { true, true, aStates }, seed);
    std::mt19937_64 random(seed);
    double sum = 0; // Of the learned times, in milliseconds.
    int count = 0;
    for (auto now = kStart; now < kStart + seconds(20);
         now += milliseconds(400)) {
      for (const auto& each : fleet.pairs) {
        // A fifth of the machines are three times slower.
        each->slowness = std::bernoulli_distribution(0.2)(random) ? 3 : 1;
      }
      fleet.Run(now, now + milliseconds(400), 500);
      for (const auto& each : fleet.pairs) {
        auto learned = each->queue.Times().Estimate("plan-view", kWork);
        sum += std::chrono::duration<double, std::milli>(learned).count();
        ++count;
      }
    }
    return std::make_pair(fleet.InTime(), sum / count);
  };
  auto [inTime, learned] = run(true);
  auto [inTimeWithout, learnedWithout] = run(false);
  CAPTURE(inTime, learned, inTimeWithout, learnedWithout);
  CHECK(inTime > 0.97);
  CHECK(inTime > inTimeWithout + 0.02);
  // 61 ms at the usual speed, of which 1 ms is the way of the response.
  CHECK(learned == Approx(61).margin(6));
  CHECK(learnedWithout > 70);
}

// Guards against requests that are sent to a full server, which resets the
// connection, since the daemon counts the slot of a caller that left as free.
SCENARIO("Callers that leave while the server keeps working",
         "[statedload][coldservers]")
{
  const uint64_t seed = GENERATE(range(1, 6));
  CAPTURE(seed);
  auto run = [&](bool aStates) {
    std::mt19937_64 random(seed);
    SimulatedPair pair({ true, true, aStates });
    uint64_t next = 1;
    for (auto now = kStart; now < kStart + seconds(20); now += kStep) {
      std::poisson_distribution<int> arrivals(0.09);
      for (int count = arrivals(random); count > 0; --count) {
        pair.Offer(now, MakeRequest(next++, now));
      }
      if (std::uniform_int_distribution<int>(0, 99)(random) == 0) {
        pair.Leave(now);
      }
      pair.Step(now);
    }
    return std::pair(pair.sentToFull, pair.inTime + pair.late);
  };
  auto [full, served] = run(true);
  auto [fullWithout, servedWithout] = run(false);
  CAPTURE(full, served, fullWithout, servedWithout);
  CHECK(fullWithout > 50);
  CHECK(full * 20 < fullWithout);
  CHECK(served * 10 > servedWithout * 9);
}

SCENARIO("A wrong or stale statement does not stop a server", "[statedload]")
{
  SlotQueue queue([](const SlotRequest&) { return true; });
  queue.SetSlots(kSlots);
  uint64_t next = 1;
  /** Whether a request that arrives now is started at once. */
  auto starts = [&](Time aNow) {
    auto id = next++;
    queue.Offer(aNow, MakeRequest(id, aNow));
    bool started = queue.Start(aNow) == std::vector<uint64_t>{ id };
    queue.Cancel(id);
    if (started) {
      queue.Cold().OnSent(aNow, id);
      queue.OnFinished(aNow, id, false);
    }
    return started;
  };
  auto later = [](int64_t aMs) { return kStart + milliseconds(aMs); };

  GIVEN("a statement that all slots are in use")
  {
    queue.OnStatedLoad(kStart, 0, { 100, 50, 5, {} });
    CHECK(queue.Stated().OtherWork(kStart) == 150);
    THEN("no request starts, and the wait is estimated")
    {
      CHECK_FALSE(starts(later(10)));
      CHECK(queue.ExpectedLatency(later(10), "plan-view") > Duration(0));
      CHECK(queue.ExpectedLatency(later(10), "plan-view") <= milliseconds(500));
    }
    THEN("it counts for half a second")
    {
      CHECK(starts(later(501)));
    }
    THEN("a later one replaces it")
    {
      queue.OnStatedLoad(later(20), 0, { 0, 0, 5, {} });
      CHECK(starts(later(21)));
    }
    THEN("another server process has none of the work")
    {
      queue.ResetServer();
      CHECK(starts(later(10)));
    }
  }
  GIVEN("requests that the daemon itself has sent")
  {
    // Guards against slots that stay unused since the daemon's own requests
    // count twice.
    for (uint64_t id = 101; id <= 104; ++id) {
      queue.Offer(kStart, MakeRequest(id, kStart));
      queue.Start(kStart);
      queue.Cold().OnSent(kStart, id);
    }
    THEN("a statement that includes the one that ends adds nothing")
    {
      queue.OnStatedLoad(later(60), 101, { 4, 0, 5, {} });
      CHECK(queue.Stated().OtherWork(later(60)) == 0);
    }
    THEN("nor does one that does not include it")
    {
      queue.OnStatedLoad(later(60), 101, { 3, 0, 5, {} });
      CHECK(queue.Stated().OtherWork(later(60)) == 0);
    }
    THEN("what exceeds them occupies slots")
    {
      queue.OnStatedLoad(later(60), 101, { 6, 0, 5, {} });
      CHECK(queue.Stated().OtherWork(later(60)) == 2);
    }
    THEN("a request whose caller left counts until a statement without it")
    {
      queue.OnStatedLoad(later(10), 104, { 3, 0, 5, {} });
      queue.OnFinished(later(10), 104, true);
      queue.OnAbandoned(later(20), 101);
      CHECK(queue.Stated().OtherWork(later(20)) == 1);
      queue.OnStatedLoad(later(30), 102, { 2, 0, 5, {} });
      CHECK(queue.Stated().OtherWork(later(30)) == 1);
      queue.OnStatedLoad(later(30), 102, { 1, 0, 5, {} });
      CHECK(queue.Stated().OtherWork(later(30)) == 0);
    }
  }
  GIVEN("a server that states nothing")
  {
    // Such deployments are served as before.
    queue.Offer(kStart, MakeRequest(101, kStart));
    queue.Start(kStart);
    queue.Cold().OnSent(kStart, 101);
    queue.OnAbandoned(later(10), 101);
    CHECK(queue.Stated().OtherWork(later(10)) == 0);
    CHECK(queue.Stated().Slowness(later(10)) == 1);
  }
  GIVEN("a stated slowness")
  {
    StatedLoad stated;
    stated.OnStatement(kStart, { 0, 0, 5, 3.0 }, {});
    THEN("it counts for 300 ms")
    {
      CHECK(stated.Slowness(later(299)) == 3);
      CHECK(stated.Slowness(later(300)) == 1);
    }
    THEN("a statement without one changes nothing")
    {
      stated.OnStatement(later(10), { 0, 0, 5, {} }, {});
      CHECK(stated.Slowness(later(20)) == 3);
    }
    THEN("times are converted to those at the usual speed")
    {
      // 300 ms before and after it at a third of the speed, then 100 ms.
      CHECK(stated.AtUsualSpeed(later(-300), later(400)) == milliseconds(300));
      stated.OnStatement(later(60), { 0, 0, 5, 1.0 }, {});
      CHECK(stated.AtUsualSpeed(kStart, later(100)) == milliseconds(60));
      CHECK(stated.AtUsualSpeed(later(-60), later(60)) == milliseconds(40));
    }
    THEN("a senseless one is bounded")
    {
      stated.OnStatement(later(10), { 0, 0, 5, 1e6 }, {});
      CHECK(stated.Slowness(later(10)) <= 20);
      stated.OnStatement(later(20), { 0, 0, 5, 1e-6 }, {});
      CHECK(stated.Slowness(later(20)) >= 0.1);
    }
  }
}
