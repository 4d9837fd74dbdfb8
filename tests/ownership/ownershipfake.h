#pragma once

#include <memory>

#include "ownership/ownership.h"
#include "standins/memorytablestore.h"

namespace fescuetiller {

/** A few ownership systems joined by a link and a store that deliver at once,
 * on a manual clock. */
class OwnershipFake
{
public:
  struct Node
  {
    std::unique_ptr<OwnershipSystem> system;
    std::vector<Input> inbox;
    RowVersion readMembers = 0;
    bool running = true;
  };

  explicit OwnershipFake(size_t aCount);

  /** Advances the clock in steps of 10 ms. */
  void Run(Duration aTime);

  Time Now() const;
  Node& At(size_t aIndex);

  /** Nodes that admit requests for a partition right now. */
  size_t OwnersOf(const PartitionId& aPartition) const;

  static constexpr uint32_t kPartitions = 16;

private:
  void Deliver(size_t aFrom, const Output& aOutput);

  Time now = FromBootNanoseconds(1);
  MemoryTableStore store;
  std::vector<Node> nodes;
};

} // namespace fescuetiller
