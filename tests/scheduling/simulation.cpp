#include "scheduling/simulation.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <stdexcept>

namespace fescuetiller {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kReportInterval = std::chrono::milliseconds(200);
constexpr Duration kShedAfter = std::chrono::microseconds(300);
constexpr Duration kHalfBurst = std::chrono::milliseconds(250);
constexpr double kBurstHigh = 1.75;
constexpr double kBurstLow = 0.25;
constexpr Duration kFrozenFrom = std::chrono::seconds(5);
constexpr Duration kFrozenFor = std::chrono::seconds(1);
constexpr Duration kWarmAfter = std::chrono::seconds(2);
constexpr double kColdFactor = 4;
constexpr uint64_t kKeys = 10000;
const char* const kHotKey = "hot";

SimulatedClass
MakeClass(const std::string& aService,
          const std::string& aName,
          int aLatencyMs,
          double aPercentile,
          double aShare,
          bool aIdempotent,
          double aPerSecond,
          int aServiceMs)
{
  SimulatedClass made;
  made.target.service = aService;
  made.target.name = aName;
  made.target.latency = std::chrono::milliseconds(aLatencyMs);
  made.target.percentile = aPercentile;
  made.target.share = aShare;
  made.target.idempotent = aIdempotent;
  made.perSecond = aPerSecond;
  made.service = std::chrono::milliseconds(aServiceMs);
  return made;
}

Duration
Percentile(std::vector<Duration>& aValues, double aPercentile)
{
  if (aValues.empty()) {
    return Duration(0);
  }
  std::sort(aValues.begin(), aValues.end());
  auto rank = static_cast<size_t>(
    std::ceil(aPercentile / 100 * static_cast<double>(aValues.size())));
  return aValues[std::max<size_t>(rank, 1) - 1];
}

struct Event
{
  enum class Kind
  {
    Arrival,
    Answer,
    Shed,
    Deadline,
    Tick,
    Report
  };
  Time at;
  uint64_t sequence = 0;
  Kind kind = Kind::Tick;
  uint64_t id = 0; ///< Request, or class of an arrival.

  friend bool operator<(const Event& aLeft, const Event& aRight)
  {
    return std::tie(aRight.at, aRight.sequence) <
           std::tie(aLeft.at, aLeft.sequence);
  }
};

struct SimulatedRequest
{
  size_t classIndex = 0;
  bool hot = false;
  Time arrivedAt;
  double work = 0; ///< Drawn on arrival, the same under every policy.
  bool decided = false;
  bool ended = false;
};

struct ClassSamples
{
  std::vector<Duration> latencies;
  std::vector<Duration> refusals;
  uint32_t running = 0;
};

class Simulation
{
public:
  Simulation(const SimulationSettings& aSettings,
             const SchedulingPolicy& aPolicy)
    : settings(aSettings)
    , scheduler(aSettings.service.slots, aPolicy)
    , samples(aSettings.service.classes.size())
  {
    std::vector<ClassTarget> targets;
    double work = 0;
    for (const auto& each : aSettings.service.classes) {
      targets.push_back(each.target);
      ClassResult result;
      result.name = each.target.name;
      result.shortestRetry = Duration::max();
      this->random.emplace_back(aSettings.seed * 1000 + targets.size());
      this->result.classes.push_back(result);
      work += each.perSecond * Seconds(each.service);
    }
    this->scale = aSettings.load * aSettings.service.slots / work;
    this->scheduler.SetTargets(targets);
    if (aSettings.fault == BackendFault::ColdJoin) {
      this->scheduler.BackendRestarted();
    }
  }

  SimulationResult Run()
  {
    for (size_t index = 0; index < this->samples.size(); ++index) {
      this->AddArrival(index);
    }
    this->Add(this->now, Event::Kind::Tick, 0);
    this->Add(this->now, Event::Kind::Report, 0);
    Time end = this->start + this->settings.length;
    while (!this->events.empty()) {
      Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      bool over = this->now >= end;
      this->Handle(event, over);
      this->result.mostWaiting =
        std::max(this->result.mostWaiting, this->scheduler.Waiting());
    }
    this->Summarise();
    return this->result;
  }

private:
  static double Seconds(Duration aDuration)
  {
    return std::chrono::duration<double>(aDuration).count();
  }

  static double Uniform(std::mt19937_64& aRandom)
  {
    return (static_cast<double>(aRandom() >> 11) + 0.5) / 9007199254740992;
  }

  static Duration Exponential(std::mt19937_64& aRandom, double aMeanSeconds)
  {
    double seconds = -aMeanSeconds * std::log(Uniform(aRandom));
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  }

  void Add(Time aAt, Event::Kind aKind, uint64_t aId)
  {
    this->events.push({ aAt, this->nextSequence++, aKind, aId });
  }

