#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

#include "scheduling/scheduling.h"
#include "scheduling/simulation.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using Kind = ScheduleDecision::Kind;

constexpr Duration kSecond = std::chrono::seconds(1);

/** A scheduler with a manual clock and short-hand calls. */
struct Fixture
{
  Scheduler scheduler;
  Time now = FromBootNanoseconds(1);
  std::vector<ClassTarget> targets;

  explicit Fixture(uint32_t aSlots,
                   const SimulatedService& aService = Dossier())
    : scheduler(aSlots)
  {
    for (const auto& each : aService.classes) {
      this->targets.push_back(each.target);
    }
    this->scheduler.SetTargets(this->targets);
  }

  ScheduleDecisions Offer(uint64_t aId,
                          const std::string& aClass,
                          const std::string& aKey = "a",
                          Duration aDeadline = 4 * kSecond)
  {
    return this->scheduler.Offer(
      this->now,
      { aId, "dossier", aClass, aKey, this->now, this->now + aDeadline });
  }

  ScheduleDecisions Finish(uint64_t aId, RunEnd aEnd = RunEnd::Done)
  {
    return this->scheduler.Finished(this->now, aId, aEnd);
  }

  /** Lets requests of a class end, one after another, each after a time. */
  void Teach(const std::string& aClass, Duration aTime, int aTimes)
  {
    for (int index = 0; index < aTimes; ++index) {
      uint64_t id = 1000000 + static_cast<uint64_t>(index);
      this->Offer(id, aClass);
      this->now += aTime;
      this->Finish(id);
    }
  }
};

size_t
Count(const ScheduleDecisions& aDecisions, Kind aKind)
{
  return static_cast<size_t>(std::count_if(
    aDecisions.begin(), aDecisions.end(), [aKind](const auto& aDecision) {
      return aDecision.kind == aKind;
    }));
}

} // namespace

TEST_CASE("The scheduler hands out slots", "[scheduling]")
{
  Fixture fixture(1);
  auto first = fixture.Offer(1, "report");
  REQUIRE(first.size() == 1);
  CHECK(first[0].kind == Kind::Start);

  SECTION("the next request waits for a free slot")
  {
    CHECK(fixture.Offer(2, "report").empty());
    auto next = fixture.Finish(1);
    REQUIRE(next.size() == 1);
    CHECK(next[0].id == 2);
    CHECK(next[0].kind == Kind::Start);
  }
  SECTION("a request whose deadline passed while waiting is refused")
  {
    Duration deadline = std::chrono::milliseconds(30);
    fixture.Offer(2, "report", "a", deadline);
    fixture.now += deadline;
    auto refused = fixture.scheduler.Tick(fixture.now);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].id == 2);
    CHECK(refused[0].kind == Kind::Refuse);
    CHECK(refused[0].retryAfter > Duration(0));
  }
  SECTION("a cancelled request is decided no more")
  {
    fixture.Offer(2, "report");
    fixture.scheduler.Cancel(2);
    CHECK(fixture.scheduler.Waiting() == 0);
    CHECK(fixture.Finish(1).empty());
  }
  SECTION("a request ends once")
  {
    fixture.Offer(2, "report");
    CHECK(fixture.Finish(1).size() == 1);
    CHECK(fixture.Finish(1).empty());
    CHECK(fixture.scheduler.Running() == 1);
  }
}

TEST_CASE("Slow classes leave a slot to faster ones", "[scheduling]")
{
  Fixture fixture(6);
  fixture.Teach("bundle", std::chrono::milliseconds(60), 20);
  size_t started = 0;
  for (uint64_t id = 1; id <= 6; ++id) {
    started +=
      Count(fixture.Offer(id, "bundle", std::to_string(id)), Kind::Start);
  }
  CHECK(started == 5);
  CHECK(Count(fixture.Offer(7, "report"), Kind::Start) == 1);
}

