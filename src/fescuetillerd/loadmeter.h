#pragma once

#include <map>

#include "base/base.h"

namespace fescuetiller {

/** Busy slots of each owned partition, smoothed over time. */
class LoadMeter
{
public:
  /** @param aRunning Requests running now, for every owned partition. */
  void Sample(Time aNow, const std::map<PartitionId, size_t>& aRunning);

  const std::map<PartitionId, double>& Partitions() const;

  /** Sum over the partitions. */
  double Total() const;

private:
  Time lastSample;
  std::map<PartitionId, double> busy;
};

} // namespace fescuetiller