  double ShapeFactor() const
  {
    if (this->settings.shape != LoadShape::Bursty) {
      return 1;
    }
    bool high = ((this->now - this->start) / kHalfBurst) % 2 == 0;
    return high ? kBurstHigh : kBurstLow;
  }

  /** Draws the next arrival at the highest rate; Handle thins it out. */
  void AddArrival(size_t aClass)
  {
    double most = this->settings.shape == LoadShape::Bursty ? kBurstHigh : 1;
    double rate =
      this->settings.service.classes[aClass].perSecond * this->scale * most;
    Duration gap = Exponential(this->random[aClass], 1 / rate);
    this->Add(this->now + gap, Event::Kind::Arrival, aClass);
  }

  void Handle(const Event& aEvent, bool aOver)
  {
    switch (aEvent.kind) {
      case Event::Kind::Arrival:
        if (!aOver) {
          this->Arrive(aEvent.id);
          this->AddArrival(aEvent.id);
        }
        break;
      case Event::Kind::Answer:
        --this->backendRunning;
        this->End(aEvent.id, RunEnd::Done);
        break;
      case Event::Kind::Shed:
        this->End(aEvent.id, RunEnd::Shed);
        break;
      case Event::Kind::Deadline:
        this->End(aEvent.id, RunEnd::Lost);
        break;
      case Event::Kind::Tick:
        this->Take(this->scheduler.Tick(this->now));
        if (!aOver || this->scheduler.Waiting() + this->scheduler.Running()) {
          this->Add(this->now + kTick, Event::Kind::Tick, 0);
        }
        break;
      case Event::Kind::Report:
        this->Report();
        if (!aOver) {
          this->Add(this->now + kReportInterval, Event::Kind::Report, 0);
        }
        break;
    }
  }

  void Arrive(size_t aClass)
  {
    auto& source = this->random[aClass];
    double most = this->settings.shape == LoadShape::Bursty ? kBurstHigh : 1;
    if (Uniform(source) >= this->ShapeFactor() / most) {
      return;
    }
    const ClassTarget& target = this->settings.service.classes[aClass].target;
    ClassResult& result = this->result.classes[aClass];
    uint64_t id = this->nextId++;
    bool hot =
      this->settings.shape == LoadShape::HotKey && Uniform(source) < 0.5;
    std::string key = hot ? kHotKey : "key-" + std::to_string(source() % kKeys);
    SimulatedRequest& request = this->requests[id];
    request.classIndex = aClass;
    request.hot = hot;
    request.arrivedAt = this->now;
    request.work = Uniform(source);
    ++result.offered;
    result.neighbours += hot ? 0 : 1;
    Time deadline = this->now + this->settings.callerDeadline;
    this->Take(this->scheduler.Offer(
      this->now,
      { id, target.service, target.name, key, this->now, deadline }));
  }

  void Take(const ScheduleDecisions& aDecisions)
  {
    for (const auto& decision : aDecisions) {
      SimulatedRequest& request = this->requests.at(decision.id);
      if (request.decided) {
        throw std::logic_error("a request was decided twice");
      }
      request.decided = true;
      if (decision.kind == ScheduleDecision::Kind::Start) {
        this->Send(decision.id, request);
      } else {
        ClassResult& result = this->result.classes[request.classIndex];
        result.shortestRetry =
          std::min(result.shortestRetry, decision.retryAfter);
        this->samples[request.classIndex].refusals.push_back(this->now -
                                                             request.arrivedAt);
        request.ended = true;
      }
    }
  }

  uint32_t RealSlots() const
  {
    uint32_t slots = this->settings.service.slots;
    return this->settings.fault == BackendFault::ReportsIdle ? slots / 2
                                                             : slots;
  }

  Duration ServiceTime(const SimulatedRequest& aRequest)
  {
    Duration mean = this->settings.service.classes[aRequest.classIndex].service;
    double factorOfMean = 0.5 - std::log(aRequest.work) / 2;
    auto time = std::chrono::duration_cast<Duration>(mean * factorOfMean);
    Duration age = this->now - this->start;
    if (this->settings.fault == BackendFault::ColdJoin && age < kWarmAfter) {
      double cold = 1 - Seconds(age) / Seconds(kWarmAfter);
      double factor = 1 + (kColdFactor - 1) * cold;
      return std::chrono::duration_cast<Duration>(time * factor);
    }
    return time;
  }

  void Send(uint64_t aId, const SimulatedRequest& aRequest)
  {
    ++this->result.sent;
    auto& running = this->samples[aRequest.classIndex].running;
    auto& most = this->result.classes[aRequest.classIndex].mostRunning;
    most = std::max(most, ++running);
    if (this->backendRunning >= this->RealSlots()) {
      this->Add(this->now + kShedAfter, Event::Kind::Shed, aId);
      return;
    }
    ++this->backendRunning;
    Time answer = this->now + this->ServiceTime(aRequest);
    if (this->settings.fault == BackendFault::Frozen) {
      Time from = this->start + kFrozenFrom;
      bool held = this->now < from + kFrozenFor && answer >= from;
      answer +=
        held ? from + kFrozenFor - std::max(from, this->now) : Duration(0);
    }
    this->Add(answer, Event::Kind::Answer, aId);
    this->Add(aRequest.arrivedAt + this->settings.callerDeadline,
              Event::Kind::Deadline,
              aId);
  }

