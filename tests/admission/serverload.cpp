#include "admission/serverload.h"

#include <algorithm>
#include <optional>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

constexpr Time kStart = Time(std::chrono::seconds(100));
constexpr Duration kStep = milliseconds(1);
/** Requests that wait for each slot of the baselines: their usual setting, at
 * which waiting takes about as long as running. */
constexpr size_t kQueuePerSlot = 2;
/** When baselines tell a client to come back. */
constexpr Duration kBaselineRetry = milliseconds(250);

/** A queue of fixed length that is served in a given order. */
class OrderedQueue
{
public:
  using Before = std::function<bool(const SlotRequest&, const SlotRequest&)>;

  OrderedQueue(uint32_t aSlots, Before aBefore)
    : slots(aSlots)
    , before(std::move(aBefore))
  {
  }

  std::vector<SlotRefusal> Offer(const SlotRequest& aRequest)
  {
    auto place = std::upper_bound(
      this->waiting.begin(), this->waiting.end(), aRequest, this->before);
    this->waiting.insert(place, aRequest);
    if (this->waiting.size() <= this->slots * kQueuePerSlot) {
      return {};
    }
    auto last = this->waiting.back().id;
    this->waiting.pop_back();
    return { { last, "full", kBaselineRetry } };
  }

  std::vector<SlotRefusal> Expire(Time aNow)
  {
    std::vector<SlotRefusal> refused;
    for (auto at = this->waiting.begin(); at != this->waiting.end();) {
      if (at->deadline <= aNow) {
        refused.push_back({ at->id, "expired", kBaselineRetry });
        at = this->waiting.erase(at);
      } else {
        ++at;
      }
    }
    return refused;
  }

  std::vector<uint64_t> Start()
  {
    std::vector<uint64_t> started;
    while (this->running < this->slots && !this->waiting.empty()) {
      started.push_back(this->waiting.front().id);
      this->waiting.erase(this->waiting.begin());
      ++this->running;
    }
    return started;
  }

  void OnFinished() { --this->running; }

private:
  uint32_t slots;
  Before before;
  std::vector<SlotRequest> waiting;
  uint32_t running = 0;
};

SlotPolicy
Baseline(const std::string& aName,
         uint32_t aSlots,
         const OrderedQueue::Before& aBefore)
{
  auto queue = std::make_shared<OrderedQueue>(aSlots, aBefore);
  return { aName,
           [queue](Time, const SlotRequest& aRequest) {
             return queue->Offer(aRequest);
           },
           [queue](Time aNow) { return queue->Expire(aNow); },
           [queue](Time) { return queue->Start(); },
           [queue](Time, uint64_t) { queue->OnFinished(); } };
}

/** One client with its request. */
struct Client
{
  SlotRequest request;
  const LoadClass* loadClass = nullptr;
  Time firstAt;
  bool cameBack = false;
};

/** The clients and the server of one play. */
class Simulation
{
public:
  Simulation(const SlotPolicy& aPolicy,
             const std::vector<LoadClass>& aClasses,
             const std::vector<LoadEvent>& aEvents,
             uint64_t aSeed)
    : policy(aPolicy)
    , classes(aClasses)
    , events(aEvents)
    , random(aSeed)
  {
  }

  std::map<std::string, LoadResult> Run(Duration aTime)
  {
    for (Time now = kStart; now < kStart + aTime; now += kStep) {
      this->Finish(now);
      this->Arrive(now);
      this->Return(now);
      this->Refuse(now, this->policy.expire(now));
      this->Start(now);
    }
    for (const auto& each : this->classes) {
      auto& result = this->results[each.name];
      double owed = result.offered * each.value;
      result.earnedShare = owed > 0 ? result.earnedShare / owed : 0;
    }
    return this->results;
  }

private:
  LoadEvent At(Time aNow) const
  {
    LoadEvent now;
    for (const auto& event : this->events) {
      if (aNow >= kStart + event.from && aNow < kStart + event.until) {
        now.traffic *= event.traffic;
        now.work *= event.work;
      }
    }
    return now;
  }

  void Finish(Time aNow)
  {
    while (!this->running.empty() && this->running.begin()->first <= aNow) {
      auto client = this->running.begin()->second;
      this->running.erase(this->running.begin());
      this->policy.finished(aNow, client.request.id);
      auto& result = this->results[client.loadClass->name];
      if (aNow <= client.request.targetTime) {
        ++result.inTime;
        result.earnedShare += client.loadClass->value;
      } else if (aNow <= client.request.deadline) {
        ++result.late;
        result.earnedShare += client.loadClass->lateValue;
      }
    }
  }

