#include "admission/slotqueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Share of the target latency that an unseen class is expected to take. */
constexpr double kUnseenShare = 0.3;
/** Half-life of the offered load: reacts within seconds, spans several
 * requests of each class. */
constexpr Duration kOfferedHalfLife = milliseconds(1000);
/** Half-life of the counts by which classes of one priority are kept even. */
constexpr Duration kShareHalfLife = std::chrono::seconds(3);
/** Part of the mean share below which a class goes before more urgent ones:
 * twice the quarter below which users count a class as starved. */
constexpr double kLeastShareOfMean = 0.5;
/** Steps of the share; within one, requests go by arrival. */
constexpr double kShareSteps = 10;
/** Part of an expected wait that it may well take longer: requests that turn
 * late while they wait are refused only then. */
constexpr double kWaitMargin = 1.2;
/** Least part of the slots that a request is expected to get. */
constexpr double kLeastRoom = 0.1;
/** Shortest time after which a refused client may come back. */
constexpr Duration kShortestRetry = milliseconds(40);
/** Spread of the return of refused clients, as a share of the wait. */
constexpr double kRetrySpread = 0.5;
/** Part of the time left that a late request's wait may take: its estimate is
 * less certain, since every timely request passes it. */
constexpr double kLateShare = 0.5;
/** Part of its time after which a late request is refused, so that its client
 * has time to come back. */
constexpr double kLongestWait = 0.5;
/** Offered load from which on timely requests leave no room for late ones. */
constexpr double kFullLoad = 0.95;

constexpr uint32_t kNestedRank = 0;
constexpr uint32_t kStarvedRank = 1;

/** Rank by priority alone; less is more urgent. */
uint32_t
BaseRank(const SlotRequest& aRequest)
{
  return aRequest.nested ? kNestedRank : aRequest.priority + kStarvedRank + 1;
}

/** Factor on a class's counts since they were last brought up to date. */
double
ShareDecay(Time aNow, Time aSince)
{
  return std::exp2(-static_cast<double>((aNow - aSince).count()) /
                   static_cast<double>(kShareHalfLife.count()));
}

/** Seconds of even work that the decaying sums hold. */
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

Duration
SlotQueue::EstimateServiceTime(const SlotRequest& aRequest) const
{
  return this->times.Estimate(
    aRequest.requestClass,
    std::chrono::duration_cast<Duration>(
      (aRequest.targetTime - aRequest.arrivedAt) * kUnseenShare));
}

bool
SlotQueue::CanMeetTarget(Time aNow, const SlotRequest& aRequest) const
{
  return aNow + this->EstimateServiceTime(aRequest) <= aRequest.targetTime;
}

bool
SlotQueue::ComesBefore(Time aNow,
                       const SlotRequest& aLeft,
                       const SlotRequest& aRight) const
{
  auto order = [&](const SlotRequest& aRequest) {
    return std::tuple(!this->CanMeetTarget(aNow, aRequest),
                      this->EffectiveRank(aNow, aRequest),
                      this->StartedShareStep(aRequest.requestClass),
                      aRequest.arrivedAt,
                      aRequest.id);
  };
  return order(aLeft) < order(aRight);
}

/** Usual time until a slot is free while all are in use. */
Duration
SlotQueue::EstimateTimeToFreeSlot(Time aNow) const
{
  if (this->running.size() < this->slots) {
    return Duration(0);
  }
  Duration shortest = Duration::max();
  for (const auto& [id, entry] : this->running) {
    auto usual = this->EstimateServiceTime(entry.request);
    auto spent = aNow - entry.startedAt;
    // What has taken longer than usual is expected to take as long again.
    auto rest = spent < usual ? usual - spent : Duration(spent);
    shortest = std::min(shortest, Duration(rest));
  }
  return shortest / static_cast<int>(this->slots);
}

/** Expected wait of a request, or of one that comes after all. */
Duration
SlotQueue::EstimateWait(Time aNow, const SlotRequest* aRequest) const
{
  Duration work(0);
  for (const auto& other : this->waiting) {
    if (other.notBefore > aNow) {
      continue; // Its keys are not granted yet; it takes no slot before.
    }
    if (aRequest == nullptr || (other.id != aRequest->id &&
                                this->ComesBefore(aNow, other, *aRequest))) {
      work += this->EstimateServiceTime(other);
    }
  }
  if (this->running.size() < this->slots && work == Duration(0)) {
    return Duration(0);
  }
  auto wait =
    work / static_cast<int>(this->slots) + this->EstimateTimeToFreeSlot(aNow);
  return aRequest == nullptr ? wait
                             : std::chrono::duration_cast<Duration>(
                                 wait / this->AvailableShare(aNow, *aRequest));
}

Duration
SlotQueue::RetryDelay(Time aNow, uint64_t aId) const
{
  auto wait =
    std::max<Duration>(this->EstimateWait(aNow, nullptr), kShortestRetry);
  // Spread by id, so that clients refused together do not return together.
  double spread = kRetrySpread * static_cast<double>(aId % 64) / 64;
  return std::chrono::duration_cast<Duration>(wait * (1 + spread));
}

/** Factor on the offered work since it was last counted. */
double
SlotQueue::OfferedDecay(Time aNow) const
{
  return std::exp2(
    -static_cast<double>((aNow - this->offeredDecayedAt).count()) /
    static_cast<double>(kOfferedHalfLife.count()));
}