TEST_CASE("Targets change while requests wait", "[scheduling]")
{
  Fixture fixture(1);
  fixture.Offer(1, "report");
  std::set<uint64_t> open;
  for (uint64_t id = 2; id <= 4; ++id) {
    fixture.Offer(id, id % 2 == 0 ? "report" : "bundle");
    open.insert(id);
  }
  REQUIRE(fixture.scheduler.Waiting() == 3);
  SECTION("a class is removed")
  {
    fixture.scheduler.SetTargets({});
  }
  SECTION("a class is revised")
  {
    for (auto& target : fixture.targets) {
      target.latency *= 2;
    }
    fixture.scheduler.SetTargets(fixture.targets);
  }
  SECTION("a class is added")
  {
    ClassTarget target = fixture.targets[0];
    target.name = "notice";
    fixture.targets.push_back(target);
    fixture.scheduler.SetTargets(fixture.targets);
    fixture.Offer(5, "notice");
    open.insert(5);
  }
  SECTION("a class is removed and added again")
  {
    fixture.scheduler.SetTargets({});
    fixture.scheduler.Tick(fixture.now);
    fixture.scheduler.SetTargets(fixture.targets);
  }
  uint64_t running = 1;
  while (!open.empty()) {
    auto next = fixture.Finish(running);
    REQUIRE(next.size() == 1);
    REQUIRE(next[0].kind == Kind::Start);
    REQUIRE(open.erase(next[0].id) == 1);
    running = next[0].id;
  }
  CHECK(fixture.scheduler.Waiting() == 0);
}

TEST_CASE("A class without a target is served", "[scheduling]")
{
  Fixture fixture(1);
  CHECK(Count(fixture.Offer(1, "unheard-of"), Kind::Start) == 1);
  CHECK(fixture.Offer(2, "unheard-of").empty());
  CHECK(Count(fixture.Finish(1), Kind::Start) == 1);
}

TEST_CASE("What waits is bounded", "[scheduling]")
{
  Fixture fixture(1);
  fixture.Offer(1, "bundle");
  size_t open = 0;
  for (uint64_t id = 2; id < 2000; ++id) {
    open +=
      1 - Count(fixture.Offer(id, "bundle", std::to_string(id)), Kind::Refuse);
  }
  CHECK(open == fixture.scheduler.Waiting());
  CHECK(fixture.scheduler.Waiting() <= 256);
}

TEST_CASE("Keys of a class take turns", "[scheduling]")
{
  ClassQueue queue;
  Time now;
  for (uint64_t id = 1; id <= 3; ++id) {
    queue.Push(7, id, now);
  }
  queue.Push(8, 4, now);
  std::vector<uint64_t> order;
  SECTION("each key's own requests stay in order")
  {
    while (queue.Size() != 0) {
      order.push_back(queue.Front());
      queue.PopFront();
    }
    CHECK(order == std::vector<uint64_t>{ 1, 4, 2, 3 });
  }
  SECTION("another key pushes out the newest of the longest")
  {
    CHECK(queue.PushOut(9) == 3);
    CHECK_FALSE(queue.PushOut(7).has_value());
    CHECK(queue.Size() == 3);
  }
  SECTION("a request is removed from the middle")
  {
    CHECK(queue.Remove(7, 2));
    CHECK_FALSE(queue.Remove(7, 2));
    CHECK_FALSE(queue.Remove(9, 2));
    CHECK(queue.Remove(8, 4));
    CHECK(queue.Keys() == 1);
    CHECK(queue.Size() == 2);
  }
}

