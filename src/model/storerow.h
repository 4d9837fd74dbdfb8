#pragma once

#include <string>
#include <vector>

#include "base/base.h"

namespace fescuetiller {

/** Name of a row of the platform's store. */
struct StoreKey
{
  std::string table;
  std::string part; ///< Rows of one part change together cheaply.
  std::string key;

  friend bool operator==(const StoreKey& aLeft, const StoreKey& aRight);
  friend bool operator<(const StoreKey& aLeft, const StoreKey& aRight);
};

/** A row as the store holds it, or the news that it was removed. */
struct StoreRow
{
  StoreKey key;
  std::string value;
  RowVersion version = 0;
  bool removed = false;

  friend bool operator==(const StoreRow& aLeft, const StoreRow& aRight);
};

/** Version that a row must have; 0: the row must not exist. */
struct StoreCondition
{
  StoreKey key;
  RowVersion version = 0;

  friend bool operator==(const StoreCondition& aLeft,
                         const StoreCondition& aRight);
};

/** All conditions hold and all changes are made, or nothing is changed. The
 * rows share one part. */
struct StoreTransaction
{
  std::vector<StoreCondition> conditions;
  std::vector<StoreRow> sets; ///< Versions are not used.
  std::vector<StoreKey> removes;

  friend bool operator==(const StoreTransaction& aLeft,
                         const StoreTransaction& aRight);
};

/** What became of a transaction that the store answered. */
struct StoreOutcome
{
  bool committed = false;
  RowVersion version = 0;        ///< Version of every changed row.
  std::vector<StoreRow> current; ///< Not committed: rows of the conditions.
};

/** Rows of one part as of one moment, or the changes of a table. */
struct StoreRows
{
  std::vector<StoreRow> rows;
  RowVersion version = 0; ///< Newest version of the store at that moment.
  bool hasMore = false;   ///< Rows follow after the last one.
};

/** nullptr when the row is not among those read. */
const StoreRow*
FindRow(const StoreRows& aRows, const StoreKey& aKey);

} // namespace fescuetiller
