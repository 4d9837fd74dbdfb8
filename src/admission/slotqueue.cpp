#include "admission/slotqueue.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Share of its target latency that a request of a class without a learned time
 * is expected to take. */
constexpr double kUnknownTimeShare = 0.3;
/** Half-life of the offered load. Short enough to react within seconds, long
 * enough to cover several requests of each class. */
constexpr Duration kOfferedHalfLife = milliseconds(1000);
/** Half-life of the counts of offered and started requests, which balance the
 * classes of one priority. */
constexpr Duration kShareHalfLife = std::chrono::seconds(3);
/** A class is starved if the started share of its requests is below this
 * fraction of the mean over all classes. Twice the quarter below which users
 * consider a class starved. */
constexpr double kStarvedShareOfMean = 0.5;
/** Number of steps into which the started share of a class is divided. Requests
 * of classes on the same step are ordered by arrival. */
constexpr double kShareSteps = 10;
/** Margin that is added to the expected end of a new request before it is
 * compared with its target time, as a multiple of the estimated wait. Without
 * it, requests whose wait was underestimated would be refused only after
 * waiting. */
constexpr double kWaitMargin = 1.2;
/** The same for the time until the network link is free: its speed changes with
 * the traffic of others. */
constexpr double kLinkMargin = 0.25;
/** Lower bound of the share of the slots that a request is expected to get. */
constexpr double kMinAvailableShare = 0.1;
/** Shortest delay after which a refused client may retry. */
constexpr Duration kMinRetryDelay = milliseconds(40);
/** Range over which retries of refused clients are spread, as a share of the
 * delay. */
constexpr double kRetrySpread = 0.5;
/** Share of the remaining time that the wait of a request may take if it is
 * expected to miss its target time. The estimate is less certain then, since
 * every request that can still meet its target starts before it. */
constexpr double kLateShare = 0.5;
/** Share of the time to its deadline after which a request that will miss its
 * target time is refused, so that its client has time to retry. */
constexpr double kMaxWaitShare = 0.5;
/** Offered load above which requests that can meet their target leave no
 * capacity for those that cannot. */
constexpr double kFullLoad = 0.95;
/** Lower bound of the slots that count as usable under a request limit. */
constexpr double kMinUsableSlots = 0.01;
/** Assumed slot time of a request, in seconds, before any has been offered. A
 * cold server without requests would count as one with its full capacity. */
constexpr double kUnknownMeanWork = 0.05;
/** From this stated slowness on, a request that must wait and will be late is
 * refused if other servers can run it. */
constexpr double kSlowMachine = 1.5;

/** Longest time for which a request or a response is on its way between the
 * daemon and its server, on the same machine. */
constexpr Duration kTransitTime = milliseconds(5);

constexpr uint32_t kNestedRank = 0;
constexpr uint32_t kStarvedRank = 1;
constexpr uint32_t kSentAheadRank = std::numeric_limits<uint32_t>::max();

/** Rank that follows from the request alone; a lower rank is more urgent. */
uint32_t
BaseRank(const SlotRequest& aRequest)
{
  if (aRequest.nested) {
    return kNestedRank;
  }
  return aRequest.sentAhead ? kSentAheadRank
                            : aRequest.priority + kStarvedRank + 1;
}

/** Lengthens a delay by id, so that clients refused at the same time retry at
 * different times. */
Duration
SpreadDelay(Duration aDelay, uint64_t aId)
{
  double spread = kRetrySpread * static_cast<double>(aId % 64) / 64;
  return std::chrono::duration_cast<Duration>(aDelay * (1 + spread));
}

/** The integral of the decay function: a constant load of one slot makes the
 * decaying sum of slot seconds converge to this. */
double
DecaySpanSeconds()
{
  return static_cast<double>(kOfferedHalfLife.count()) / 1e9 / std::log(2.0);
}

} // namespace

bool
operator==(const SlotRefusal& aLeft, const SlotRefusal& aRight)
{
  return aLeft.id == aRight.id && aLeft.reason == aRight.reason &&
         aLeft.retryAfter == aRight.retryAfter &&
         aLeft.expectedWait == aRight.expectedWait;
}

SlotQueue::SlotQueue(StartPredicate aCanStart)
  : canStart(std::move(aCanStart))
{
}

void
SlotQueue::SetSlots(uint32_t aSlots)
{
  this->slots = std::max<uint32_t>(1, aSlots);
}

size_t
SlotQueue::OccupiedSlots(Time aNow) const
{
  return this->running.size() + this->stated.OtherWork(aNow);
}

