#include "ownership/transactionqueue.h"

#include <algorithm>

namespace fescuetiller {

TransactionQueue::TransactionQueue(Duration aRetryInterval)
  : retryInterval(aRetryInterval)
{
}

void
TransactionQueue::Submit(const std::string& aWriteId,
                         Transaction aChange,
                         Done aDone)
{
  Pending entry;
  entry.writeId = aWriteId;
  entry.transaction = std::move(aChange);
  entry.done = std::move(aDone);
  this->pending[this->nextId++] = std::move(entry);
}

bool
TransactionQueue::TookEffect(const Pending& aPending,
                             TransactionResult& aResult) const
{
  for (const auto& row : aResult.conflicts) {
    if (WriteIdOf(row) == aPending.writeId) {
      aResult.revision = row.version;
      return true;
    }
  }
  return false;
}

void
TransactionQueue::Withdraw(Time aNow, const std::string& aWriteId)
{
  auto found = std::find_if(
    this->pending.begin(), this->pending.end(), [&](const auto& aEntry) {
      return aEntry.second.writeId == aWriteId;
    });
  if (found == this->pending.end()) {
    return;
  }
  found->second.withdrawing = true;
  if (found->second.inFlight || found->second.mayHaveEffect) {
    return;
  }
  Done done = std::move(found->second.done);
  this->pending.erase(found);
  done(aNow, TransactionResult());
}

void
TransactionQueue::Answer(Time aNow, const TransactionAnswer& aAnswer)
{
  auto found = this->pending.find(aAnswer.id);
  if (found == this->pending.end()) {
    return;
  }
  if (!aAnswer.result) {
    Pending& entry = found->second;
    entry.inFlight = false;
    entry.notBefore = aNow + this->retryInterval;
    bool noEffect = aAnswer.result.error().code == ErrorCode::Unavailable;
    entry.mayHaveEffect = entry.mayHaveEffect || !noEffect;
    if (entry.withdrawing) {
      this->Withdraw(aNow, std::string(entry.writeId));
    }
    return;
  }
  Pending entry = std::move(found->second);
  this->pending.erase(found);
  TransactionResult result = *aAnswer.result;
  result.committed = result.committed || this->TookEffect(entry, result);
  entry.done(aNow, result);
}

void
TransactionQueue::Tick(Time aNow, std::vector<Output>& aOutputs)
{
  for (auto& [id, entry] : this->pending) {
    if (entry.inFlight || entry.notBefore > aNow) {
      continue;
    }
    entry.inFlight = true;
    aOutputs.push_back(StartTransaction{ id, entry.transaction });
  }
}

bool
TransactionQueue::Empty() const
{
  return this->pending.empty();
}

} // namespace fescuetiller
