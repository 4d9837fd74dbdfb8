#pragma once

#include <map>
#include <set>
#include <vector>

#include "cluster/clusterview.h"

namespace fescuetiller {

/**
 * Tells which members have a process that runs, by what was heard from them.
 * Every second each member probes the next other member in turn. The cost per
 * member is thus independent of the number of members, while each member is
 * probed about once a second by all others together. Members that do not reply
 * are probed again every second, and new ones at once. This also detects
 * members that have exited without a guardian that could notice, for example
 * members that were guardians of each other and failed together. Does no I/O
 * and reads no clock.
 */
class MemberProbe
{
public:
  /** Members to probe now. */
  std::vector<MemberId> Tick(Time aNow,
                             const ClusterView& aView,
                             const MemberId& aSelf);

  /** Records a reply, or any other message that a member itself has sent. */
  void OnReply(const MemberId& aMember);

  /** Members that have not replied for too long. */
  std::set<MemberId> SilentMembers(Time aNow) const;

  /** Those of the silent members from which nothing was ever heard. */
  std::set<MemberId> UnheardMembers(Time aNow) const;

  /** Whether a member was heard, and no recent probe of it is without a reply.
   * Its row alone is no evidence that it has a process. */
  bool IsAlive(Time aNow, const MemberId& aMember) const;

private:
  MemberId NextMember(const ClusterView& aView, const MemberId& aSelf);
  std::vector<MemberId> ProbeNewMembers(Time aNow,
                                        const ClusterView& aView,
                                        const MemberId& aSelf);

  /** Time of the first probe that got no reply. */
  std::map<MemberId, Time> unansweredSince;
  std::set<MemberId> heard;
  /** Changes of the view after which all new members were probed. */
  uint64_t probedChanges = 0;
  /** Probes of new members, for which others are left out later. */
  size_t probedAhead = 0;
  MemberId lastProbed;
  Time nextProbeAt;
};

} // namespace fescuetiller
