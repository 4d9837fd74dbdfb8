#include "model/serverreport.h"

#include <tuple>

namespace fescuetiller {

bool
operator==(const ServerLife& aLeft, const ServerLife& aRight)
{
  return aLeft.id == aRight.id && aLeft.startedAt == aRight.startedAt;
}

bool
operator!=(const ServerLife& aLeft, const ServerLife& aRight)
{
  return !(aLeft == aRight);
}

bool
operator==(const HeldRange& aLeft, const HeldRange& aRight)
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
    return std::tie(aReport.life,
                    aReport.service,
                    aReport.address,
                    aReport.zone,
                    aReport.slots,
                    aReport.draining,
                    aReport.coldFor,
                    aReport.sequence,
                    aReport.holds,
                    aReport.released);
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
  return aLeft.ranges == aRight.ranges && aLeft.holdFor == aRight.holdFor;
}

bool
operator==(const HeartbeatReply& aLeft, const HeartbeatReply& aRight)
{
  return aLeft.grants == aRight.grants;
}

} // namespace fescuetiller
