#include "audit/changewriter.h"

#include <thread>

namespace fescuetiller {

namespace {

constexpr Duration kRetryInterval = std::chrono::milliseconds(100);

/** The failed conditions that concern the change itself, not the trail. */
std::vector<Row>
OwnConflicts(const std::vector<Row>& aConflicts)
{
  std::vector<Row> own;
  for (const auto& row : aConflicts) {
    if (!(row.key == AuditHeadKey())) {
      own.push_back(row);
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

ChangeWriter::ChangeWriter(TableStore& aStore,
                           ChangeHooks aHooks,
                           Duration aTimeout)
  : store(aStore)
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
    auto head = ReadAuditHead(this->store);
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

Transaction
ChangeWriter::Build(const OperatorChange& aChange, const AuditHead& aHead) const
{
  Transaction transaction;
  transaction.conditions = aChange.conditions;
  transaction.conditions.push_back({ AuditHeadKey(), aHead.version });
  transaction.changes = aChange.rows;
  AuditHead next = aHead;
  for (AuditEntry entry : aChange.entries) {
    entry.sequence = next.nextSequence++;
    entry.unixMilliseconds = this->hooks.unixMilliseconds();
    entry.writeId = aChange.writeId;
    transaction.changes.push_back(ToRow(entry));
  }
  next.writeId = aChange.writeId;
  transaction.changes.push_back(ToRow(next));
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
  Transaction transaction = this->Build(aChange, aHead);
  bool answerLost = false;
  do {
    auto answer = this->store.Transact(transaction);
    if (answer && answer->committed) {
      return Accept(answer->revision, aResult);
    }
    if (answer) {
      aResult.conflicts = OwnConflicts(answer->conflicts);
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
      return Accept(aResult.revision, aResult);
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
ChangeWriter::Accept(RowVersion aRevision, ChangeResult& aResult)
{
  aResult.outcome = ChangeOutcome::Accepted;
  aResult.revision = aRevision;
  aResult.conflicts.clear();
  return true;
}

Result<ChangeWriter::Settled>
ChangeWriter::ReadBack(const OperatorChange& aChange,
                       const AuditHead& aHead,
                       ChangeResult& aResult)
{
  RowKey slot = AuditKey(aHead.nextSequence);
  auto read = this->store.ReadRows({ AuditHeadKey(), slot });
  if (!read) {
    return tl::unexpected(read.error());
  }
  RowVersion headVersion = 0;
  const Row* found = nullptr;
  for (const auto& row : read->rows) {
    headVersion = row.key == AuditHeadKey() ? row.version : headVersion;
    found = row.key == slot ? &row : found;
  }
  if (headVersion == aHead.version) {
    return Settled::Open;
  }
  auto entry = found != nullptr ? ParseAuditEntry(*found) : std::nullopt;
  if (!entry || entry->sequence < aHead.nextSequence) {
    return tl::unexpected(Error{ ErrorCode::Unknown,
                                 "read back change",
                                 "table service",
                                 "the audit entry is missing" });
  }
  if (entry->sequence == aHead.nextSequence &&
      entry->writeId == aChange.writeId) {
    aResult.revision = found->version;
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
