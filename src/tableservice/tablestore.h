#pragma once

#include <string>
#include <vector>

#include "base/base.h"

namespace fescuetiller {

/** Name of one row of the table service. */
struct RowKey
{
  std::string table;
  std::string key;

  friend bool operator==(const RowKey& aLeft, const RowKey& aRight);
  friend bool operator<(const RowKey& aLeft, const RowKey& aRight);
};

/** One row as the table service holds it; deleted rows keep their version. */
struct Row
{
  RowKey key;
  std::string value;
  RowVersion version = 0;
  bool deleted = false;

  friend bool operator==(const Row& aLeft, const Row& aRight);
};

/** Version that a row must have for a transaction to commit; 0: no row. */
struct RowCondition
{
  RowKey key;
  RowVersion version = 0;

  friend bool operator==(const RowCondition& aLeft, const RowCondition& aRight);
};

/** All conditions are checked, then all changes are made, or none. */
struct Transaction
{
  std::vector<RowCondition> conditions;
  std::vector<Row> changes;

  friend bool operator==(const Transaction& aLeft, const Transaction& aRight);
};

/** What became of a transaction that the store answered. */
struct TransactionResult
{
  bool committed = false;
  RowVersion revision = 0;    ///< New version of every changed row.
  std::vector<Row> conflicts; ///< Current rows whose conditions failed.
};

/** Rows read, and the store revision at which they were read. */
struct ReadResult
{
  std::vector<Row> rows;
  RowVersion revision = 0;
};

/**
 * The platform's transactional table service. Calls block; an error of code
 * Unknown means that a write may have taken effect or may still do so.
 */
class TableStore
{
public:
  virtual ~TableStore() = default;

  virtual Result<TransactionResult> Transact(const Transaction& aChange) = 0;

  /** Reads the named rows; rows that do not exist are left out. */
  virtual Result<ReadResult> ReadRows(const std::vector<RowKey>& aKeys) = 0;

  /** Reads the rows of a table that changed after a revision. */
  virtual Result<ReadResult> ReadChanges(const std::string& aTable,
                                         RowVersion aSince) = 0;
};

} // namespace fescuetiller