Duration
SlotQueue::EstimateUsualTime(const SlotRequest& aRequest) const
{
  auto untilTarget = aRequest.targetTime - aRequest.arrivedAt;
  // A retry may arrive after its target time.
  return this->times.Estimate(
    aRequest.requestClass,
    std::chrono::duration_cast<Duration>(std::max(untilTarget, Duration(0)) *
                                         kUnknownTimeShare));
}

Duration
SlotQueue::EstimateServiceTime(Time aNow, const SlotRequest& aRequest) const
{
  return std::chrono::duration_cast<Duration>(
    this->EstimateUsualTime(aRequest) * this->stated.Slowness(aNow));
}

Time
SlotQueue::EstimateEnd(Time aNow,
                       Time aStart,
                       const SlotRequest& aRequest) const
{
  return std::max(Time(aStart + this->EstimateServiceTime(aNow, aRequest)),
                  aRequest.linkFreeAt) +
         aRequest.transmission;
}

bool
SlotQueue::CanMeetTarget(Time aNow, const SlotRequest& aRequest) const
{
  return this->EstimateEnd(aNow, aNow, aRequest) <= aRequest.targetTime;
}

bool
SlotQueue::ComesBefore(Time aNow,
                       const SlotRequest& aLeft,
                       const SlotRequest& aRight) const
{
  auto order = [&](const SlotRequest& aRequest) {
    return std::tuple(aRequest.sentAhead,
                      !this->CanMeetTarget(aNow, aRequest),
                      this->EffectiveRank(aNow, aRequest),
                      this->StartedShareStep(aRequest.requestClass),
                      aRequest.arrivedAt - aRequest.sinceFirstAttempt,
                      aRequest.id);
  };
  return order(aLeft) < order(aRight);
}

/** Expected time until the next slot becomes free; 0 if one is free now. */
Duration
SlotQueue::EstimateTimeToFreeSlot(Time aNow) const
{
  if (this->OccupiedSlots(aNow) < this->slots) {
    return Duration(0);
  }
  Duration shortest = Duration::max();
  if (this->stated.OtherWork(aNow) > 0) {
    shortest = this->stated.NextFreeAt(aNow) - aNow;
  }
  for (const auto& [id, entry] : this->running) {
    auto usual = this->EstimateServiceTime(aNow, entry.request);
    auto spent = aNow - entry.startedAt;
    // A request that has exceeded the usual time is expected to take as long
    // again as it has taken so far.
    auto rest = spent < usual ? usual - spent : Duration(spent);
    shortest = std::min(shortest, Duration(rest));
  }
  return shortest / static_cast<int>(this->slots);
}

Duration
SlotQueue::TimeUntilAccepted(Time aNow, size_t aRequests) const
{
  return std::max(this->limit.TimeUntil(aNow, aRequests),
                  this->cold.TimeUntil(aNow, aRequests));
}

/** Expected wait for a slot of a request; if nullptr, of a request that starts
 * after all waiting ones. */
Duration
SlotQueue::EstimateWait(Time aNow, const SlotRequest* aRequest) const
{
  Duration work(0);
  size_t ahead = 0;
  for (const auto& other : this->waiting) {
    if (other.notBefore > aNow) {
      continue; // Its key is not granted yet, so it does not take a slot now.
    }
    if (aRequest == nullptr || (other.id != aRequest->id &&
                                this->ComesBefore(aNow, other, *aRequest))) {
      work += this->EstimateServiceTime(aNow, other);
      ++ahead;
    }
  }
  bool slotIsFree =
    this->OccupiedSlots(aNow) < this->slots && work == Duration(0);
  auto untilSlot = slotIsFree ? Duration(0)
                              : work / static_cast<int>(this->slots) +
                                  this->EstimateTimeToFreeSlot(aNow);
  auto wait = std::max(untilSlot, this->TimeUntilAccepted(aNow, ahead + 1));
  if (aRequest == nullptr || wait == Duration(0)) {
    return wait;
  }
  return std::chrono::duration_cast<Duration>(
    wait / this->AvailableShare(aNow, *aRequest));
}

Duration
SlotQueue::RetryDelay(Time aNow, uint64_t aId) const
{
  return SpreadDelay(
    std::max<Duration>(this->EstimateWait(aNow, nullptr), kMinRetryDelay), aId);
}

/** Decay factor for the offered work since it was last updated. */
double
SlotQueue::OfferedDecay(Time aNow) const
{
  return DecayFactor(aNow - this->offeredDecayedAt, kOfferedHalfLife);
}

