#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>

#include "metrics/metrics.h"
#include "tableservice/tableservice.h"

namespace fescuetiller {

/** Calls to the table service, by what became of them. Thread-safe. */
class StoreCounters
{
public:
  void CountCall(const char* aOperation);
  void CountError(ErrorCode aCode);
  /** Counts a transaction that was sent before and had no answer. */
  void CountRetryOf(const Transaction& aChange);
  void Failed(const Transaction& aChange);

  void Write(PrometheusWriter& aWriter) const;

private:
  mutable std::mutex mutex;
  std::map<std::string, uint64_t> calls;
  std::map<ErrorCode, uint64_t> errors;
  uint64_t retries = 0;
  std::set<uint64_t> unanswered; ///< Hashes of transactions.
};

/** Table service whose calls are counted. */
class CountingStore : public TableStore
{
public:
  CountingStore(std::unique_ptr<TableStore> aStore, StoreCounters& aCounters);

  Result<TransactionResult> Transact(const Transaction& aChange) override;
  Result<ReadResult> ReadRows(const std::vector<RowKey>& aKeys) override;
  Result<ReadResult> ReadChanges(const std::string& aTable,
                                 RowVersion aSince) override;

private:
  std::unique_ptr<TableStore> store;
  StoreCounters& counters;
};

} // namespace fescuetiller
