#pragma once

#include <map>
#include <set>

#include "cluster/clusterview.h"

namespace fescuetiller {

/**
 * Detects members that have exited without a guardian that could notice, for
 * example members that were guardians of each other and failed together. Every
 * second each member probes the next other member in turn. The cost per member
 * is thus independent of the number of members, while each member is probed
 * about once a second by all others together. Members that do not reply are
 * probed again every second. Does no I/O and reads no clock.
 */
class MemberProbe
{
public:
  /** Members to probe now. */
  std::vector<MemberId> Tick(Time aNow,
                             const ClusterView& aView,
                             const MemberId& aSelf);

  void OnReply(const MemberId& aMember);

  /** Members that have not replied for too long. */
  std::set<MemberId> SilentMembers(Time aNow) const;

private:
  MemberId NextMember(const ClusterView& aView, const MemberId& aSelf);

  /** Time of the first probe that got no reply. */
  std::map<MemberId, Time> unansweredSince;
  MemberId lastProbed;
  Time nextProbeAt;
};

} // namespace fescuetiller