void
SlotQueue::AddOfferedWork(Time aNow,
                          const SlotRequest& aRequest,
                          Duration aWork)
{
  double decay = this->OfferedDecay(aNow);
  double work = static_cast<double>(aWork.count()) / 1e9;
  this->offeredWork = this->offeredWork * decay + work * aRequest.weight;
  this->offeredCount = this->offeredCount * decay + aRequest.weight;
  for (auto& [rank, sum] : this->offeredWorkByRank) {
    sum *= decay;
  }
  this->offeredWorkByRank[BaseRank(aRequest)] += work * aRequest.weight;
  this->offeredDecayedAt = aNow;
}

/** Share of the slots that is left for a request if more urgent requests keep
 * arriving at the recent rate. */
double
SlotQueue::AvailableShare(Time aNow, const SlotRequest& aRequest) const
{
  double urgent = 0;
  auto own = this->EffectiveRank(aNow, aRequest);
  for (const auto& [rank, sum] : this->offeredWorkByRank) {
    urgent += rank < own ? sum : 0;
  }
  double load = urgent * this->OfferedDecay(aNow) / DecaySpanSeconds() /
                this->UsableSlots(aNow);
  return std::max(kMinAvailableShare, 1 - load);
}

SlotQueue::ClassShare&
SlotQueue::DecayClassShare(Time aNow, const std::string& aClass)
{
  auto& share = this->shares[aClass];
  double factor = DecayFactor(aNow - share.decayedAt, kShareHalfLife);
  share.offered *= factor;
  share.started *= factor;
  share.decayedAt = aNow;
  return share;
}

/** Whether so few of a class's recent requests were started, compared with all
 * classes, that its requests start before those of higher priority. */
bool
SlotQueue::IsStarved(Time aNow, const std::string& aClass) const
{
  ClassShare all;
  ClassShare own;
  for (const auto& [name, share] : this->shares) {
    double factor = DecayFactor(aNow - share.decayedAt, kShareHalfLife);
    all.offered += share.offered * factor;
    all.started += share.started * factor;
    if (name == aClass) {
      own = share;
    }
  }
  return own.offered > 0 && own.started / own.offered * all.offered <
                              all.started * kStarvedShareOfMean;
}

uint32_t
SlotQueue::EffectiveRank(Time aNow, const SlotRequest& aRequest) const
{
  bool starved = !aRequest.nested && !aRequest.sentAhead &&
                 this->IsStarved(aNow, aRequest.requestClass);
  return starved ? kStarvedRank : BaseRank(aRequest);
}

/** Share of a class's recent requests that were started, in steps of
 * 1 / kShareSteps. */
int
SlotQueue::StartedShareStep(const std::string& aClass) const
{
  auto found = this->shares.find(aClass);
  if (found == this->shares.end() || found->second.offered <= 0) {
    return 0;
  }
  return static_cast<int>(found->second.started / found->second.offered *
                          kShareSteps);
}

std::vector<SlotRefusal>
SlotQueue::Offer(Time aNow, const SlotRequest& aRequest)
{
  auto taken = this->EstimateServiceTime(aNow, aRequest);
  if (!aRequest.sentAhead) {
    // Load counts at the usual speed: a slow machine is so for less than a
    // second.
    this->AddOfferedWork(aNow, aRequest, this->EstimateUsualTime(aRequest));
    this->DecayClassShare(aNow, aRequest.requestClass).offered +=
      aRequest.weight;
    this->sendShare.OnOffered(aNow, aRequest.requestClass, aRequest.weight);
  }
  bool inTime = this->CanMeetTarget(aNow, aRequest);
  auto untilGranted = Duration(aRequest.notBefore - aNow);
  auto wait = std::max(this->EstimateWait(aNow, &aRequest), untilGranted);
  auto end = this->EstimateEnd(aNow, aNow + wait, aRequest);
  auto untilLinkFree =
    std::max(Duration(aRequest.linkFreeAt - aNow), Duration(0));
  auto margin = std::chrono::duration_cast<Duration>(
    std::max(wait * kWaitMargin, untilLinkFree * kLinkMargin));
  bool late = !inTime || end + margin > aRequest.targetTime;
  auto left = aRequest.deadline - aNow - taken;
  // Late responses would make those behind them late, too, while the link is
  // the bottleneck.
  bool linkFull = aRequest.linkFreeAt > aNow + wait + taken;
  bool slow = late && aRequest.mayRunElsewhere && wait > Duration(0) &&
              this->stated.Slowness(aNow) > kSlowMachine;
  bool hopeless =
    end > aRequest.deadline ||
    (late && (wait > std::chrono::duration_cast<Duration>(left * kLateShare) ||
              linkFull || slow || this->OfferedLoad(aNow) > kFullLoad));
  // A free slot is used even if the class is expected to take too long.
  // Otherwise no request of the class would run, and a shorter time would never
  // be learned.
  auto ahead = this->waiting.size();
  bool cooled = this->cold.TimeUntil(aNow, ahead + 1) > Duration(0);
  bool limited = cooled || this->limit.TimeUntil(aNow, ahead + 1) > Duration(0);
  bool free = aRequest.notBefore <= aNow && aRequest.deadline > aNow &&
              this->OccupiedSlots(aNow) + this->waiting.size() < this->slots &&
              !limited && !linkFull;
  if (hopeless && !free) {
    std::string reason = cooled     ? kServerColdReason
                         : limited  ? "server-limit"
                         : linkFull ? "link-full"
                         : slow     ? kServerSlowReason
                                    : "no-time";
    return { { aRequest.id,
               wait == untilGranted && !linkFull ? "granted-too-late" : reason,
               std::max({ this->RetryDelay(aNow, aRequest.id),
                          untilGranted,
                          linkFull ? SpreadDelay(untilLinkFree, aRequest.id)
                                   : Duration(0) }),
               wait } };
  }
  this->waiting.push_back(aRequest);
  return {};
}

