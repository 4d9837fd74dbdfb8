#pragma once

#include <deque>
#include <functional>
#include <optional>

#include "model/model.h"

namespace fescuetiller {

/** What became of a transaction for certain. */
struct TransactionResult
{
  bool committed = false;
  RowVersion version = 0;
  std::vector<StoreRow> current; ///< Not committed: rows that stood in the way.
};

/**
 * Changes of the store, one after the other, each sent again unchanged until
 * its outcome is certain. An attempt without an answer may take effect later;
 * a later attempt then fails its conditions and shows rows that the earlier one
 * wrote, which counts as committed. Each changed row must have a condition.
 * Pure: time passed in, not thread-safe.
 */
class TransactionQueue
{
public:
  using Done = std::function<void(Time, const TransactionResult&)>;

  /** @param aGiveUpAt From then on the change is dropped, and reported as not
   * committed, if it is certain that no attempt had an effect. */
  void Add(StoreTransaction aTransaction,
           Done aDone,
           Time aGiveUpAt = Time::max());

  /** The transaction to send now, if any; it is then awaited. */
  std::optional<StoreTransaction> Next(Time aNow);

  /** Answer to what Next gave. */
  void OnResponse(Time aNow, const Result<StoreOutcome>& aAnswer);

  bool Empty() const;

  /** Whether the last attempt had a certain answer. */
  bool IsStoreResponding() const;

private:
  struct Entry
  {
    StoreTransaction transaction;
    Done done;
    Time giveUpAt;
    bool uncertain = false; ///< An earlier attempt had no answer.
  };

  std::deque<Entry> entries;
  bool sending = false;
  bool answers = true;
  Time nextAt;
  Duration pause = Duration(0);
};

} // namespace fescuetiller
