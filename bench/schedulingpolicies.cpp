#include "schedulingpolicies.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fescuetiller {

namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr double kAgeingThreshold = 4;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

double
WaitSeconds(const ClassState& aClass, Time aNow)
{
  return Seconds(aNow - aClass.queue.FrontArrivedAt());
}

/** Fixed limit, one queue for all keys, no admission but the queue's bound. */
SchedulingPolicy
MakeBaseline(const std::string& aName,
             const std::function<double(const ClassState&, Time)>& aOrder)
{
  SchedulingPolicy policy;
  policy.name = aName;
  policy.plan = [](const ClassRows&, const BackendState&, Time) {};
  policy.admit = [](ClassState&, const BackendState&, Time) {
    return QueueAdmission{};
  };
  policy.order = [aOrder](const ClassState& aClass,
                          const BackendState&,
                          Time aNow) { return aOrder(aClass, aNow); };
  policy.limit = [](const BackendState& aBackend) { return aBackend.slots; };
  policy.longestWait = [](const ClassState&) {
    return Duration(std::chrono::hours(1));
  };
  policy.fairKeys = false;
  return policy;
}

/** Slots in proportion to the square root of each class's work. */
void
DivideBySquareRoot(const ClassRows& aRows, const BackendState& aBackend, Time)
{
  double offered = 0;
  double roots = 0;
  for (const ClassState* row : aRows) {
    offered += row->offered;
    roots += std::sqrt(row->offered);
  }
  for (ClassState* row : aRows) {
    double share = std::sqrt(row->offered) / std::max(1e-9, roots);
    row->allotted = std::min(row->offered, share * aBackend.limit);
    row->limited = offered > aBackend.limit && row->allotted < row->offered;
  }
}

/** Ageing by expansion factor: above the threshold, largest factor first. */
double
ExpansionOrder(const ClassState& aClass, Time aNow)
{
  double service = Seconds(aClass.service);
  return -(WaitSeconds(aClass, aNow) + service) / service;
}

SchedulingPolicy
WithOrder(const std::string& aName,
          const std::function<double(const ClassState&, Time)>& aOrder)
{
  SchedulingPolicy policy = MakeTargetPolicy();
  auto reservation = policy.order;
  policy.name = aName;
  policy.order =
    [=](const ClassState& aClass, const BackendState& aBackend, Time aNow) {
      bool mayStart = reservation(aClass, aBackend, aNow) < kNever;
      return mayStart ? aOrder(aClass, aNow) : kNever;
    };
  return policy;
}

SchedulingPolicy
WithSettings(const std::string& aName, const TargetPolicySettings& aSettings)
{
  SchedulingPolicy policy = MakeTargetPolicy(aSettings);
  policy.name = aName;
  return policy;
}

} // namespace

std::vector<SchedulingPolicy>
BaselinePolicies()
{
  auto arrival = [](const ClassState& aClass, Time aNow) {
    return -WaitSeconds(aClass, aNow);
  };
  auto priority = [](const ClassState& aClass, Time) {
    return Seconds(aClass.target.latency);
  };
  auto deadline = [](const ClassState& aClass, Time aNow) {
    return Seconds(aClass.target.latency) - WaitSeconds(aClass, aNow);
  };
  return { MakeBaseline("fifo", arrival),
           MakeBaseline("priority", priority),
           MakeBaseline("deadline", deadline) };
}

std::vector<SchedulingPolicy>
VariantPolicies()
{
  std::vector<SchedulingPolicy> variants;
  TargetPolicySettings noReservation;
  noReservation.reserved = 0;
  variants.push_back(WithSettings("no-reservation", noReservation));
  TargetPolicySettings deadlineOnly;
  deadlineOnly.urgent = 0;
  variants.push_back(WithSettings("urgent-at-once", deadlineOnly));
  variants.push_back(WithOrder("x-factor", ExpansionOrder));
  auto aged = [](const ClassState& aClass, Time aNow) {
    double expansion = -ExpansionOrder(aClass, aNow);
    double wait = WaitSeconds(aClass, aNow);
    return expansion >= kAgeingThreshold ? -1e6 - expansion : -wait;
  };
  variants.push_back(WithOrder("x-factor-4", aged));
  SchedulingPolicy root = MakeTargetPolicy();
  root.name = "square-root";
  root.plan = DivideBySquareRoot;
  variants.push_back(root);
  return variants;
}

} // namespace fescuetiller