std::vector<uint64_t>
SlotQueue::Start(Time aNow)
{
  std::vector<uint64_t> started;
  while (this->OccupiedSlots(aNow) < this->slots &&
         this->TimeUntilAccepted(aNow, 1) == Duration(0)) {
    auto best = this->waiting.end();
    for (auto entry = this->waiting.begin(); entry != this->waiting.end();
         ++entry) {
      if (entry->deadline > aNow && this->canStart(*entry) &&
          (best == this->waiting.end() ||
           this->ComesBefore(aNow, *entry, *best))) {
        best = entry;
      }
    }
    if (best == this->waiting.end()) {
      break;
    }
    started.push_back(best->id);
    if (!best->sentAhead) {
      this->DecayClassShare(aNow, best->requestClass).started += 1;
      this->sendShare.OnStarted(aNow, best->requestClass);
    }
    this->running[best->id] = { *best, aNow };
    this->limit.OnSent(aNow);
    this->cold.Reserve(best->id);
    this->waiting.erase(best);
  }
  return started;
}

void
SlotQueue::OnFinished(Time aNow, uint64_t aId, bool aLearn)
{
  this->cold.Release(aId);
  auto found = this->running.find(aId);
  if (found == this->running.end()) {
    return;
  }
  if (aLearn) {
    this->times.Learn(found->second.request.requestClass,
                      this->stated.AtUsualSpeed(found->second.startedAt, aNow));
  }
  this->running.erase(found);
  this->finishedAt.push_back(aNow);
  while (this->finishedAt.front() < aNow - kTransitTime) {
    this->finishedAt.pop_front();
  }
}

void
SlotQueue::OnAbandoned(Time aNow, uint64_t aId)
{
  auto found = this->running.find(aId);
  if (found != this->running.end() && !this->cold.IsReserved(aId)) {
    auto usual = this->EstimateServiceTime(aNow, found->second.request);
    auto spent = Duration(aNow - found->second.startedAt);
    this->stated.OnAbandoned(aNow,
                             aNow + (spent < usual ? usual - spent : spent));
  }
  this->OnFinished(aNow, aId, false);
}

bool
SlotQueue::StartStatusCheck(Time aNow, uint64_t aId)
{
  if (this->OccupiedSlots(aNow) >= this->slots ||
      this->TimeUntilAccepted(aNow, 1) > Duration(0)) {
    return false;
  }
  // A target at once, so that its slot is expected to be free at once.
  SlotRequest request;
  request.id = aId;
  request.arrivedAt = aNow;
  request.targetTime = aNow;
  request.deadline = aNow;
  this->running[aId] = { request, aNow };
  this->limit.OnSent(aNow);
  this->cold.Reserve(aId);
  return true;
}

void
SlotQueue::OnStatedLoad(Time aNow, uint64_t aId, const ServerLoad& aLoad)
{
  StatedLoad::OwnRequests own;
  for (const auto& [id, entry] : this->running) {
    if (!this->cold.IsReserved(id)) {
      ++own.most;
      bool isCounted = id != aId && entry.startedAt < aNow - kTransitTime;
      own.least += isCounted ? 1 : 0;
    }
  }
  for (auto at : this->finishedAt) {
    own.most += at >= aNow - kTransitTime ? 1 : 0;
  }
  this->stated.OnStatement(aNow, aLoad, own);
}

