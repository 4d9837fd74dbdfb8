#include "cluster/transactionqueue.h"

#include <algorithm>

namespace fescuetiller {

namespace {

/** First delay after a failed attempt: several response times of the store. */
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(50);
/** Longest delay between attempts: a tenth of the time within which entries
 * must be written after an outage. */
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(400);

/** Returns the version at which the rows show the whole effect of a
 * transaction, or 0 if they do not. */
RowVersion
EffectVersion(const StoreTransaction& aTransaction,
              const std::vector<StoreRow>& aCurrent)
{
  RowVersion version = 0;
  for (const auto& set : aTransaction.sets) {
    const auto* row = FindExistingRow(aCurrent, set.key);
    if (row == nullptr || row->value != set.value) {
      return 0;
    }
    version = std::max(version, row->version);
  }
  for (const auto& key : aTransaction.removes) {
    if (FindExistingRow(aCurrent, key) != nullptr) {
      return 0;
    }
  }
  return version;
}

} // namespace

void
TransactionQueue::Add(StoreTransaction aTransaction,
                      Callback aCallback,
                      Time aGiveUpAt)
{
  this->entries.push_back(
    { std::move(aTransaction), std::move(aCallback), aGiveUpAt, false });
}

std::optional<StoreTransaction>
TransactionQueue::Next(Time aNow)
{
  if (this->sending || this->entries.empty() || aNow < this->nextAttemptAt) {
    return std::nullopt;
  }
  this->sending = true;
  return this->entries.front().transaction;
}

void
TransactionQueue::OnResponse(Time aNow, const Result<StoreOutcome>& aResponse)
{
  this->sending = false;
  if (this->ignoreResponse) {
    this->ignoreResponse = false;
    return;
  }
  auto& entry = this->entries.front();
  this->responding = aResponse.has_value();
  if (!aResponse && aResponse.error().code == ErrorCode::Unknown) {
    entry.uncertain = true;
  }
  bool givenUp = !entry.uncertain && aNow >= entry.giveUpAt;
  if (!aResponse && aResponse.error().code != ErrorCode::Refused && !givenUp) {
    this->retryDelay = this->retryDelay == Duration(0)
                         ? kFirstRetryDelay
                         : std::min(this->retryDelay * 2, kMaxRetryDelay);
    this->nextAttemptAt = aNow + this->retryDelay;
    return;
  }
  this->retryDelay = Duration(0);
  TransactionResult result;
  if (aResponse) {
    result = { aResponse->committed, aResponse->version, aResponse->current };
    if (!result.committed && entry.uncertain) {
      result.version = EffectVersion(entry.transaction, result.current);
      result.committed = result.version != 0;
    }
  }
  auto callback = std::move(entry.callback);
  this->entries.pop_front();
  callback(aNow, result);
}

void
TransactionQueue::Clear()
{
  this->entries.clear();
  this->ignoreResponse = this->sending;
  this->nextAttemptAt = Time();
  this->retryDelay = Duration(0);
}

bool
TransactionQueue::IsEmpty() const
{
  return this->entries.empty();
}

bool
TransactionQueue::IsStoreResponding() const
{
  return this->responding;
}

} // namespace fescuetiller
