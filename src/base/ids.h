#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

namespace fescuetiller {

/** Identifies one run of one daemon; drawn at random at each start. */
using Incarnation = uint64_t;
constexpr Incarnation kNoIncarnation = 0;

/** Version of one partition's assignment; grows by one with each owner. */
using Epoch = uint64_t;

/** Version of one row of the table service; 0 means that no row exists. */
using RowVersion = uint64_t;

/** Partition of a service's keys; the unit of ownership. */
struct PartitionId
{
  std::string service;
  uint32_t index = 0;

  friend bool operator==(const PartitionId& aLeft, const PartitionId& aRight);
  friend bool operator!=(const PartitionId& aLeft, const PartitionId& aRight);
  friend bool operator<(const PartitionId& aLeft, const PartitionId& aRight);
};

std::string
ToString(const PartitionId& aPartition);

std::ostream&
operator<<(std::ostream& aStream, const PartitionId& aPartition);

/** Sixteen hex digits, the written form of an incarnation. */
std::string
ToHex(uint64_t aValue);

/** Stable 64-bit hash (XXH3), the same on every daemon. */
uint64_t
HashKey(std::string_view aKey, uint64_t aSeed = 0);

/** Partition that holds a key. aPartitionCount must not be 0. */
PartitionId
PartitionOf(const std::string& aService,
            std::string_view aKey,
            uint32_t aPartitionCount);

} // namespace fescuetiller