  void End(uint64_t aId, RunEnd aEnd)
  {
    SimulatedRequest& request = this->requests.at(aId);
    if (request.ended) {
      return;
    }
    request.ended = true;
    size_t index = request.classIndex;
    ClassResult& result = this->result.classes[index];
    const auto& each = this->settings.service.classes[index];
    --this->samples[index].running;
    if (aEnd == RunEnd::Done) {
      Duration latency = this->now - request.arrivedAt;
      this->samples[index].latencies.push_back(latency);
      ++result.through;
      result.neighboursThrough += request.hot ? 0 : 1;
      if (latency <= each.target.latency) {
        ++result.within;
        this->result.goodput += Seconds(each.service);
      }
    }
    this->Take(this->scheduler.Finished(this->now, aId, aEnd));
  }

  void Report()
  {
    double load =
      static_cast<double>(this->backendRunning) / this->settings.service.slots;
    if (this->settings.fault == BackendFault::ReportsIdle) {
      load = 0;
    }
    if (this->settings.fault == BackendFault::ReportsFull) {
      load = 1;
    }
    this->scheduler.ReportLoad({ this->now, load, true });
  }

  void Summarise()
  {
    for (const auto& [id, request] : this->requests) {
      this->result.undecided += request.decided ? 0 : 1;
    }
    for (size_t index = 0; index < this->samples.size(); ++index) {
      auto& result = this->result.classes[index];
      auto& sample = this->samples[index];
      const auto& target = this->settings.service.classes[index].target;
      result.p99 = Percentile(sample.latencies, 99);
      result.atPercentile = Percentile(sample.latencies, target.percentile);
      result.refusedAfter = Percentile(sample.refusals, 99);
      result.met =
        result.Share() >= target.share && result.atPercentile <= target.latency;
    }
    this->result.goodput /=
      this->settings.service.slots * Seconds(this->settings.length);
  }

  SimulationSettings settings;
  Scheduler scheduler;
  std::vector<std::mt19937_64> random; ///< One for each class's arrivals.
  std::vector<ClassSamples> samples;
  SimulationResult result;
  double scale = 1;
  Time start = FromBootNanoseconds(1);
  Time now = start;
  std::priority_queue<Event> events;
  std::map<uint64_t, SimulatedRequest> requests;
  uint64_t nextSequence = 0;
  uint64_t nextId = 1;
  uint32_t backendRunning = 0;
};

} // namespace

double
ClassResult::Share() const
{
  return this->offered == 0 ? 1
                            : static_cast<double>(this->through) /
                                static_cast<double>(this->offered);
}

double
ClassResult::WithinShare() const
{
  return this->offered == 0 ? 1
                            : static_cast<double>(this->within) /
                                static_cast<double>(this->offered);
}

const ClassResult&
SimulationResult::Of(const std::string& aClass) const
{
  auto same = [&](const ClassResult& aResult) {
    return aResult.name == aClass;
  };
  return *std::find_if(this->classes.begin(), this->classes.end(), same);
}

SimulatedService
Agenda()
{
  return { "agenda",
           6,
           { MakeClass("agenda", "lookup", 100, 99, 0.99, true, 200, 4),
             MakeClass("agenda", "booking", 300, 99, 0.99, false, 80, 8) } };
}

SimulatedService
Dossier()
{
  return { "dossier",
           6,
           { MakeClass("dossier", "report", 150, 99, 0.98, true, 40, 5),
             MakeClass("dossier", "fixture-log", 300, 99, 0.99, false, 40, 8),
             MakeClass("dossier", "bundle", 2000, 95, 0.95, true, 20, 60) } };
}

SimulatedService
Nordvik()
{
  return { "nordvik",
           9,
           { MakeClass("nordvik", "rights-lookup", 100, 99, 0.99, true, 200, 4),
             MakeClass("nordvik", "licence-grant", 300, 99, 0.99, false, 80, 8),
             MakeClass("nordvik", "holder-check", 500, 95, 0.95, true, 30, 50),
             MakeClass("nordvik", "download", 2000, 95, 0.95, true, 20, 80),
             MakeClass("nordvik", "takedown", 300, 99, 0.99, false, 40, 8) } };
}

SimulationResult
Simulate(const SimulationSettings& aSettings, const SchedulingPolicy& aPolicy)
{
  return Simulation(aSettings, aPolicy).Run();
}

} // namespace fescuetiller
