#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "requests/requests.h"
#include "scheduling/scheduling.h"

namespace fescuetiller {

/** Lets traffic threads wait for the scheduler's decision. Thread-safe. */
class SlotGate
{
public:
  explicit SlotGate(uint32_t aSlots);

  /** A backend server announced itself; a new address starts cold. */
  void Announce(const std::string& aAddress, uint32_t aSlots);

  /** The backend server came back after it was lost. */
  void BackendRestarted();

  void ReportLoad(const LoadReport& aReport);
  void SetTargets(const std::vector<ClassTarget>& aTargets);

  /**
   * Blocks until the request gets a slot or is refused.
   * @return The slot's id, to be given to Release; or the refusal.
   */
  tl::expected<uint64_t, Outcome> Acquire(const Request& aRequest);

  /** aOutcome tells the scheduler how the backend server did. */
  void Release(uint64_t aId, const Outcome& aOutcome);

  /** Lets the scheduler refuse what is overdue. */
  void Tick(Time aNow);

private:
  /** A traffic thread waiting for its decision. */
  struct Waiter
  {
    std::condition_variable decided;
    std::optional<ScheduleDecision> decision;
  };

  void Publish(const ScheduleDecisions& aDecisions);

  std::mutex mutex;
  Scheduler scheduler;
  std::string address;
  uint64_t nextId = 1;
  std::unordered_map<uint64_t, Waiter*> waiters;
};

} // namespace fescuetiller
