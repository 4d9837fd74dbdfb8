#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/base.h"
#include "config/config.h"

namespace fescuetiller {

/** One request waiting for a slot of the backend server. */
struct QueuedRequest
{
  uint64_t id = 0;
  std::string requestClass;
  std::string key;
  Time arrivedAt;
  Time deadline;
};

/** What the scheduler decided about one request. */
struct ScheduleDecision
{
  enum class Kind
  {
    Start,  ///< Send it to the backend server now.
    Refuse, ///< Answer "not run" now.
  };

  uint64_t id = 0;
  Kind kind = Kind::Start;
  Duration retryAfter = Duration(0);
  std::string reason;

  friend bool operator==(const ScheduleDecision& aLeft,
                         const ScheduleDecision& aRight);
};

/**
 * Decides which request gets the next slot of the one backend server. Pure:
 * not thread-safe, time passed in, decisions returned.
 */
class Scheduler
{
public:
  explicit Scheduler(uint32_t aSlots);

  void SetSlots(uint32_t aSlots);
  void SetTargets(const std::vector<ClassTarget>& aTargets);

  std::vector<ScheduleDecision> Offer(Time aNow, const QueuedRequest& aRequest);

  /** A started request has ended; frees its slot. */
  std::vector<ScheduleDecision> Finished(Time aNow, uint64_t aId);

  /** A waiting request is no longer wanted. */
  void Cancel(uint64_t aId);

  /** Refuses what can no longer be answered in time. */
  std::vector<ScheduleDecision> Tick(Time aNow);

  size_t Running() const;
  size_t Waiting() const;

private:
  std::vector<ScheduleDecision> Fill(Time aNow);

  uint32_t slots;
  std::map<std::string, ClassTarget> targets;
  std::deque<QueuedRequest> waiting;
  std::map<uint64_t, QueuedRequest> running;
};

} // namespace fescuetiller
