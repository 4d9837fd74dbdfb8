#pragma once

#include <map>
#include <string>
#include <vector>

#include "ownership/ownership.h"

namespace fescuetiller {

/**
 * Reads the history of a run as it happens, in true time: who served which
 * partition and which dispatches the backend servers ran. Collects every
 * breach of the rules of ownership.
 */
class OwnershipChecker
{
public:
  /**
   * @param aNodes Nodes that serve a partition at this moment.
   * @param aAnswers Whether one of them has a backend server that runs.
   */
  void Served(Time aNow,
              const PartitionId& aPartition,
              const std::vector<size_t>& aNodes,
              bool aAnswers);

  /** A backend server began a dispatch that carries this fence. */
  void Started(Time aNow, size_t aNode, const Fence& aFence);

  void Committed(Time aNow, const Fence& aFence);

  /** A dispatch that ran was broken off. */
  void Cut(Time aNow, size_t aNode, const Fence& aFence);

  /** A daemon was told that a transaction committed. */
  void Acknowledged(const Transaction& aChange);

  /** From now on a node may acquire nothing new after the grace period. */
  void Leaving(Time aNow, size_t aNode);
  void Returned(size_t aNode);

  /** Compares what was acknowledged with what the store kept. */
  void CompareWith(const std::vector<Row>& aRows);

  const std::vector<std::string>& Breaches() const;

  /** Longest time since aFrom that any partition was served by nobody. */
  Duration LongestGap(Time aFrom) const;

  size_t CutCount() const;
  size_t RunCount() const;

private:
  struct History
  {
    Epoch newest = 0;
    Incarnation holder = kNoIncarnation;
    Epoch acknowledged = 0;
    Incarnation acknowledgedOwner = kNoIncarnation;
    Time lastServed;
    std::vector<std::pair<Time, Time>> gaps;
  };

  void Breach(Time aNow, const PartitionId& aPartition, const std::string& aIs);

  std::map<PartitionId, History> partitions;
  std::map<size_t, Time> leaving;
  std::vector<std::string> breaches;
  size_t cuts = 0;
  size_t runs = 0;
};

} // namespace fescuetiller
