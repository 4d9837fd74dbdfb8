#pragma once

#include <deque>
#include <functional>

#include "standins/memorytablestore.h"

namespace fescuetiller {

/** What happens to one call to the table service. */
enum class StoreFault
{
  None,
  Unreachable, ///< Nothing took effect, and the caller knows.
  RequestLost, ///< Nothing took effect, but the caller can't know.
  AnswerLost,  ///< Took effect, but the caller can't know.
  Late,        ///< Takes effect just before the next call.
};

/** Table service that fails its calls as a list of faults tells. */
class FaultyStore : public TableStore
{
public:
  explicit FaultyStore(MemoryTableStore& aStore);

  Result<TransactionResult> Transact(const Transaction& aChange) override;
  Result<ReadResult> ReadRows(const std::vector<RowKey>& aKeys) override;
  Result<ReadResult> ReadChanges(const std::string& aTable,
                                 RowVersion aSince) override;

  std::deque<StoreFault> transactFaults;
  std::deque<StoreFault> readFaults;
  /** Runs before each transaction reaches the store. */
  std::function<void()> beforeTransact;

private:
  StoreFault Next(std::deque<StoreFault>& aFaults);

  MemoryTableStore& store;
  std::deque<Transaction> late;
};

} // namespace fescuetiller