bool
SlotQueue::Cancel(uint64_t aId)
{
  auto found =
    std::find_if(this->waiting.begin(),
                 this->waiting.end(),
                 [&](const auto& aRequest) { return aRequest.id == aId; });
  if (found == this->waiting.end()) {
    return false;
  }
  this->waiting.erase(found);
  return true;
}

std::vector<SlotRefusal>
SlotQueue::Expire(Time aNow)
{
  std::vector<SlotRefusal> refused;
  auto untilAllowed = this->TimeUntilAccepted(aNow, 1);
  bool cooled = this->cold.TimeUntil(aNow, 1) > Duration(0);
  bool blocked =
    this->OccupiedSlots(aNow) >= this->slots || untilAllowed > Duration(0);
  bool full = this->OfferedLoad(aNow) > kFullLoad && blocked;
  for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
    auto start = std::max(Time(aNow + untilAllowed), entry->notBefore);
    auto taken =
      blocked ? this->EstimateServiceTime(aNow, *entry) : Duration(0);
    bool expired = start + taken + entry->transmission > entry->deadline;
    bool late = !this->CanMeetTarget(aNow, *entry);
    auto waited = aNow - entry->arrivedAt;
    bool displaced =
      late && (full || waited > std::chrono::duration_cast<Duration>(
                                  (entry->deadline - entry->arrivedAt) *
                                  kMaxWaitShare));
    if (expired || displaced) {
      refused.push_back({ entry->id,
                          cooled    ? kServerColdReason
                          : expired ? "expired"
                                    : "displaced",
                          this->RetryDelay(aNow, entry->id) });
      entry = this->waiting.erase(entry);
    } else {
      ++entry;
    }
  }
  return refused;
}

std::vector<SlotRefusal>
SlotQueue::RefuseAll(Time aNow, const std::string& aReason)
{
  std::vector<SlotRefusal> refused;
  for (const auto& request : this->waiting) {
    refused.push_back(
      { request.id, aReason, this->RetryDelay(aNow, request.id) });
  }
  this->waiting.clear();
  return refused;
}

double
SlotQueue::OfferedLoad(Time aNow) const
{
  return this->offeredWork * this->OfferedDecay(aNow) / DecaySpanSeconds() /
         this->UsableSlots(aNow);
}

double
SlotQueue::UsableSlots(Time aNow) const
{
  auto all = static_cast<double>(this->slots);
  bool isKnown = this->offeredCount > 0;
  double meanWork =
    isKnown ? this->offeredWork / this->offeredCount : kUnknownMeanWork;
  double usable = all;
  auto stated = this->limit.PerSecond();
  if (stated && isKnown) {
    usable = std::min(usable, *stated * meanWork);
  }
  if (auto whileCold = this->cold.PerSecond(aNow)) {
    usable = std::min(usable, *whileCold * meanWork);
  }
  return std::clamp(usable, kMinUsableSlots, all);
}

double
SlotQueue::UnusableShare(Time aNow) const
{
  return 1 - this->UsableSlots(aNow) / static_cast<double>(this->slots);
}

Duration
SlotQueue::ExpectedLatency(Time aNow, const std::string& aClass) const
{
  return this->EstimateWait(aNow, nullptr) +
         std::chrono::duration_cast<Duration>(
           this->times.Estimate(aClass, Duration(0)) *
           this->stated.Slowness(aNow));
}

double
SlotQueue::ShareToSend(Time aNow, const std::string& aClass) const
{
  bool slotIsFree =
    this->OccupiedSlots(aNow) + this->waiting.size() < this->slots &&
    this->cold.TimeUntil(aNow, this->waiting.size() + 1) == Duration(0);
  return slotIsFree ? 1 : this->sendShare.Of(aNow, aClass);
}

size_t
SlotQueue::RunningCount() const
{
  return this->running.size();
}

size_t
SlotQueue::WaitingCount() const
{
  return this->waiting.size();
}

ServiceTimes&
SlotQueue::Times()
{
  return this->times;
}

RequestLimit&
SlotQueue::Limit()
{
  return this->limit;
}

const RequestLimit&
SlotQueue::Limit() const
{
  return this->limit;
}

ColdLimit&
SlotQueue::Cold()
{
  return this->cold;
}

const ColdLimit&
SlotQueue::Cold() const
{
  return this->cold;
}

const StatedLoad&
SlotQueue::Stated() const
{
  return this->stated;
}

void
SlotQueue::ResetServer()
{
  this->times.Reset();
  this->limit.Reset();
  this->stated.Reset();
}

} // namespace fescuetiller
