#include "fescuetillerd/nodebudgets.h"

#include <algorithm>
#include <limits>

#include <sys/resource.h>

namespace fescuetiller {

namespace {

uint32_t
DescriptorLimit(const NodeSettings& aSettings)
{
  rlimit allowed{};
  if (::getrlimit(RLIMIT_NOFILE, &allowed) != 0) {
    return aSettings.maxDescriptors;
  }
  auto limit = static_cast<uint32_t>(
    std::min<rlim_t>(allowed.rlim_cur, std::numeric_limits<uint32_t>::max()));
  return aSettings.maxDescriptors == 0
           ? limit
           : std::min(limit, aSettings.maxDescriptors);
}

} // namespace

NodeBudgets
BudgetsOf(const NodeSettings& aSettings)
{
  return MakeNodeBudgets(aSettings.memoryMegabytes, DescriptorLimit(aSettings));
}

} // namespace fescuetiller
