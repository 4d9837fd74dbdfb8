#include "admission/serverload.h"

#include <algorithm>
#include <optional>

#include "routing/routing.h"

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

constexpr Time kStart = Time(std::chrono::seconds(100));
constexpr Duration kStep = milliseconds(1);
/** Queue length of the baselines for each slot: the usual setting, at which
 * requests wait about as long as they run. */
constexpr size_t kQueuePerSlot = 2;
/** Delay after which clients refused by a baseline may retry. */
constexpr Duration kBaselineRetry = milliseconds(250);

/** A queue of fixed length that is served in a given order. */
class OrderedQueue
{
public:
  using Order = std::function<bool(const SlotRequest&, const SlotRequest&)>;

  OrderedQueue(uint32_t aSlots, Order aOrder)
    : slots(aSlots)
    , order(std::move(aOrder))
  {
  }

  std::vector<SlotRefusal> Offer(const SlotRequest& aRequest)
  {
    auto place = std::upper_bound(
      this->waiting.begin(), this->waiting.end(), aRequest, this->order);
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
  Order order;
  std::vector<SlotRequest> waiting;
  uint32_t running = 0;
};

SlotPolicy
Baseline(const std::string& aName,
         uint32_t aSlots,
         const OrderedQueue::Order& aOrder)
{
  auto queue = std::make_shared<OrderedQueue>(aSlots, aOrder);
  return { aName,
           [queue](Time, const SlotRequest& aRequest) {
             return queue->Offer(aRequest);
           },
           [queue](Time aNow) { return queue->Expire(aNow); },
           [queue](Time) { return queue->Start(); },
           [queue](Time, uint64_t) { queue->OnFinished(); } };
}

/** Number of different requests of a class. */
constexpr uint64_t kDistinctRequests = 200;
/** Share of the requests of a class that are all the same. */
constexpr double kHotShare = 0.3;
constexpr double kMaxTravelMilliseconds = 10;

/** A client with its request. */
struct Client
{
  SlotRequest request;
  RequestFingerprint fingerprint = 0;
  const LoadClass* loadClass = nullptr;
  Time firstAt; ///< Arrival of the first attempt.
  bool retried = false;
};

/** The clients and the server of one simulation. */
class Simulation
{
public:
  Simulation(const SlotPolicy& aPolicy,
             const std::vector<LoadClass>& aClasses,
             const std::vector<LoadEvent>& aEvents,
             uint64_t aSeed,
             RetryTarget aRetryTarget)
    : policy(aPolicy)
    , classes(aClasses)
    , events(aEvents)
    , random(aSeed)
    , retryTarget(aRetryTarget)
    , clientRandom(aSeed)
  {
  }

  std::map<std::string, LoadResult> Run(Duration aTime)
  {
    for (Time now = kStart; now < kStart + aTime; now += kStep) {
      this->Finish(now);
      this->Arrive(now);
      this->Retry(now);
      this->Refuse(now, this->policy.expire(now));
      this->Start(now);
    }
    for (const auto& each : this->classes) {
      auto& result = this->results[each.name];
      double total = result.offered * each.value;
      result.earnedShare = total > 0 ? result.earnedShare / total : 0;
    }
    return this->results;
  }

private:
  /** The product of all events at the given time. */
  LoadEvent FactorsAt(Time aNow) const
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
      if (aNow <= client.firstAt + client.loadClass->target) {
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
    auto factor = this->FactorsAt(aNow).traffic;
    for (const auto& each : this->classes) {
      double seconds = std::chrono::duration<double>(kStep).count();
      std::poisson_distribution<int> arrivals(each.perSecond * factor *
                                              seconds);
      for (int count = arrivals(this->random); count > 0; --count) {
        Client client;
        client.loadClass = &each;
        client.firstAt = aNow;
        client.fingerprint = this->DrawFingerprint(each);
        ++this->results[each.name].offered;
        this->SendRequest(aNow, client);
      }
    }
  }

  RequestFingerprint DrawFingerprint(const LoadClass& aClass)
  {
    std::bernoulli_distribution hot(kHotShare);
    std::uniform_int_distribution<uint64_t> others(0, kDistinctRequests - 1);
    auto request = hot(this->clientRandom) ? 0 : others(this->clientRandom);
    return StableHash(aClass.name, request);
  }

