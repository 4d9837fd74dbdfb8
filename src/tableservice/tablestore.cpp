#include "tableservice/tablestore.h"

#include <tuple>

namespace fescuetiller {

bool
operator==(const RowKey& aLeft, const RowKey& aRight)
{
  return std::tie(aLeft.table, aLeft.key) == std::tie(aRight.table, aRight.key);
}

bool
operator<(const RowKey& aLeft, const RowKey& aRight)
{
  return std::tie(aLeft.table, aLeft.key) < std::tie(aRight.table, aRight.key);
}

bool
operator==(const Row& aLeft, const Row& aRight)
{
  return std::tie(aLeft.key, aLeft.value, aLeft.version, aLeft.deleted) ==
         std::tie(aRight.key, aRight.value, aRight.version, aRight.deleted);
}

bool
operator==(const RowCondition& aLeft, const RowCondition& aRight)
{
  return std::tie(aLeft.key, aLeft.version) ==
         std::tie(aRight.key, aRight.version);
}

bool
operator==(const Transaction& aLeft, const Transaction& aRight)
{
  return std::tie(aLeft.conditions, aLeft.changes) ==
         std::tie(aRight.conditions, aRight.changes);
}

} // namespace fescuetiller
