#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "admission/admission.h"

namespace fescuetiller {

/** A class of requests and its arrival rate. */
struct LoadClass
{
  std::string name;
  double perSecond = 0;
  Duration time = Duration(0); ///< Mean time in a slot; half of it varies.
  uint32_t priority = 0;
  Duration target = Duration(0);   ///< From arrival to the target time.
  Duration deadline = Duration(0); ///< From arrival to the deadline.
  double value = 1;       ///< Earned by a response before the target time.
  double lateValue = 0.3; ///< Earned by a later one before the deadline.
};

/** Admission policy of a server: SlotQueue or a baseline. */
struct SlotPolicy
{
  std::string name;
  std::function<std::vector<SlotRefusal>(Time, const SlotRequest&)> offer;
  std::function<std::vector<SlotRefusal>(Time)> expire;
  std::function<std::vector<uint64_t>(Time)> start;
  std::function<void(Time, uint64_t)> finished;
};

/** The policy of the daemon: SlotQueue. */
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

/** Results for the requests of a class. */
struct LoadResult
{
  int offered = 0;        ///< Clients; one that retries counts once.
  int inTime = 0;         ///< Responses before the target time.
  int late = 0;           ///< Later responses before the deadline.
  double earnedShare = 0; ///< Earned value over the value of all requests.
  Duration longestRefusedWait = Duration(0); ///< Longest wait before a refusal.
};

/** A temporary change of the load. */
struct LoadEvent
{
  Duration from = Duration(0);
  Duration until = Duration(0);
  double traffic = 1; ///< Factor for the arrival rate.
  double work = 1;    ///< Factor for the time in a slot.
};

/** From when the server's daemon counts the target time of a retry. */
enum class RetryTarget
{
  FirstAttempt, ///< From the client's first attempt.
  EachAttempt,  ///< From the retry itself.
  Recognized,   ///< From the first attempt that ClientRetries finds.
};

/**
 * Simulates a server under load with a manual clock. A refused client retries
 * once after the delay that it was given, unless more than half of its time to
 * the deadline has passed by then. Many clients request the same, and what they
 * send travels for up to 10 ms.
 */
std::map<std::string, LoadResult>
SimulateLoad(const SlotPolicy& aPolicy,
             const std::vector<LoadClass>& aClasses,
             const std::vector<LoadEvent>& aEvents,
             Duration aTime,
             uint64_t aSeed,
             RetryTarget aRetryTarget = RetryTarget::FirstAttempt);

/** Earned value over the value of all requests, for all classes. */
double
EarnedShare(const std::map<std::string, LoadResult>& aResults,
            const std::vector<LoadClass>& aClasses);

} // namespace fescuetiller
