#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "ownership/ownership.h"

namespace fescuetiller {

/** Where a partition's owner is reached. */
struct Route
{
  Incarnation owner = kNoIncarnation;
  Epoch epoch = 0;
  RowVersion ownedSince = 0; ///< Version of the assignment.
  std::string peerAddress;
  std::string callerAddress;
};

/** Owners of all partitions, published by the control thread. Thread-safe. */
class Routes
{
public:
  void Publish(const ClusterTable& aTable);

  /** A revision that the table service has reached. */
  RowVersion Revision() const;

  std::optional<Route> Find(const PartitionId& aPartition) const;

private:
  using Map = std::map<PartitionId, Route>;

  mutable std::mutex mutex;
  RowVersion revision = 0;
  std::shared_ptr<const Map> current = std::make_shared<Map>();
};

} // namespace fescuetiller
