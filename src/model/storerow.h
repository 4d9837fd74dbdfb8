#pragma once

#include <string>
#include <vector>

#include "base/base.h"

namespace fescuetiller {

/** Full key of a row in the platform's store. */
struct StoreKey
{
  std::string table;
  std::string part; ///< Partition; its rows change together at low cost.
  std::string key;

  friend bool operator==(const StoreKey& aLeft, const StoreKey& aRight);
  friend bool operator<(const StoreKey& aLeft, const StoreKey& aRight);
};

/** "table partition key", for errors and log lines. */
std::string
ToString(const StoreKey& aKey);

/** Row of the store, or the notification that it was removed. */
struct StoreRow
{
  StoreKey key;
  std::string value;
  RowVersion version = 0;
  bool removed = false;

  friend bool operator==(const StoreRow& aLeft, const StoreRow& aRight);
};

/** Precondition: the version that a row has; 0: the row does not exist. */
struct StoreCondition
{
  StoreKey key;
  RowVersion version = 0;

  friend bool operator==(const StoreCondition& aLeft,
                         const StoreCondition& aRight);
};

/** Conditional transaction: makes all changes if all conditions are met, and
 * none otherwise. All rows belong to one partition. */
struct StoreTransaction
{
  std::vector<StoreCondition> conditions;
  std::vector<StoreRow> sets; ///< Their versions are ignored.
  std::vector<StoreKey> removes;

  friend bool operator==(const StoreTransaction& aLeft,
                         const StoreTransaction& aRight);
};

/** Result of a transaction that the store responded to. */
struct StoreOutcome
{
  bool committed = false;
  /** Version of every changed row; of the store, if not committed. */
  RowVersion version = 0;
  std::vector<StoreRow> current; ///< If not committed: rows of the conditions.
};

/** Snapshot of the rows of one partition, or changes of a table. */
struct StoreRows
{
  std::vector<StoreRow> rows;
  RowVersion version = 0; ///< Latest version of the store at that time.
  bool hasMore = false;   ///< Further rows follow the last one.
};

/** Returns nullptr if the row is not among aRows. */
const StoreRow*
FindRow(const StoreRows& aRows, const StoreKey& aKey);

/** Finds a row that exists, that is, was not removed; nullptr if there is none.
 */
const StoreRow*
FindExistingRow(const std::vector<StoreRow>& aRows, const StoreKey& aKey);

} // namespace fescuetiller
