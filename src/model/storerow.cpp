#include "model/storerow.h"

#include <algorithm>
#include <tuple>

namespace fescuetiller {

namespace {

auto
Tie(const StoreKey& aKey)
{
  return std::tie(aKey.table, aKey.part, aKey.key);
}

} // namespace

bool
operator==(const StoreKey& aLeft, const StoreKey& aRight)
{
  return Tie(aLeft) == Tie(aRight);
}

bool
operator<(const StoreKey& aLeft, const StoreKey& aRight)
{
  return Tie(aLeft) < Tie(aRight);
}

std::string
ToString(const StoreKey& aKey)
{
  return aKey.table + " " + aKey.part + " " + aKey.key;
}

bool
operator==(const StoreRow& aLeft, const StoreRow& aRight)
{
  return aLeft.key == aRight.key && aLeft.value == aRight.value &&
         aLeft.version == aRight.version && aLeft.removed == aRight.removed;
}

bool
operator==(const StoreCondition& aLeft, const StoreCondition& aRight)
{
  return aLeft.key == aRight.key && aLeft.version == aRight.version;
}

bool
operator==(const StoreTransaction& aLeft, const StoreTransaction& aRight)
{
  return aLeft.conditions == aRight.conditions && aLeft.sets == aRight.sets &&
         aLeft.removes == aRight.removes;
}

const StoreRow*
FindRow(const StoreRows& aRows, const StoreKey& aKey)
{
  auto found =
    std::find_if(aRows.rows.begin(),
                 aRows.rows.end(),
                 [&](const StoreRow& aRow) { return aRow.key == aKey; });
  return found == aRows.rows.end() ? nullptr : &*found;
}

const StoreRow*
FindExistingRow(const std::vector<StoreRow>& aRows, const StoreKey& aKey)
{
  auto found = std::find_if(aRows.begin(), aRows.end(), [&](const auto& aRow) {
    return aRow.key == aKey && !aRow.removed && aRow.version > 0;
  });
  return found == aRows.end() ? nullptr : &*found;
}

} // namespace fescuetiller
