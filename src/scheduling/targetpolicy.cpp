#include "scheduling/targetpolicy.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fescuetiller {

namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
/** Slowest answers to allow for, over the usual time. */
constexpr int kSlowAnswerFactor = 3;
constexpr Duration kDrainTime = std::chrono::milliseconds(250);
/** Share of the offered work from which a class is not limited. */
constexpr double kWorthLimiting = 0.995;
/** Slots of offered work from which a class counts for the reservations. */
constexpr double kActive = 0.01;
/** Seconds; puts what is urgent before everything that is not. */
constexpr double kBeforeAnyArrival = 1e6;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

bool
RanksBefore(const ClassState* aLeft, const ClassState* aRight)
{
  if (aLeft->target.share != aRight->target.share) {
    return aLeft->target.share > aRight->target.share;
  }
  return aLeft->target.latency < aRight->target.latency;
}

ClassRows
Ranked(const ClassRows& aRows)
{
  ClassRows ranked = aRows;
  std::stable_sort(ranked.begin(), ranked.end(), RanksBefore);
  return ranked;
}

/** Takes slots back from the last ranks, down to the floor. */
void
CutFromLast(const ClassRows& aRows, double aSlots, double aFloor)
{
  ClassRows ranked = Ranked(aRows);
  double left = aSlots;
  for (auto row = ranked.rbegin(); row != ranked.rend(); ++row) {
    double over = (*row)->allotted - std::min((*row)->offered, aFloor);
    double cut = std::clamp(over, 0.0, left);
    (*row)->allotted -= cut;
    left -= cut;
  }
}

/** Share of the offered work to grant: half of the allowed loss is kept for
 * what is lost by chance. */
double
NeededShare(const ClassState& aClass)
{
  return (1 + aClass.target.share) / 2;
}

/** Wait that a class's queue may build up. */
Duration
IntendedWait(const ClassState& aClass, const TargetPolicySettings& aSettings)
{
  Duration share = FromSeconds(Seconds(aClass.target.latency) * aSettings.wait);
  return std::min(share, aSettings.longestWait);
}

/** Slots to keep free of new work, so that queues longer than intended
 * drain. */
double
DrainSlots(const ClassRows& aRows, const TargetPolicySettings& aSettings)
{
  double excess = 0;
  for (const ClassState* row : aRows) {
    double intended = row->allotted * Seconds(IntendedWait(*row, aSettings));
    excess += std::max(0.0, Seconds(row->Queued()) - intended);
  }
  return excess / Seconds(kDrainTime);
}

/** Requests a second that the plan admits. */
double
PlannedRate(const ClassState& aClass)
{
  return aClass.allotted / std::max(1e-6, Seconds(aClass.service));
}

double
TokenLimit(const ClassState& aClass, const TargetPolicySettings& aSettings)
{
  double seconds = Seconds(IntendedWait(aClass, aSettings));
  return std::max(1.0, PlannedRate(aClass) * seconds);
}

void
RefillTokens(ClassState& aClass,
             Time aNow,
             const TargetPolicySettings& aSettings)
{
  double added = PlannedRate(aClass) * Seconds(aNow - aClass.tokensAt);
  aClass.tokensAt = aNow;
  aClass.tokens =
    aClass.limited ? aClass.tokens + added : std::numeric_limits<double>::max();
  aClass.tokens = std::min(aClass.tokens, TokenLimit(aClass, aSettings));
}

Duration
LongestWait(const ClassState& aClass)
{
  Duration service = aClass.service * kSlowAnswerFactor;
  return std::max(aClass.target.latency - service, aClass.target.latency / 2);
}

