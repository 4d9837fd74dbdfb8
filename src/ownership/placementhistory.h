#pragma once

#include <map>

#include "ownership/clustertable.h"
#include "placement/placement.h"

namespace fescuetiller {

/** When members were first known and partitions changed owners, by this
 * daemon's clock; the placement policy paces its moves by these. */
class PlacementHistory
{
public:
  /** Takes up what changed in the table. */
  void Follow(Time aNow, const ClusterTable& aTable);

  /** Fills in ages and previous owners. */
  void Complete(PlacementView& aView) const;

private:
  struct Ownership
  {
    Incarnation owner = kNoIncarnation;
    Incarnation previous = kNoIncarnation;
    Time since;
  };

  uint64_t followed = 0;
  std::map<Incarnation, Time> knownSince;
  std::map<PartitionId, Ownership> ownerships;
};

} // namespace fescuetiller