void
SlotQueue::AddOfferedWork(Time aNow,
                          const SlotRequest& aRequest,
                          Duration aWork)
{
  double decay = this->OfferedDecay(aNow);
  double work = static_cast<double>(aWork.count()) / 1e9;
  this->offeredWork = this->offeredWork * decay + work;
  for (auto& [rank, sum] : this->offeredWorkByRank) {
    sum *= decay;
  }
  this->offeredWorkByRank[BaseRank(aRequest)] += work;
  this->offeredDecayedAt = aNow;
}

/** Part of the slots that more urgent work, still to come, leaves to a request.
 */
double
SlotQueue::AvailableShare(Time aNow, const SlotRequest& aRequest) const
{
  double urgent = 0;
  auto own = this->EffectiveRank(aNow, aRequest);
  for (const auto& [rank, sum] : this->offeredWorkByRank) {
    urgent += rank < own ? sum : 0;
  }
  double load = urgent * this->OfferedDecay(aNow) / DecaySpanSeconds() /
                static_cast<double>(this->slots);
  return std::max(kLeastRoom, 1 - load);
}

SlotQueue::ClassShare&
SlotQueue::DecayClassShare(Time aNow, const std::string& aClass)
{
  auto& share = this->shares[aClass];
  double factor = ShareDecay(aNow, share.decayedAt);
  share.offered *= factor;
  share.started *= factor;
  share.decayedAt = aNow;
  return share;
}

/** Whether a class gets so much less than all others that it goes before more
 * urgent ones. */
bool
SlotQueue::IsStarved(Time aNow, const std::string& aClass) const
{
  ClassShare all;
  ClassShare own;
  for (const auto& [name, share] : this->shares) {
    double factor = ShareDecay(aNow, share.decayedAt);
    all.offered += share.offered * factor;
    all.started += share.started * factor;
    if (name == aClass) {
      own = share;
    }
  }
  return own.offered > 0 && own.started / own.offered * all.offered <
                              all.started * kLeastShareOfMean;
}

uint32_t
SlotQueue::EffectiveRank(Time aNow, const SlotRequest& aRequest) const
{
  bool starved =
    !aRequest.nested && this->IsStarved(aNow, aRequest.requestClass);
  return starved ? kStarvedRank : BaseRank(aRequest);
}

/** Share of its requests that a class got started lately, in steps. */
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
  auto usual = this->EstimateServiceTime(aRequest);
  this->AddOfferedWork(aNow, aRequest, usual);
  this->DecayClassShare(aNow, aRequest.requestClass).offered += 1;
  bool inTime = this->CanMeetTarget(aNow, aRequest);
  auto untilGranted = Duration(aRequest.notBefore - aNow);
  auto wait = std::max(this->EstimateWait(aNow, &aRequest), untilGranted);
  auto end = aNow + wait + usual;
  auto margin = std::chrono::duration_cast<Duration>(wait * kWaitMargin);
  bool late = !inTime || end + margin > aRequest.targetTime;
  auto left = aRequest.deadline - aNow - usual;
  bool hopeless =
    end > aRequest.deadline ||
    (late && (wait > std::chrono::duration_cast<Duration>(left * kLateShare) ||
              this->OfferedLoad(aNow) > kFullLoad));
  // A free slot is used even if the class has taken too long lately: only so
  // is it learned that it takes less by now.
  bool free = aRequest.notBefore <= aNow && aRequest.deadline > aNow &&
              this->running.size() + this->waiting.size() < this->slots;
  if (hopeless && !free) {
    return { { aRequest.id,
               wait == untilGranted ? "granted-too-late" : "no-time",
               std::max(this->RetryDelay(aNow, aRequest.id), untilGranted),
               wait } };
  }
  this->waiting.push_back(aRequest);
  return {};
}

std::vector<uint64_t>
SlotQueue::Start(Time aNow)
{
  std::vector<uint64_t> started;
  while (this->running.size() < this->slots) {
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
    this->DecayClassShare(aNow, best->requestClass).started += 1;
    this->running[best->id] = { *best, aNow };
    this->waiting.erase(best);
  }
  return started;
}

void
SlotQueue::OnFinished(Time aNow, uint64_t aId, bool aLearn)
{
  auto found = this->running.find(aId);
  if (found == this->running.end()) {
    return;
  }
  if (aLearn) {
    this->times.Learn(found->second.request.requestClass,
                      aNow - found->second.startedAt);
  }
  this->running.erase(found);
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
  bool full =
    this->OfferedLoad(aNow) > kFullLoad && this->running.size() >= this->slots;
  for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
    auto start = std::max(aNow, entry->notBefore);
    auto usual = this->running.size() < this->slots
                   ? Duration(0)
                   : this->EstimateServiceTime(*entry);
    bool expired = start + usual > entry->deadline;
    bool late = !this->CanMeetTarget(aNow, *entry);
    auto waited = aNow - entry->arrivedAt;
    bool displaced =
      late &&
      (full || waited > std::chrono::duration_cast<Duration>(
                          (entry->deadline - entry->arrivedAt) * kLongestWait));
    if (expired || displaced) {
      refused.push_back({ entry->id,
                          expired ? "expired" : "displaced",
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
         static_cast<double>(this->slots);
}

Duration
SlotQueue::ExpectedLatency(Time aNow, const std::string& aClass) const
{
  return this->EstimateWait(aNow, nullptr) +
         this->times.Estimate(aClass, Duration(0));
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

} // namespace fescuetiller
