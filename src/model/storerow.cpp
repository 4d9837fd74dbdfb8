#include "model/storerow.h"

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

} // namespace fescuetiller
