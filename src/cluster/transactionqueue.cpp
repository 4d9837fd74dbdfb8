#include "cluster/transactionqueue.h"

#include <algorithm>

namespace fescuetiller {

namespace {

/** First pause after a failed attempt: several answer times of the store. */
constexpr Duration kFirstPause = std::chrono::milliseconds(50);
/** Longest pause; a tenth of the time in which entries must be back after an
 * outage. */
constexpr Duration kLongestPause = std::chrono::milliseconds(400);

const StoreRow*
FindRow(const std::vector<StoreRow>& aRows, const StoreKey& aKey)
{
  auto found = std::find_if(aRows.begin(), aRows.end(), [&](const auto& aRow) {
    return aRow.key == aKey && !aRow.removed && aRow.version > 0;
  });
  return found == aRows.end() ? nullptr : &*found;
}

/** Version at which the rows show the whole effect of a transaction; 0: they
 * do not. */
RowVersion
EffectVersion(const StoreTransaction& aTransaction,
              const std::vector<StoreRow>& aCurrent)
{
  RowVersion version = 0;
  for (const auto& set : aTransaction.sets) {
    const auto* row = FindRow(aCurrent, set.key);
    if (row == nullptr || row->value != set.value) {
      return 0;
    }
    version = std::max(version, row->version);
  }
  for (const auto& key : aTransaction.removes) {
    if (FindRow(aCurrent, key) != nullptr) {
      return 0;
    }
  }
  return version;
}

} // namespace

void
TransactionQueue::Add(StoreTransaction aTransaction, Done aDone, Time aGiveUpAt)
{
  this->entries.push_back(
    { std::move(aTransaction), std::move(aDone), aGiveUpAt, false });
}

std::optional<StoreTransaction>
TransactionQueue::Next(Time aNow)
{
  if (this->sending || this->entries.empty() || aNow < this->nextAt) {
    return std::nullopt;
  }
  this->sending = true;
  return this->entries.front().transaction;
}

void
TransactionQueue::OnResponse(Time aNow, const Result<StoreOutcome>& aAnswer)
{
  this->sending = false;
  auto& entry = this->entries.front();
  this->answers = aAnswer.has_value();
  if (!aAnswer && aAnswer.error().code == ErrorCode::Unknown) {
    entry.uncertain = true;
  }
  bool givenUp = !entry.uncertain && aNow >= entry.giveUpAt;
  if (!aAnswer && aAnswer.error().code != ErrorCode::Refused && !givenUp) {
    this->pause = this->pause == Duration(0)
                    ? kFirstPause
                    : std::min(this->pause * 2, kLongestPause);
    this->nextAt = aNow + this->pause;
    return;
  }
  this->pause = Duration(0);
  TransactionResult settled;
  if (aAnswer) {
    settled = { aAnswer->committed, aAnswer->version, aAnswer->current };
    if (!settled.committed && entry.uncertain) {
      settled.version = EffectVersion(entry.transaction, settled.current);
      settled.committed = settled.version != 0;
    }
  }
  auto done = std::move(entry.done);
  this->entries.pop_front();
  done(aNow, settled);
}

bool
TransactionQueue::Empty() const
{
  return this->entries.empty();
}

bool
TransactionQueue::IsStoreResponding() const
{
  return this->answers;
}

} // namespace fescuetiller
