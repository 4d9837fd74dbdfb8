#pragma once

#include "scheduling/schedulingpolicy.h"

namespace fescuetiller {

/** Proportions of the target policy, for variants in the benchmark. */
struct TargetPolicySettings
{
  /** Share of the limit that the plan hands out. */
  double usable = 1;
  /** Wait, as a share of the target latency, that a queue may build up. */
  double wait = 0.5;
  /** Longest wait that a queue may build up, however loose the target. */
  Duration longestWait = std::chrono::milliseconds(250);
  /** Share of that wait from which a request goes before older ones. */
  double urgent = 0.25;
  /** Slots that the slower targets leave to the faster ones. */
  uint32_t reserved = 1;
};

/**
 * Schedules by the operators' targets alone. Capacity goes to the classes with
 * the higher share target first, then to the tighter latency; each class keeps
 * a reservation. A class granted less than it is offered is admitted at that
 * rate. Requests start in the order of arrival until one becomes urgent.
 */
SchedulingPolicy
MakeTargetPolicy(const TargetPolicySettings& aSettings = {});

/** Divides aSlots among the rows: every row its floor, then by rank. */
void
DivideByRank(const ClassRows& aRows, double aSlots, double aFloor);

} // namespace fescuetiller
