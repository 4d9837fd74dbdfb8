#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "admission/servicetimes.h"
#include "base/base.h"

namespace fescuetiller {

/** One request for a slot. */
struct SlotRequest
{
  uint64_t id = 0;
  std::string requestClass;
  uint32_t priority = 0; ///< 0 is the most urgent.
  bool nested = false;   ///< Made by a request that holds a slot meanwhile.
  Time arrivedAt;
  Time targetTime; ///< An answer until then earns its full worth.
  Time deadline;   ///< A later answer is of no use.
  /** When it may start at the earliest, as far as is known; for keys that have
   * not been granted yet. */
  Time notBefore;
};

/** A request that will not run, and when its client may come back. */
struct SlotRefusal
{
  uint64_t id = 0;
  std::string reason;
  Duration retryAfter = Duration(0);
  Duration expectedWait = Duration(0); ///< That decided it; 0: not that.

  friend bool operator==(const SlotRefusal& aLeft, const SlotRefusal& aRight);
};

/**
 * Requests that wait for a slot of one backend server. Those that can be
 * answered in time come first: calls of running requests, then those of classes
 * that got much less of what they asked for than all others, then by priority,
 * then those of classes that got less, then by arrival; the others use what is
 * left. A request that is not expected to end before its deadline is refused at
 * once. Pure, not thread-safe.
 */
class SlotQueue
{
public:
  /** Whether a request may start now; a request that may not lets others pass.
   */
  using StartPredicate = std::function<bool(const SlotRequest&)>;

  explicit SlotQueue(StartPredicate aCanStart);

  void SetSlots(uint32_t aSlots);

  /** Waits, or is refused. */
  std::vector<SlotRefusal> Offer(Time aNow, const SlotRequest& aRequest);

  /** Requests that start now, in order; they hold slots until Finished. */
  std::vector<uint64_t> Start(Time aNow);

  /** @param aLearn Whether the time tells how long the class takes. */
  void OnFinished(Time aNow, uint64_t aId, bool aLearn);

  /** A waiting request is no longer wanted. @return Whether it waited. */
  bool Cancel(uint64_t aId);

  /** Refuses what cannot end before its deadline any more. */
  std::vector<SlotRefusal> Expire(Time aNow);

  /** Refuses everything that waits. */
  std::vector<SlotRefusal> RefuseAll(Time aNow, const std::string& aReason);

  /** Slots' worth of work offered in the recent past, by slots; may exceed 1.
   */
  double OfferedLoad(Time aNow) const;

  /** Time after which a request of the class would be answered now. */
  Duration ExpectedLatency(Time aNow, const std::string& aClass) const;

  size_t RunningCount() const;
  size_t WaitingCount() const;
  ServiceTimes& Times();

private:
  /** Decaying counts of what a class asked for and got. */
  struct ClassShare
  {
    double offered = 0;
    double started = 0;
    Time decayedAt;
  };
  struct RunningRequest
  {
    SlotRequest request;
    Time startedAt;
  };

  Duration EstimateServiceTime(const SlotRequest& aRequest) const;
  bool CanMeetTarget(Time aNow, const SlotRequest& aRequest) const;
  bool ComesBefore(Time aNow,
                   const SlotRequest& aLeft,
                   const SlotRequest& aRight) const;
  Duration EstimateWait(Time aNow, const SlotRequest* aRequest) const;
  Duration EstimateTimeToFreeSlot(Time aNow) const;
  Duration RetryDelay(Time aNow, uint64_t aId) const;
  double OfferedDecay(Time aNow) const;
  void AddOfferedWork(Time aNow, const SlotRequest& aRequest, Duration aWork);
  double AvailableShare(Time aNow, const SlotRequest& aRequest) const;
  ClassShare& DecayClassShare(Time aNow, const std::string& aClass);
  bool IsStarved(Time aNow, const std::string& aClass) const;
  uint32_t EffectiveRank(Time aNow, const SlotRequest& aRequest) const;
  int StartedShareStep(const std::string& aClass) const;

  StartPredicate canStart;
  uint32_t slots = 1;
  std::vector<SlotRequest> waiting;
  std::map<uint64_t, RunningRequest> running;
  ServiceTimes times;
  std::map<std::string, ClassShare> shares;
  double offeredWork = 0; ///< Decaying sum of slot seconds.
  /** The same by priority; calls of running requests come first. */
  std::map<uint32_t, double> offeredWorkByRank;
  Time offeredDecayedAt;
};

} // namespace fescuetiller
