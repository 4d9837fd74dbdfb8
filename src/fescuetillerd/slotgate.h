#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>

#include "requests/requests.h"
#include "scheduling/scheduling.h"

namespace fescuetiller {

/** Lets traffic threads wait for the scheduler's decision. Thread-safe. */
class SlotGate
{
public:
  explicit SlotGate(uint32_t aSlots);

  void SetSlots(uint32_t aSlots);
  void SetTargets(const std::vector<ClassTarget>& aTargets);

  /**
   * Blocks until the request gets a slot or is refused.
   * @return The slot's id, to be given to Release; or the refusal.
   */
  tl::expected<uint64_t, Outcome> Acquire(const Request& aRequest);

  void Release(uint64_t aId);

  /** Lets the scheduler refuse what is overdue. */
  void Tick(Time aNow);

private:
  void Publish(const std::vector<ScheduleDecision>& aDecisions);

  std::mutex mutex;
  std::condition_variable decided;
  Scheduler scheduler;
  uint64_t nextId = 1;
  std::map<uint64_t, ScheduleDecision> decisions;
};

} // namespace fescuetiller