TEST_CASE("The limit follows what comes back", "[scheduling]")
{
  BackendEstimate backend(6);
  Time now = FromBootNanoseconds(1);
  Duration usual = std::chrono::milliseconds(10);
  auto run = [&](uint64_t aFirst, int aCount, RunEnd aEnd) {
    for (uint64_t id = aFirst; id < aFirst + aCount; ++id) {
      backend.Started(now, id, usual);
    }
    now += usual;
    for (uint64_t id = aFirst; id < aFirst + aCount; ++id) {
      backend.Finished(now, id, aEnd, usual);
    }
  };
  REQUIRE(backend.State().limit == 6);

  SECTION("a shed lowers it at once to what ran beside")
  {
    for (uint64_t id = 1; id <= 4; ++id) {
      backend.Started(now, id, usual);
    }
    backend.Finished(now, 4, RunEnd::Shed, usual);
    CHECK(backend.State().limit == 3);
    SECTION("and answers raise it again")
    {
      run(10, 6, RunEnd::Done);
      run(20, 6, RunEnd::Done);
      run(30, 6, RunEnd::Done);
      CHECK(backend.State().limit == 6);
    }
  }
  SECTION("a restart begins low and ramps up")
  {
    backend.Restart();
    CHECK(backend.State().limit == 2);
    run(1, 2, RunEnd::Done);
    CHECK(backend.State().limit == 2);
    run(10, 20, RunEnd::Done);
    CHECK(backend.State().limit == 6);
  }
  SECTION("a report of full is not believed while answers are quick")
  {
    run(1, 6, RunEnd::Done);
    backend.Report({ now, 1, true });
    backend.Tick(now);
    CHECK(backend.State().limit == 6);
  }
  SECTION("a report of idle does not undo a shed")
  {
    backend.Started(now, 1, usual);
    backend.Finished(now, 1, RunEnd::Shed, usual);
    backend.Report({ now, 0, true });
    backend.Tick(now);
    CHECK(backend.State().limit == 1);
  }
  SECTION("silence is noticed by what does not come back")
  {
    backend.Started(now, 1, usual);
    backend.Report({ now, 0, true });
    now += kSecond;
    backend.Tick(now);
    CHECK(backend.State().frozen);
    CHECK(backend.State().limit == 0);
    SECTION("one probe goes out, then none until the next is due")
    {
      now += kSecond;
      backend.Tick(now);
      CHECK(backend.State().limit == 2);
      backend.Started(now, 2, usual);
      CHECK(backend.State().limit == 0);
    }
    SECTION("an answer ends it and the limit ramps up")
    {
      backend.Finished(now, 1, RunEnd::Done, usual);
      CHECK_FALSE(backend.State().frozen);
      CHECK(backend.State().limit == 2);
    }
    SECTION("a lost request does not end it")
    {
      backend.Finished(now, 1, RunEnd::Lost, usual);
      CHECK(backend.State().frozen);
    }
  }
  SECTION("an idle backend server is not frozen")
  {
    run(1, 1, RunEnd::Done);
    now += kSecond;
    backend.Tick(now);
    CHECK_FALSE(backend.State().frozen);
  }
}

TEST_CASE("A frozen backend server's queue is answered at once", "[scheduling]")
{
  Fixture fixture(1);
  fixture.Offer(1, "report");
  fixture.Offer(2, "bundle");
  fixture.Offer(3, "bundle", "b");
  fixture.now += kSecond;
  auto decisions = fixture.scheduler.Tick(fixture.now);
  CHECK(Count(decisions, Kind::Refuse) == 2);
  CHECK(fixture.scheduler.Waiting() == 0);
  auto refused = fixture.Offer(4, "report");
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].kind == Kind::Refuse);
  CHECK(refused[0].retryAfter > Duration(0));

  SECTION("a request that must not run twice is no probe")
  {
    fixture.now += kSecond;
    CHECK(Count(fixture.Offer(5, "fixture-log"), Kind::Refuse) == 1);
    CHECK(Count(fixture.Offer(6, "report"), Kind::Start) == 1);
  }
}

