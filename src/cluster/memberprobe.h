#pragma once

#include <map>
#include <set>

#include "cluster/clusterview.h"

namespace fescuetiller {

/**
 * Finds members whose process is gone while nobody is left to notice, such as
 * members that watched each other and were lost together. Each member asks one
 * other a second whether it lives, in turn, so that the cost of a member does
 * not grow with their number while each is asked about once a second by all
 * together. Who does not answer is asked again. Pure.
 */
class MemberProbe
{
public:
  /** Members to ask now. */
  std::vector<MemberId> Tick(Time aNow,
                             const ClusterView& aView,
                             const MemberId& aSelf);

  void OnReply(const MemberId& aMember);

  /** Members that have not answered for long. */
  std::set<MemberId> Silent(Time aNow) const;

private:
  MemberId Next(const ClusterView& aView, const MemberId& aSelf);

  std::map<MemberId, Time> askedSince; ///< Without an answer, since when.
  MemberId last;                       ///< Asked most recently.
  Time nextAt;
};

} // namespace fescuetiller
