#include "base/ids.h"

#include <cstdio>
#include <tuple>

#include <xxhash.h>

namespace fescuetiller {

bool
operator==(const PartitionId& aLeft, const PartitionId& aRight)
{
  return aLeft.index == aRight.index && aLeft.service == aRight.service;
}

bool
operator!=(const PartitionId& aLeft, const PartitionId& aRight)
{
  return !(aLeft == aRight);
}

bool
operator<(const PartitionId& aLeft, const PartitionId& aRight)
{
  return std::tie(aLeft.service, aLeft.index) <
         std::tie(aRight.service, aRight.index);
}

std::string
ToString(const PartitionId& aPartition)
{
  return aPartition.service + "/" + std::to_string(aPartition.index);
}

std::ostream&
operator<<(std::ostream& aStream, const PartitionId& aPartition)
{
  return aStream << ToString(aPartition);
}

std::string
ToHex(uint64_t aValue)
{
  char text[17];
  std::snprintf(
    text, sizeof text, "%016llx", static_cast<unsigned long long>(aValue));
  return text;
}

uint64_t
HashKey(std::string_view aKey, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aKey.data(), aKey.size(), aSeed);
}

PartitionId
PartitionOf(const std::string& aService,
            std::string_view aKey,
            uint32_t aPartitionCount)
{
  return { aService, static_cast<uint32_t>(HashKey(aKey) % aPartitionCount) };
}

} // namespace fescuetiller
