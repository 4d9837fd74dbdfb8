#pragma once

#include <array>
#include <map>
#include <vector>

#include "tableservice/tableservice.h"

namespace fescuetiller {

/** Fan-out of each of the two levels of digest buckets. */
constexpr uint32_t kBucketFanout = 64;

using BucketHashes = std::array<uint32_t, kBucketFanout>;

/**
 * Newest known version of every row, with hashes by bucket so that two
 * daemons find out cheaply where they differ.
 */
class RowSet
{
public:
  /** @return Whether the row was newer than what was known; a row of version
   * 0 does not exist and is left out. */
  bool Apply(const Row& aRow);

  const Row* Find(const RowKey& aKey) const;

  size_t Size() const;

  /** Hashes of the first level. */
  const BucketHashes& TopHashes() const;

  /** Hashes of the second level below one bucket of the first. */
  BucketHashes HashesBelow(uint32_t aTopBucket) const;

  /** Rows of one bucket of the second level. */
  std::vector<Row> RowsOf(uint32_t aBucket) const;

  /** Bucket of the second level that holds a key. */
  static uint32_t BucketOf(const RowKey& aKey);

  /** Up to aLimit rows after a key, in order of keys. */
  std::vector<Row> Page(const RowKey& aAfter, size_t aLimit) const;

private:
  using Bucket = std::map<RowKey, Row>;

  void Toggle(uint32_t aBucket, const Row& aRow);

  std::map<uint32_t, Bucket> buckets;
  std::map<uint32_t, uint32_t> hashes;
  BucketHashes topHashes{};
  size_t size = 0;
};

} // namespace fescuetiller
