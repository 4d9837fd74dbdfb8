#pragma once

#include <deque>
#include <functional>
#include <optional>

#include "model/model.h"

namespace fescuetiller {

/** Final result of a transaction. */
struct TransactionResult
{
  bool committed = false;
  /** Version of every changed row. If not committed: version of the store to
   * which `current` belongs; 0 if unknown. */
  RowVersion version = 0;
  std::vector<StoreRow> current; ///< If not committed: rows of the conditions.
};

/**
 * Executes store transactions one at a time and retries each of them unchanged
 * until its outcome is certain. An attempt without a response may still take
 * effect later. A retry then fails its conditions and returns the rows that the
 * earlier attempt wrote, which counts as committed. Each changed row must have
 * a condition. Does no I/O and reads no clock; not thread-safe.
 */
class TransactionQueue
{
public:
  using Callback = std::function<void(Time, const TransactionResult&)>;

  /** @param aGiveUpAt Time from which the transaction is dropped and reported
   * as not committed, provided that certainly no attempt took effect. */
  void Add(StoreTransaction aTransaction,
           Callback aCallback,
           Time aGiveUpAt = Time::max());

  /** Returns the transaction to send now, if any. Its response must be passed
   * to OnResponse. */
  std::optional<StoreTransaction> Next(Time aNow);

  /** Passes the response to the transaction that Next returned. */
  void OnResponse(Time aNow, const Result<StoreOutcome>& aResponse);

  /** Drops all transactions without calling back. The response to one that was
   * sent is still awaited, and ignored. */
  void Clear();

  bool IsEmpty() const;

  /** Whether the last attempt returned an outcome. */
  bool IsStoreResponding() const;

private:
  struct Entry
  {
    StoreTransaction transaction;
    Callback callback;
    Time giveUpAt;
    bool uncertain = false; ///< An earlier attempt may have taken effect.
  };

  std::deque<Entry> entries;
  bool sending = false;
  bool ignoreResponse = false; ///< To a transaction that was dropped.
  bool responding = true;
  Time nextAttemptAt;
  Duration retryDelay = Duration(0);
};

} // namespace fescuetiller
