#pragma once

#include <map>
#include <mutex>
#include <optional>

#include "ownership/ownershipsystem.h"

namespace fescuetiller {

/** Permission to run one request: carried to the backend server. */
struct Fence
{
  PartitionId partition;
  Incarnation incarnation = kNoIncarnation;
  Epoch epoch = 0;
  Time leaseUntil;
};

/**
 * What the traffic threads may serve. The control thread publishes; traffic
 * threads begin and end requests. A partition that stops admitting reports
 * when its last request has ended.
 */
class ServingTable
{
public:
  void Publish(const Serving& aServing);

  /** Whether Begin would be allowed now. */
  bool Serves(Time aNow, const PartitionId& aPartition) const;

  /** Nothing when the partition is not served here or the lease is over. */
  std::optional<Fence> Begin(Time aNow, const PartitionId& aPartition);

  void End(const PartitionId& aPartition);

  /** Partitions that do not admit and have no request running. */
  std::vector<PartitionId> Idle() const;

  size_t Running() const;

  /** Requests running for each owned partition. */
  std::map<PartitionId, size_t> RunningByPartition() const;

private:
  struct Entry
  {
    Epoch epoch = 0;
    bool admitting = false;
  };

  bool ServesLocked(Time aNow, const PartitionId& aPartition) const;

  mutable std::mutex mutex;
  Incarnation incarnation = kNoIncarnation;
  Time leaseUntil;
  std::map<PartitionId, Entry> entries;
  std::map<PartitionId, size_t> running;
};

} // namespace fescuetiller
