#include "audit/faultystore.h"

namespace fescuetiller {

namespace {

Error
Failure(StoreFault aFault)
{
  auto code = aFault == StoreFault::Unreachable ? ErrorCode::Unavailable
                                                : ErrorCode::Unknown;
  return { code, "call", "table service", "no answer" };
}

} // namespace

FaultyStore::FaultyStore(MemoryTableStore& aStore)
  : store(aStore)
{
}

StoreFault
FaultyStore::Next(std::deque<StoreFault>& aFaults)
{
  for (; !this->late.empty(); this->late.pop_front()) {
    this->store.Transact(this->late.front());
  }
  if (aFaults.empty()) {
    return StoreFault::None;
  }
  StoreFault fault = aFaults.front();
  aFaults.pop_front();
  return fault;
}

Result<TransactionResult>
FaultyStore::Transact(const Transaction& aChange)
{
  StoreFault fault = this->Next(this->transactFaults);
  if (this->beforeTransact) {
    this->beforeTransact();
  }
  if (fault == StoreFault::Late) {
    this->late.push_back(aChange);
  }
  if (fault == StoreFault::None || fault == StoreFault::AnswerLost) {
    auto result = this->store.Transact(aChange);
    if (fault == StoreFault::None) {
      return result;
    }
  }
  return tl::unexpected(Failure(fault));
}

Result<ReadResult>
FaultyStore::ReadRows(const std::vector<RowKey>& aKeys)
{
  StoreFault fault = this->Next(this->readFaults);
  if (fault != StoreFault::None) {
    return tl::unexpected(Failure(fault));
  }
  return this->store.ReadRows(aKeys);
}

Result<ReadResult>
FaultyStore::ReadChanges(const std::string& aTable, RowVersion aSince)
{
  return this->store.ReadChanges(aTable, aSince);
}

} // namespace fescuetiller