  /** When the client waits no longer, as its time left tells the daemon. */
  Time StatedDeadline(const Client& aClient)
  {
    std::uniform_real_distribution<double> travel(0, kMaxTravelMilliseconds);
    return aClient.firstAt + aClient.loadClass->deadline +
           std::chrono::duration_cast<Duration>(
             std::chrono::duration<double, std::milli>(
               travel(this->clientRandom)));
  }

  /** From when the target time of a request counts. */
  Time CountedFrom(Time aNow, const Client& aClient)
  {
    switch (this->retryTarget) {
      case RetryTarget::FirstAttempt:
        return aClient.firstAt;
      case RetryTarget::EachAttempt:
        return aNow;
      case RetryTarget::Recognized:
        break;
    }
    auto attempt = this->retries.TakeAttempt(
      aNow, aClient.fingerprint, this->StatedDeadline(aClient));
    return attempt ? attempt->firstSentAt : aNow;
  }

  void SendRequest(Time aNow, Client aClient)
  {
    auto countedFrom = this->CountedFrom(aNow, aClient);
    auto& request = aClient.request;
    request.id = this->nextId++;
    request.requestClass = aClient.loadClass->name;
    request.priority = aClient.loadClass->priority;
    request.arrivedAt = aNow;
    request.targetTime = countedFrom + aClient.loadClass->target;
    request.deadline = aClient.firstAt + aClient.loadClass->deadline;
    request.notBefore = aNow;
    this->waiting[request.id] = aClient;
    this->Refuse(aNow, this->policy.offer(aNow, request));
  }

  void Retry(Time aNow)
  {
    while (!this->retrying.empty() && this->retrying.begin()->first <= aNow) {
      auto client = this->retrying.begin()->second;
      this->retrying.erase(this->retrying.begin());
      client.retried = true;
      this->SendRequest(aNow, client);
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
      auto firstSentAt = client.request.targetTime - client.loadClass->target;
      this->retries.OnUnsuccessful(aNow,
                                   client.fingerprint,
                                   this->StatedDeadline(client),
                                   { firstSentAt, Time() });
      auto retryAt = aNow + refusal.retryAfter;
      if (!client.retried &&
          retryAt < client.firstAt + client.loadClass->deadline / 2) {
        this->retrying.emplace(retryAt, client);
      }
    }
  }

  void Start(Time aNow)
  {
    for (auto id : this->policy.start(aNow)) {
      auto client = this->waiting[id];
      this->waiting.erase(id);
      std::exponential_distribution<double> spread(1);
      // Half of the work is constant, so that no request takes almost no time.
      double share = 0.5 + 0.5 * spread(this->random);
      auto time = std::chrono::duration_cast<Duration>(
        client.loadClass->time * share * this->FactorsAt(aNow).work);
      this->running.emplace(aNow + time, client);
    }
  }

  const SlotPolicy& policy;
  const std::vector<LoadClass>& classes;
  const std::vector<LoadEvent>& events;
  std::mt19937_64 random;
  RetryTarget retryTarget;
  /** Separate from random, so that the arrivals stay the same. */
  std::mt19937_64 clientRandom;
  ClientRetries retries;
  uint64_t nextId = 1;
  std::map<uint64_t, Client> waiting;
  std::multimap<Time, Client> running;
  std::multimap<Time, Client> retrying;
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
             uint64_t aSeed,
             RetryTarget aRetryTarget)
{
  return Simulation(aPolicy, aClasses, aEvents, aSeed, aRetryTarget).Run(aTime);
}

double
EarnedShare(const std::map<std::string, LoadResult>& aResults,
            const std::vector<LoadClass>& aClasses)
{
  double earned = 0;
  double total = 0;
  for (const auto& each : aClasses) {
    const auto& result = aResults.at(each.name);
    earned += result.earnedShare * result.offered * each.value;
    total += result.offered * each.value;
  }
  return total > 0 ? earned / total : 0;
}

} // namespace fescuetiller
