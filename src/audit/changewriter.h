#pragma once

#include <functional>
#include <vector>

#include "audit/audittrail.h"

namespace fescuetiller {

/** A change that an operator makes, and the audit entries that record it. */
struct OperatorChange
{
  std::string service; ///< The service that all the rows belong to.
  std::string writeId; ///< Unique id; never reused for another change.
  std::vector<StoreCondition> conditions; ///< Row versions it is based on.
  std::vector<StoreRow> rows;             ///< Rows to write.
  std::vector<AuditEntry> entries; ///< Write() fills in service, sequence,
                                   ///< time and write id.
};

enum class ChangeOutcome
{
  Accepted, ///< Committed, together with its audit entries.
  Conflict, ///< Not committed: a row has another version than expected.
  NotMade,  ///< Not committed: the store could not be reached.
  Unknown,  ///< May have been committed; the store's response was lost.
};

/** Outcome of an operator's change. */
struct ChangeResult
{
  ChangeOutcome outcome = ChangeOutcome::NotMade;
  RowVersion version = 0; ///< Version of the changed rows, when accepted.
  std::vector<StoreRow> conflicts; ///< Current rows, on a conflict.
  Error error; ///< The last failure, when NotMade or Unknown.
};

/** Clocks and sleep function of a ChangeWriter; tests replace them. */
struct ChangeHooks
{
  std::function<Time()> now;
  std::function<void(Duration)> sleep;
  std::function<int64_t()> unixMilliseconds;
};

/** The clocks and the sleep function of the system. */
ChangeHooks
SystemChangeHooks();

/**
 * Writes changes by operators. The changed rows, the audit entries and the
 * head of the audit trail are written in one transaction, so that no change is
 * accepted without its audit entries. The transaction is conditional on the
 * head's version, so that at most one copy of it commits. When a response is
 * lost, the writer reads the audit entry with the change's sequence number to
 * find out whether a copy has committed. It sends the transaction again only
 * while the head shows that no copy has.
 */
class ChangeWriter
{
public:
  /** @param aTimeout Time after which Write() stops retrying. */
  ChangeWriter(StoreCalls aStore, ChangeHooks aHooks, Duration aTimeout);

  /** Writes a change and blocks until its outcome is known or time is up. */
  ChangeResult Write(const OperatorChange& aChange);

private:
  /** Whether a copy of a transaction has committed, according to the trail. */
  enum class CommitState
  {
    Committed,  ///< The audit entry with its sequence number is its own.
    Superseded, ///< Another change has used its sequence number.
    Pending,    ///< No copy has committed yet.
  };

  StoreTransaction BuildTransaction(const OperatorChange& aChange,
                                    const AuditHead& aHead) const;
  Result<CommitState> ReadCommitState(const OperatorChange& aChange,
                                      const AuditHead& aHead,
                                      ChangeResult& aResult);
  bool TryCommit(const OperatorChange& aChange,
                 const AuditHead& aHead,
                 ChangeResult& aResult);
  static bool SetAccepted(RowVersion aVersion, ChangeResult& aResult);
  /** @return False when the time for retries is up. */
  bool WaitForRetry();

  StoreCalls store;
  ChangeHooks hooks;
  Duration timeout;
  Time deadline;
};

} // namespace fescuetiller