  void Arrive(Time aNow)
  {
    auto factor = this->At(aNow).traffic;
    for (const auto& each : this->classes) {
      double seconds = std::chrono::duration<double>(kStep).count();
      std::poisson_distribution<int> arrivals(each.perSecond * factor *
                                              seconds);
      for (int count = arrivals(this->random); count > 0; --count) {
        Client client;
        client.loadClass = &each;
        client.firstAt = aNow;
        ++this->results[each.name].offered;
        this->Ask(aNow, client);
      }
    }
  }

  void Ask(Time aNow, Client aClient)
  {
    auto& request = aClient.request;
    request.id = this->nextId++;
    request.requestClass = aClient.loadClass->name;
    request.priority = aClient.loadClass->priority;
    request.arrivedAt = aNow;
    request.targetTime = aClient.firstAt + aClient.loadClass->target;
    request.deadline = aClient.firstAt + aClient.loadClass->deadline;
    request.notBefore = aNow;
    this->waiting[request.id] = aClient;
    this->Refuse(aNow, this->policy.offer(aNow, request));
  }

  void Return(Time aNow)
  {
    while (!this->away.empty() && this->away.begin()->first <= aNow) {
      auto client = this->away.begin()->second;
      this->away.erase(this->away.begin());
      client.cameBack = true;
      this->Ask(aNow, client);
    }
  }

  void Refuse(Time aNow, const std::vector<SlotRefusal>& aRefused)
  {
    for (const auto& refusal : aRefused) {
      auto client = this->waiting[refusal.id];
      this->waiting.erase(refusal.id);
      auto& result = this->results[client.loadClass->name];
      result.longestRefusedWait = std::max(
        result.longestRefusedWait, Duration(aNow - client.request.arrivedAt));
      auto back = aNow + refusal.retryAfter;
      if (!client.cameBack &&
          back < client.firstAt + client.loadClass->deadline / 2) {
        this->away.emplace(back, client);
      }
    }
  }

  void Start(Time aNow)
  {
    for (auto id : this->policy.start(aNow)) {
      auto client = this->waiting[id];
      this->waiting.erase(id);
      std::exponential_distribution<double> spread(1);
      // Half of the work is the same for all, so that no request takes none.
      double share = 0.5 + 0.5 * spread(this->random);
      auto time = std::chrono::duration_cast<Duration>(
        client.loadClass->time * share * this->At(aNow).work);
      this->running.emplace(aNow + time, client);
    }
  }

  const SlotPolicy& policy;
  const std::vector<LoadClass>& classes;
  const std::vector<LoadEvent>& events;
  std::mt19937_64 random;
  uint64_t nextId = 1;
  std::map<uint64_t, Client> waiting;
  std::multimap<Time, Client> running;
  std::multimap<Time, Client> away;
  std::map<std::string, LoadResult> results;
};

} // namespace

SlotPolicy
SlotQueuePolicy(uint32_t aSlots)
{
  auto queue =
    std::make_shared<SlotQueue>([](const SlotRequest&) { return true; });
  queue->SetSlots(aSlots);
  return { "own",
           [queue](Time aNow, const SlotRequest& aRequest) {
             return queue->Offer(aNow, aRequest);
           },
           [queue](Time aNow) { return queue->Expire(aNow); },
           [queue](Time aNow) { return queue->Start(aNow); },
           [queue](Time aNow, uint64_t aId) {
             queue->OnFinished(aNow, aId, true);
           } };
}

SlotPolicy
FifoPolicy(uint32_t aSlots)
{
  return Baseline("FIFO, fixed length", aSlots, [](auto& aLeft, auto& aRight) {
    return aLeft.arrivedAt < aRight.arrivedAt;
  });
}

SlotPolicy
StrictPriorityPolicy(uint32_t aSlots)
{
  return Baseline("strict priority", aSlots, [](auto& aLeft, auto& aRight) {
    return aLeft.priority < aRight.priority;
  });
}

SlotPolicy
EarliestDeadlinePolicy(uint32_t aSlots)
{
  return Baseline("earliest deadline", aSlots, [](auto& aLeft, auto& aRight) {
    return aLeft.deadline < aRight.deadline;
  });
}

std::map<std::string, LoadResult>
SimulateLoad(const SlotPolicy& aPolicy,
             const std::vector<LoadClass>& aClasses,
             const std::vector<LoadEvent>& aEvents,
             Duration aTime,
             uint64_t aSeed)
{
  return Simulation(aPolicy, aClasses, aEvents, aSeed).Run(aTime);
}

double
EarnedShare(const std::map<std::string, LoadResult>& aResults,
            const std::vector<LoadClass>& aClasses)
{
  double earned = 0;
  double owed = 0;
  for (const auto& each : aClasses) {
    const auto& result = aResults.at(each.name);
    earned += result.earnedShare * result.offered * each.value;
    owed += result.offered * each.value;
  }
  return owed > 0 ? earned / owed : 0;
}

} // namespace fescuetiller
