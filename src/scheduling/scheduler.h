#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "scheduling/schedulingpolicy.h"

namespace fescuetiller {

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

using ScheduleDecisions = std::vector<ScheduleDecision>;

/**
 * Decides which request gets the next slot of the one backend server. Holds a
 * table of classes that the policy's hooks run over. Pure: not thread-safe,
 * time passed in, decisions returned. A decision takes time linear in the
 * classes and logarithmic in the requests.
 */
class Scheduler
{
public:
  /** Uses the target policy. */
  explicit Scheduler(uint32_t aSlots);
  Scheduler(uint32_t aSlots, SchedulingPolicy aPolicy);

  void SetSlots(uint32_t aSlots);

  /** The backend server started anew; its limit ramps up. */
  void BackendRestarted();

  void ReportLoad(const LoadReport& aReport);

  /** Waiting requests of a removed class stay, under its last target. */
  void SetTargets(const std::vector<ClassTarget>& aTargets);

  ScheduleDecisions Offer(Time aNow, const QueuedRequest& aRequest);

  /** A started request has ended; frees its slot. */
  ScheduleDecisions Finished(Time aNow,
                             uint64_t aId,
                             RunEnd aEnd = RunEnd::Done);

  /** A waiting request is no longer wanted. */
  void Cancel(uint64_t aId);

  /** Refuses what can no longer be answered in time. */
  ScheduleDecisions Tick(Time aNow);

  size_t Running() const;
  size_t Waiting() const;
  const BackendState& Backend() const;

private:
  struct Entry
  {
    ClassState* row = nullptr;
    uint64_t keyHash = 0;
    bool running = false;
    Time arrivedAt;
    Time deadline;
    Time startedAt;
    Time giveUpAt;
  };
  using RowKey = std::pair<std::string, std::string>;

  ClassState& RowOf(const QueuedRequest& aRequest);
  ClassState& AddRow(const RowKey& aKey, const ClassTarget& aTarget);
  void AddRowsOf(const std::string& aService);
  void OrderRows();
  void RemoveIdleRows();
  void Summarise();
  void CountArrival(Time aNow, ClassState& aRow);
  void Plan(Time aNow);
  void Enqueue(const QueuedRequest& aRequest, ClassState& aRow);
  void SetGiveUp(uint64_t aId, Entry& aEntry);
  void Expire(Time aNow, ScheduleDecisions& aDecisions);
  void RefuseWaiting(ScheduleDecisions& aDecisions);
  void Refuse(uint64_t aId,
              const std::string& aReason,
              ScheduleDecisions& aDecisions);
  void Fill(Time aNow, ScheduleDecisions& aDecisions);
  ClassState* NextRow(Time aNow);
  void Start(Time aNow, ClassState& aRow, ScheduleDecisions& aDecisions);

  SchedulingPolicy policy;
  BackendEstimate backend;
  std::map<RowKey, ClassTarget> targets;
  std::map<RowKey, std::unique_ptr<ClassState>> table;
  ClassRows rows; ///< The table from the tightest to the loosest latency.
  std::unordered_map<uint64_t, Entry> requests;
  std::set<std::pair<Time, uint64_t>> giveUps;
  size_t running = 0;
  Time nextPlan;
};

} // namespace fescuetiller
