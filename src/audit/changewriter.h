#pragma once

#include <functional>
#include <vector>

#include "audit/audittrail.h"

namespace fescuetiller {

/** Rows that an operator changes, and the entries that record it. */
struct OperatorChange
{
  std::string service; ///< Of all its rows.
  std::string writeId; ///< Never used for another change.
  std::vector<StoreCondition> conditions;
  std::vector<StoreRow> rows;
  std::vector<AuditEntry> entries;
};

enum class ChangeOutcome
{
  Accepted, ///< In the store, together with its audit entries.
  Conflict, ///< Not made: a row is not as the change assumed.
  NotMade,  ///< Not made: the store was not reached.
  Unknown,  ///< May have been made; the store gave no answer.
};

/** What became of an operator's change. */
struct ChangeResult
{
  ChangeOutcome outcome = ChangeOutcome::NotMade;
  RowVersion version = 0;          ///< Of the changed rows, when accepted.
  std::vector<StoreRow> conflicts; ///< What is there now, on a conflict.
  Error error;                     ///< The last failure, when not settled.
};

/** Clocks and pause of a ChangeWriter. */
struct ChangeHooks
{
  std::function<Time()> now;
  std::function<void(Duration)> wait;
  std::function<int64_t()> unixMilliseconds;
};

/** Real clocks. */
ChangeHooks
SystemChangeHooks();

/**
 * Writes changes by operators. The changed rows, the audit entries and the
 * head of the audit trail go into one transaction, so no change is accepted
 * without its record. The transaction is conditional on the head, hence at
 * most one copy of it ever commits, and the trail tells for good which one
 * did: a lost answer is settled by reading the entry with the change's
 * sequence, and the same transaction is sent again only while the head shows
 * that no copy has taken effect.
 */
class ChangeWriter
{
public:
  /** @param aTimeout After which an unsettled change is given up. */
  ChangeWriter(StoreCalls aStore, ChangeHooks aHooks, Duration aTimeout);

  ChangeResult Write(const OperatorChange& aChange);

private:
  enum class Settled
  {
    Accepted, ///< The entry with the change's sequence is this change's.
    Refused,  ///< The sequence went to another change.
    Open,     ///< No copy has taken effect yet.
  };

  StoreTransaction Build(const OperatorChange& aChange,
                         const AuditHead& aHead) const;
  Result<Settled> ReadBack(const OperatorChange& aChange,
                           const AuditHead& aHead,
                           ChangeResult& aResult);
  bool Attempt(const OperatorChange& aChange,
               const AuditHead& aHead,
               ChangeResult& aResult);
  static bool Accept(RowVersion aVersion, ChangeResult& aResult);
  bool WaitForRetry();

  StoreCalls store;
  ChangeHooks hooks;
  Duration timeout;
  Time giveUp;
};

} // namespace fescuetiller
