#include "audit/changewriter.h"

#include <thread>

namespace fescuetiller {

namespace {

constexpr Duration kRetryInterval = std::chrono::milliseconds(100);

/** The current rows of the change's own conditions that failed; the condition
 * on the head of the trail is left out. */
std::vector<StoreRow>
FindConflicts(const OperatorChange& aChange,
              const std::vector<StoreRow>& aCurrent)
{
  std::vector<StoreRow> conflicts;
  for (const auto& condition : aChange.conditions) {
    StoreRow now{ condition.key, "", 0, true };
    for (const auto& row : aCurrent) {
      if (row.key == condition.key) {
        now = row;
      }
    }
    if (now.version != condition.version &&
        !(now.removed && condition.version == 0)) {
      conflicts.push_back(now);
    }
  }
  return conflicts;
}

} // namespace

ChangeHooks
SystemChangeHooks()
{
  return { BootClock::now,
           [](Duration aPause) { std::this_thread::sleep_for(aPause); },
           [] {
             auto since = std::chrono::system_clock::now().time_since_epoch();
             return ToMilliseconds(since);
           } };
}

ChangeWriter::ChangeWriter(StoreCalls aStore,
                           ChangeHooks aHooks,
                           Duration aTimeout)
  : store(std::move(aStore))
  , hooks(std::move(aHooks))
  , timeout(aTimeout)
{
}

ChangeResult
ChangeWriter::Write(const OperatorChange& aChange)
{
  this->deadline = this->hooks.now() + this->timeout;
  ChangeResult result;
  do {
    auto head = ReadAuditHead(this->store, aChange.service);
    if (!head) {
      result.error = head.error();
      continue;
    }
    if (this->TryCommit(aChange, *head, result)) {
      return result;
    }
  } while (this->WaitForRetry());
  return result;
}

StoreTransaction
ChangeWriter::BuildTransaction(const OperatorChange& aChange,
                               const AuditHead& aHead) const
{
  StoreTransaction transaction;
  transaction.conditions = aChange.conditions;
  transaction.conditions.push_back(
    { AuditHeadKey(aChange.service), aHead.version });
  transaction.sets = aChange.rows;
  AuditHead next = aHead;
  for (AuditEntry entry : aChange.entries) {
    entry.service = aChange.service;
    entry.sequence = next.nextSequence++;
    entry.unixMilliseconds = this->hooks.unixMilliseconds();
    entry.writeId = aChange.writeId;
    transaction.sets.push_back(ToRow(entry));
  }
  next.writeId = aChange.writeId;
  transaction.sets.push_back(ToRow(next));
  return transaction;
}

/**
 * Sends one transaction until its outcome is known or time is up.
 * @return False when no copy has committed or ever will, because other entries
 * were written first; the change can then be tried with a newer head.
 */
bool
ChangeWriter::TryCommit(const OperatorChange& aChange,
                        const AuditHead& aHead,
                        ChangeResult& aResult)
{
  StoreTransaction transaction = this->BuildTransaction(aChange, aHead);
  bool responseLost = false;
  do {
    auto response = this->store.transact(transaction);
    if (response && response->committed) {
      return SetAccepted(response->version, aResult);
    }
    if (response) {
      aResult.conflicts = FindConflicts(aChange, response->current);
    } else {
      aResult.error = response.error();
      bool notMade = response.error().code == ErrorCode::Unavailable;
      responseLost = responseLost || !notMade;
    }
    auto state = CommitState::Pending;
    if (responseLost) {
      aResult.outcome = ChangeOutcome::Unknown;
      auto read = this->ReadCommitState(aChange, aHead, aResult);
      if (!read) {
        aResult.error = read.error();
        continue;
      }
      state = *read;
    }
    if (state == CommitState::Committed) {
      return SetAccepted(aResult.version, aResult);
    }
    if (response && !aResult.conflicts.empty()) {
      aResult.outcome = ChangeOutcome::Conflict;
      return true;
    }
    if (response || state == CommitState::Superseded) {
      aResult.outcome = ChangeOutcome::NotMade;
      return false;
    }
  } while (this->WaitForRetry());
  return true;
}

bool
ChangeWriter::SetAccepted(RowVersion aVersion, ChangeResult& aResult)
{
  aResult.outcome = ChangeOutcome::Accepted;
  aResult.version = aVersion;
  aResult.conflicts.clear();
  return true;
}

Result<ChangeWriter::CommitState>
ChangeWriter::ReadCommitState(const OperatorChange& aChange,
                              const AuditHead& aHead,
                              ChangeResult& aResult)
{
  // The head is read before the entry: once the head is newer, the entry
  // exists.
  auto head = ReadAuditHead(this->store, aChange.service);
  if (!head) {
    return tl::unexpected(head.error());
  }
  if (head->version == aHead.version) {
    return CommitState::Pending;
  }
  auto found =
    ReadRow(this->store, AuditKey(aChange.service, aHead.nextSequence));
  if (!found) {
    return tl::unexpected(found.error());
  }
  auto entry = *found ? ParseAuditEntry(**found) : std::nullopt;
  if (!entry || entry->sequence < aHead.nextSequence) {
    return tl::unexpected(Error{ ErrorCode::Unknown,
                                 "read back change",
                                 "service " + aChange.service,
                                 "the audit entry is missing" });
  }
  if (entry->sequence == aHead.nextSequence &&
      entry->writeId == aChange.writeId) {
    aResult.version = (*found)->version;
    return CommitState::Committed;
  }
  return CommitState::Superseded;
}

bool
ChangeWriter::WaitForRetry()
{
  if (this->hooks.now() + kRetryInterval >= this->deadline) {
    return false;
  }
  this->hooks.sleep(kRetryInterval);
  return true;
}

} // namespace fescuetiller