QueueAdmission
Admit(ClassState& aClass,
      const BackendState& aBackend,
      Time aNow,
      const TargetPolicySettings& aSettings)
{
  RefillTokens(aClass, aNow, aSettings);
  bool risky = aBackend.frozen && !aBackend.reportedHealthy;
  bool idle = aBackend.waiting == 0 && aBackend.running < aBackend.limit;
  if (idle && (!risky || aClass.target.idempotent)) {
    return {};
  }
  if (aBackend.frozen) {
    return { false, aBackend.retryAfter, "backend server does not answer" };
  }
  double slots = aClass.covered ? aBackend.limit : aClass.allotted;
  Duration queued = aClass.covered ? aClass.queuedFaster : aClass.Queued();
  Duration expected = FromSeconds(Seconds(queued) / std::max(0.1, slots));
  Duration bound =
    aClass.covered ? LongestWait(aClass) : IntendedWait(aClass, aSettings);
  if (expected > bound) {
    return { false, RetryAfter(aClass, aBackend), "would miss its target" };
  }
  if (!aClass.limited) {
    return {};
  }
  if (aClass.tokens < 1) {
    return { false, RetryAfter(aClass, aBackend), "overload" };
  }
  aClass.tokens -= 1;
  return {};
}

double
Order(const ClassState& aClass,
      const BackendState& aBackend,
      Time aNow,
      const TargetPolicySettings& aSettings)
{
  uint32_t reserved = aBackend.limit > 1 ? aSettings.reserved : 0;
  if (aClass.lengthy && aBackend.runningLengthy + reserved >= aBackend.limit) {
    return kNever;
  }
  double wait = Seconds(aNow - aClass.queue.FrontArrivedAt());
  double intended = Seconds(IntendedWait(aClass, aSettings));
  double urgentAfter = aClass.covered ? intended * aSettings.urgent : intended;
  if (wait >= urgentAfter) {
    return -kBeforeAnyArrival - wait / intended;
  }
  return -wait;
}

} // namespace

void
DivideByRank(const ClassRows& aRows, double aSlots, double aFloor)
{
  ClassRows ranked = Ranked(aRows);
  double left = aSlots;
  double needed = 0;
  auto grant = [&left](ClassState* aRow, double aUpTo) {
    double more = std::clamp(aUpTo - aRow->allotted, 0.0, left);
    aRow->allotted += more;
    left -= more;
  };
  for (ClassState* row : ranked) {
    row->allotted = 0;
    grant(row, std::min(row->offered, aFloor));
    needed += row->offered * NeededShare(*row);
  }
  if (needed <= aSlots) {
    for (ClassState* row : ranked) {
      grant(row, row->offered * NeededShare(*row));
    }
  }
  for (ClassState* row : ranked) {
    grant(row, row->offered);
  }
  for (ClassState* row : ranked) {
    row->covered = row->allotted >= row->offered * row->target.share;
  }
}

SchedulingPolicy
MakeTargetPolicy(const TargetPolicySettings& aSettings)
{
  SchedulingPolicy policy;
  policy.name = "targets";
  policy.plan =
    [aSettings](const ClassRows& aRows, const BackendState& aBackend, Time) {
      double limit = aBackend.limit;
      auto active =
        std::count_if(aRows.begin(), aRows.end(), [](const ClassState* aRow) {
          return aRow->offered > kActive;
        });
      double floor = limit / std::max(limit, 2 * static_cast<double>(active));
      DivideByRank(aRows, limit * aSettings.usable, floor);
      double drain = DrainSlots(aRows, aSettings);
      CutFromLast(aRows, std::min(drain, limit / 2), floor);
      for (ClassState* row : aRows) {
        double behind = Seconds(row->queuedFaster) / limit;
        double evidence =
          Seconds(IntendedWait(*row, aSettings)) * aSettings.urgent;
        row->limited =
          behind > evidence && row->allotted < row->offered * kWorthLimiting;
      }
    };
  policy.admit =
    [aSettings](ClassState& aClass, const BackendState& aBackend, Time aNow) {
      return Admit(aClass, aBackend, aNow, aSettings);
    };
  policy.order = [aSettings](const ClassState& aClass,
                             const BackendState& aBackend,
                             Time aNow) {
    return Order(aClass, aBackend, aNow, aSettings);
  };
  policy.limit = [](const BackendState& aBackend) { return aBackend.limit; };
  policy.longestWait = LongestWait;
  return policy;
}

} // namespace fescuetiller
