#include "audit/changewriter.h"

#include <thread>

namespace fescuetiller {

namespace {

constexpr Duration kRetryInterval = std::chrono::milliseconds(100);

/** The failed conditions that concern the change itself, not the trail. */
std::vector<StoreRow>
OwnConflicts(const OperatorChange& aChange,
             const std::vector<StoreRow>& aCurrent)
{
  std::vector<StoreRow> own;
  for (const auto& condition : aChange.conditions) {
    StoreRow now{ condition.key, "", 0, true };
    for (const auto& row : aCurrent) {
      if (row.key == condition.key) {
        now = row;
      }
    }
    if (now.version != condition.version &&
        !(now.removed && condition.version == 0)) {
      own.push_back(now);
    }
  }
  return own;
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
  this->giveUp = this->hooks.now() + this->timeout;
  ChangeResult result;
  do {
    auto head = ReadAuditHead(this->store, aChange.service);
    if (!head) {
      result.error = head.error();
      continue;
    }
    if (this->Attempt(aChange, *head, result)) {
      return result;
    }
  } while (this->WaitForRetry());
  return result;
}

StoreTransaction
ChangeWriter::Build(const OperatorChange& aChange, const AuditHead& aHead) const
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
 * Sends one transaction until it is settled or time is up.
 * @return False when no copy took effect or ever will, because other entries
 * were written first: a newer head may be tried.
 */
bool
ChangeWriter::Attempt(const OperatorChange& aChange,
                      const AuditHead& aHead,
                      ChangeResult& aResult)
{
  StoreTransaction transaction = this->Build(aChange, aHead);
  bool answerLost = false;
  do {
    auto answer = this->store.transact(transaction);
    if (answer && answer->committed) {
      return Accept(answer->version, aResult);
    }
    if (answer) {
      aResult.conflicts = OwnConflicts(aChange, answer->current);
    } else {
      aResult.error = answer.error();
      bool notMade = answer.error().code == ErrorCode::Unavailable;
      answerLost = answerLost || !notMade;
    }
    auto settled = Settled::Open;
    if (answerLost) {
      aResult.outcome = ChangeOutcome::Unknown;
      auto read = this->ReadBack(aChange, aHead, aResult);
      if (!read) {
        aResult.error = read.error();
        continue;
      }
      settled = *read;
    }
    if (settled == Settled::Accepted) {
      return Accept(aResult.version, aResult);
    }
    if (answer && !aResult.conflicts.empty()) {
      aResult.outcome = ChangeOutcome::Conflict;
      return true;
    }
    if (answer || settled == Settled::Refused) {
      aResult.outcome = ChangeOutcome::NotMade;
      return false;
    }
  } while (this->WaitForRetry());
  return true;
}

bool
ChangeWriter::Accept(RowVersion aVersion, ChangeResult& aResult)
{
  aResult.outcome = ChangeOutcome::Accepted;
  aResult.version = aVersion;
  aResult.conflicts.clear();
  return true;
}

Result<ChangeWriter::Settled>
ChangeWriter::ReadBack(const OperatorChange& aChange,
                       const AuditHead& aHead,
                       ChangeResult& aResult)
{
  // The head is read first: if it is newer, the entry is there by then.
  auto head = ReadAuditHead(this->store, aChange.service);
  if (!head) {
    return tl::unexpected(head.error());
  }
  if (head->version == aHead.version) {
    return Settled::Open;
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
    return Settled::Accepted;
  }
  return Settled::Refused;
}

bool
ChangeWriter::WaitForRetry()
{
  if (this->hooks.now() + kRetryInterval >= this->giveUp) {
    return false;
  }
  this->hooks.wait(kRetryInterval);
  return true;
}

} // namespace fescuetiller
