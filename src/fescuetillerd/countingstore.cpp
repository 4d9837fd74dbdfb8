#include "fescuetillerd/countingstore.h"

namespace fescuetiller {

namespace {

constexpr size_t kMostUnanswered = 4096;

uint64_t
HashOf(const Transaction& aChange)
{
  return HashKey(ToWire(aChange).SerializeAsString());
}

} // namespace

void
StoreCounters::CountCall(const char* aOperation)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  ++this->calls[aOperation];
}

void
StoreCounters::CountError(ErrorCode aCode)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  ++this->errors[aCode];
}

void
StoreCounters::CountRetryOf(const Transaction& aChange)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->unanswered.empty()) {
    this->retries += this->unanswered.erase(HashOf(aChange));
  }
}

void
StoreCounters::Failed(const Transaction& aChange)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->unanswered.size() < kMostUnanswered) {
    this->unanswered.insert(HashOf(aChange));
  }
}

void
StoreCounters::Write(PrometheusWriter& aWriter) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const std::string kCalls = "fescuetiller_store_calls_total";
  aWriter.Describe(kCalls, "counter", "Calls to the table service.");
  for (const auto& [operation, count] : this->calls) {
    aWriter.Write(
      kCalls, { { "operation", operation } }, static_cast<double>(count));
  }
  const std::string kErrors = "fescuetiller_store_errors_total";
  aWriter.Describe(kErrors, "counter", "Calls that failed or had no answer.");
  for (const auto& [code, count] : this->errors) {
    aWriter.Write(
      kErrors, { { "code", ToString(code) } }, static_cast<double>(count));
  }
  const std::string kRetries = "fescuetiller_store_retries_total";
  aWriter.Describe(
    kRetries, "counter", "Transactions sent again for want of an answer.");
  aWriter.Write(kRetries, {}, static_cast<double>(this->retries));
}

CountingStore::CountingStore(std::unique_ptr<TableStore> aStore,
                             StoreCounters& aCounters)
  : store(std::move(aStore))
  , counters(aCounters)
{
}

Result<TransactionResult>
CountingStore::Transact(const Transaction& aChange)
{
  this->counters.CountCall("transact");
  this->counters.CountRetryOf(aChange);
  auto result = this->store->Transact(aChange);
  if (!result) {
    this->counters.CountError(result.error().code);
    this->counters.Failed(aChange);
  }
  return result;
}

Result<ReadResult>
CountingStore::ReadRows(const std::vector<RowKey>& aKeys)
{
  this->counters.CountCall("read_rows");
  auto result = this->store->ReadRows(aKeys);
  if (!result) {
    this->counters.CountError(result.error().code);
  }
  return result;
}

Result<ReadResult>
CountingStore::ReadChanges(const std::string& aTable, RowVersion aSince)
{
  this->counters.CountCall("read_changes");
  auto result = this->store->ReadChanges(aTable, aSince);
  if (!result) {
    this->counters.CountError(result.error().code);
  }
  return result;
}

} // namespace fescuetiller