TEST_CASE("Capacity is divided by the targets", "[scheduling]")
{
  std::vector<ClassState> table(3);
  ClassRows rows;
  for (size_t index = 0; index < table.size(); ++index) {
    table[index].target = Dossier().classes[index].target;
    table[index].offered = 4;
    rows.push_back(&table[index]);
  }
  SECTION("the higher share goes first, each class keeps its floor")
  {
    DivideByRank(rows, 6, 1);
    CHECK(table[1].allotted == Approx(4)); // fixture-log, 0.99
    CHECK(table[0].allotted == Approx(1)); // report, 0.98
    CHECK(table[2].allotted == Approx(1)); // bundle, 0.95
    CHECK(table[1].covered);
    CHECK_FALSE(table[0].covered);
  }
  SECTION("with equal shares the tighter latency goes first")
  {
    table[0].target.share = table[1].target.share;
    DivideByRank(rows, 6, 1);
    CHECK(table[0].allotted == Approx(4));
    CHECK(table[1].allotted == Approx(1));
  }
  SECTION("a small lack is spread over the allowed losses")
  {
    DivideByRank(rows, 12 * 0.985, 1);
    for (const auto& row : table) {
      CHECK(row.covered);
    }
  }
}

TEST_CASE("Simulated loads meet the stated goals", "[scheduling]")
{
  for (const auto& service : { Agenda(), Dossier(), Nordvik() }) {
    SimulationSettings settings;
    settings.service = service;
    DYNAMIC_SECTION(service.name << " meets every target below capacity")
    {
      settings.load = 0.8;
      for (const auto& shape : { LoadShape::Steady, LoadShape::Bursty }) {
        settings.shape = shape;
        auto result = Simulate(settings, MakeTargetPolicy());
        for (const auto& each : result.classes) {
          INFO(each.name);
          CHECK(each.met);
        }
      }
    }
    DYNAMIC_SECTION(service.name << " keeps its goodput under overload")
    {
      settings.load = 1;
      double atCapacity = Simulate(settings, MakeTargetPolicy()).goodput;
      settings.load = 2;
      auto result = Simulate(settings, MakeTargetPolicy());
      CHECK(result.goodput >= 0.95 * atCapacity);
      CHECK(result.undecided == 0);
      for (const auto& each : result.classes) {
        INFO(each.name);
        CHECK(each.Share() > 0);
        CHECK(each.shortestRetry > Duration(0));
      }
    }
    DYNAMIC_SECTION(service.name << " keeps a hot key from its neighbours")
    {
      settings.load = 1.3;
      settings.shape = LoadShape::HotKey;
      auto result = Simulate(settings, MakeTargetPolicy());
      for (const auto& each : result.classes) {
        INFO(each.name);
        double neighbours = static_cast<double>(each.neighboursThrough) /
                            static_cast<double>(each.neighbours);
        CHECK(neighbours >= each.Share());
      }
    }
    DYNAMIC_SECTION(service.name << " decides every request while frozen")
    {
      settings.load = 0.8;
      settings.fault = BackendFault::Frozen;
      auto result = Simulate(settings, MakeTargetPolicy());
      CHECK(result.undecided == 0);
      for (const auto& each : result.classes) {
        INFO(each.name);
        CHECK(each.refusedAfter < settings.callerDeadline / 4);
      }
    }
    DYNAMIC_SECTION(service.name << " is not fooled by a report of full")
    {
      settings.fault = BackendFault::ReportsFull;
      settings.load = 0.8;
      for (const auto& each : Simulate(settings, MakeTargetPolicy()).classes) {
        INFO(each.name);
        CHECK(each.met);
      }
    }
  }
}

TEST_CASE("A late holder check does not block the grants", "[scheduling]")
{
  SimulationSettings settings;
  settings.service = Nordvik();
  settings.load = 1.3;
  auto result = Simulate(settings, MakeTargetPolicy());
  CHECK(result.Of("licence-grant").met);
  CHECK(result.Of("holder-check").mostRunning < settings.service.slots);
  CHECK(result.Of("download").mostRunning < settings.service.slots);
}
