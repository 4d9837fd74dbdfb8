#pragma once

#include <vector>

#include "scheduling/scheduling.h"

namespace fescuetiller {

/** Policies that the target policy is measured against. */
std::vector<SchedulingPolicy>
BaselinePolicies();

/** Variants of the target policy, one idea each. */
std::vector<SchedulingPolicy>
VariantPolicies();

} // namespace fescuetiller
