#include "cluster/storeera.h"

namespace fescuetiller {

namespace {

constexpr const char* kEraPrefix = "era/";
constexpr const char* kDrainPrefix = "drain/";
constexpr const char* kShutdownPrefix = "shutdown/";
/** Epochs of a range in one era: far more than the changes of its owner. */
constexpr uint64_t kEpochsPerEra = uint64_t(1) << 20;

bool
HasPrefix(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

/** Rows of era 0 have no prefix, so that stores without eras need none. */
std::string
Prefix(StoreEra aEra)
{
  return aEra == 0 ? "" : kEraPrefix + std::to_string(aEra) + "/";
}

} // namespace

bool
BelongsToEra(const StoreKey& aKey)
{
  bool ofAllEras =
    HasPrefix(aKey.key, kDrainPrefix) || HasPrefix(aKey.key, kShutdownPrefix);
  return (aKey.table == kClusterTable && !ofAllEras) ||
         aKey.table == kLeaseTable;
}

StoreKey
ToStoredKey(StoreKey aKey, StoreEra aEra)
{
  if (BelongsToEra(aKey)) {
    aKey.key = Prefix(aEra) + aKey.key;
  }
  return aKey;
}

StoreTransaction
ToStored(StoreTransaction aTransaction, StoreEra aEra)
{
  for (auto& condition : aTransaction.conditions) {
    condition.key = ToStoredKey(std::move(condition.key), aEra);
  }
  for (auto& row : aTransaction.sets) {
    row.key = ToStoredKey(std::move(row.key), aEra);
  }
  for (auto& key : aTransaction.removes) {
    key = ToStoredKey(std::move(key), aEra);
  }
  return aTransaction;
}

std::vector<StoreRow>
FromStored(std::vector<StoreRow> aRows, StoreEra aEra)
{
  auto prefix = Prefix(aEra);
  std::vector<StoreRow> rows;
  rows.reserve(aRows.size());
  for (auto& row : aRows) {
    if (BelongsToEra(row.key)) {
      bool ofAnyEra = HasPrefix(row.key.key, kEraPrefix);
      if (aEra == 0 ? ofAnyEra : !HasPrefix(row.key.key, prefix)) {
        continue;
      }
      row.key.key.erase(0, prefix.size());
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

uint64_t
FirstEpoch(StoreEra aEra)
{
  return aEra * kEpochsPerEra + 1;
}

} // namespace fescuetiller
