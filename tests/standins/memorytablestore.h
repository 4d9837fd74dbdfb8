#pragma once

#include <map>
#include <mutex>

#include "tableservice/tableservice.h"

namespace fescuetiller {

/** Table service held in memory: conditional transactions, change reads. */
class MemoryTableStore : public TableStore
{
public:
  Result<TransactionResult> Transact(const Transaction& aChange) override;
  Result<ReadResult> ReadRows(const std::vector<RowKey>& aKeys) override;
  Result<ReadResult> ReadChanges(const std::string& aTable,
                                 RowVersion aSince) override;

private:
  std::mutex mutex;
  RowVersion revision = 0;
  std::map<RowKey, Row> rows;
};

} // namespace fescuetiller
