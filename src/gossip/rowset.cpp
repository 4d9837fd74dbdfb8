#include "gossip/rowset.h"

#include <algorithm>

namespace fescuetiller {

namespace {

/** Hash of a row's identity; equal versions of a row have equal contents. */
uint32_t
IdentityHash(const Row& aRow)
{
  std::string key = aRow.key.table + "/" + aRow.key.key;
  return static_cast<uint32_t>(HashKey(key, aRow.version));
}

} // namespace

uint32_t
RowSet::BucketOf(const RowKey& aKey)
{
  uint64_t hash = HashKey(aKey.table + "/" + aKey.key);
  return static_cast<uint32_t>(hash % (kBucketFanout * kBucketFanout));
}

void
RowSet::Toggle(uint32_t aBucket, const Row& aRow)
{
  uint32_t hash = IdentityHash(aRow);
  this->hashes[aBucket] ^= hash;
  this->topHashes[aBucket / kBucketFanout] ^= hash;
}

bool
RowSet::Apply(const Row& aRow)
{
  if (aRow.version == 0) {
    return false;
  }
  uint32_t bucket = BucketOf(aRow.key);
  Bucket& rows = this->buckets[bucket];
  auto known = rows.find(aRow.key);
  if (known == rows.end()) {
    rows.emplace(aRow.key, aRow);
    this->Toggle(bucket, aRow);
    ++this->size;
    return true;
  }
  if (known->second.version >= aRow.version) {
    return false;
  }
  this->Toggle(bucket, known->second);
  this->Toggle(bucket, aRow);
  known->second = aRow;
  return true;
}

const Row*
RowSet::Find(const RowKey& aKey) const
{
  auto bucket = this->buckets.find(BucketOf(aKey));
  if (bucket == this->buckets.end()) {
    return nullptr;
  }
  auto row = bucket->second.find(aKey);
  return row == bucket->second.end() ? nullptr : &row->second;
}

size_t
RowSet::Size() const
{
  return this->size;
}

const BucketHashes&
RowSet::TopHashes() const
{
  return this->topHashes;
}

BucketHashes
RowSet::HashesBelow(uint32_t aTopBucket) const
{
  BucketHashes below{};
  for (uint32_t index = 0; index < kBucketFanout; ++index) {
    auto hash = this->hashes.find(aTopBucket * kBucketFanout + index);
    below[index] = hash == this->hashes.end() ? 0 : hash->second;
  }
  return below;
}

std::vector<Row>
RowSet::RowsOf(uint32_t aBucket) const
{
  std::vector<Row> rows;
  auto bucket = this->buckets.find(aBucket);
  if (bucket == this->buckets.end()) {
    return rows;
  }
  for (const auto& [key, row] : bucket->second) {
    rows.push_back(row);
  }
  return rows;
}

std::vector<Row>
RowSet::Page(const RowKey& aAfter, size_t aLimit) const
{
  std::vector<Row> rows;
  for (const auto& [bucket, bucketRows] : this->buckets) {
    for (auto row = bucketRows.upper_bound(aAfter); row != bucketRows.end();
         ++row) {
      rows.push_back(row->second);
    }
  }
  auto byKey = [](const Row& aLeft, const Row& aRight) {
    return aLeft.key < aRight.key;
  };
  size_t count = std::min(aLimit, rows.size());
  std::partial_sort(rows.begin(),
                    rows.begin() + static_cast<ptrdiff_t>(count),
                    rows.end(),
                    byKey);
  rows.resize(count);
  return rows;
}

} // namespace fescuetiller
