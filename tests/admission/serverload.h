#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "admission/admission.h"

namespace fescuetiller {

/** A class of requests and how many of them come. */
struct LoadClass
{
  std::string name;
  double perSecond = 0;
  Duration time = Duration(0); ///< In a slot, with exponential spread.
  uint32_t priority = 0;
  Duration target = Duration(0);
  Duration deadline = Duration(0);
  double value = 1;
  double lateValue = 0.3;
};

/** Decides what runs on a server: SlotQueue, or a baseline. */
struct SlotPolicy
{
  std::string name;
  std::function<std::vector<SlotRefusal>(Time, const SlotRequest&)> offer;
  std::function<std::vector<SlotRefusal>(Time)> expire;
  std::function<std::vector<uint64_t>(Time)> start;
  std::function<void(Time, uint64_t)> finished;
};

/** The policy of the daemon. */
SlotPolicy
SlotQueuePolicy(uint32_t aSlots);

/** First come, first served, in a queue of fixed length. */
SlotPolicy
FifoPolicy(uint32_t aSlots);

/** The most urgent class first, in a queue of fixed length. */
SlotPolicy
StrictPriorityPolicy(uint32_t aSlots);

/** The earliest deadline first, in a queue of fixed length. */
SlotPolicy
EarliestDeadlinePolicy(uint32_t aSlots);

/** What became of the requests of a class. */
struct LoadResult
{
  int offered = 0; ///< Clients; those that came back count once.
  int inTime = 0;
  int late = 0;
  double earnedShare = 0;                    ///< Earned over owed.
  Duration longestRefusedWait = Duration(0); ///< Before a refusal.
};

/** A change of the load for a while. */
struct LoadEvent
{
  Duration from = Duration(0);
  Duration until = Duration(0);
  double traffic = 1; ///< Times the usual requests.
  double work = 1;    ///< Times the usual time in a slot.
};

/**
 * One server of some slots under a load, in manual-clock time. A refused client
 * comes back once, when it is told to, if that leaves it half of its time.
 */
std::map<std::string, LoadResult>
SimulateLoad(const SlotPolicy& aPolicy,
             const std::vector<LoadClass>& aClasses,
             const std::vector<LoadEvent>& aEvents,
             Duration aTime,
             uint64_t aSeed);

/** Earned over owed of all classes. */
double
EarnedShare(const std::map<std::string, LoadResult>& aResults,
            const std::vector<LoadClass>& aClasses);

} // namespace fescuetiller
