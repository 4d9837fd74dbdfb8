#include "model/serverreport.h"

#include <tuple>

namespace fescuetiller {

bool
operator==(const ServerIncarnation& aLeft, const ServerIncarnation& aRight)
{
  return aLeft.id == aRight.id && aLeft.startedAt == aRight.startedAt;
}

bool
operator!=(const ServerIncarnation& aLeft, const ServerIncarnation& aRight)
{
  return !(aLeft == aRight);
}

bool
operator==(const GrantedRange& aLeft, const GrantedRange& aRight)
{
  return aLeft.range == aRight.range && aLeft.fence == aRight.fence;
}

bool
operator==(const ReleasedRange& aLeft, const ReleasedRange& aRight)
{
  return aLeft.range == aRight.range && aLeft.handover == aRight.handover;
}

bool
operator==(const ServerReport& aLeft, const ServerReport& aRight)
{
  auto tie = [](const ServerReport& aReport) {
    return std::tie(aReport.incarnation,
                    aReport.service,
                    aReport.address,
                    aReport.zone,
                    aReport.slots,
                    aReport.draining,
                    aReport.remainingWarmUp,
                    aReport.sequence,
                    aReport.grantedRanges,
                    aReport.releasedRanges);
  };
  return tie(aLeft) == tie(aRight);
}

bool
operator==(const Grant& aLeft, const Grant& aRight)
{
  return aLeft.range == aRight.range && aLeft.fence == aRight.fence &&
         aLeft.handover == aRight.handover;
}

bool
operator==(const Grants& aLeft, const Grants& aRight)
{
  return aLeft.ranges == aRight.ranges && aLeft.validFor == aRight.validFor;
}

bool
operator==(const HeartbeatReply& aLeft, const HeartbeatReply& aRight)
{
  return aLeft.grants == aRight.grants;
}

} // namespace fescuetiller
