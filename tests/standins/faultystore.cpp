#include "standins/faultystore.h"

namespace fescuetiller {

namespace {

Error
Failure(StoreFault aFault)
{
  auto code = aFault == StoreFault::Unreachable ? ErrorCode::Unavailable
                                                : ErrorCode::Unknown;
  return { code, "call", "store", "no response" };
}

} // namespace

FaultyStore::FaultyStore(MemoryStore& aStore)
  : store(aStore)
{
}

StoreCalls
FaultyStore::Calls()
{
  return { [this](const StoreTransaction& aChange) {
            return this->Transact(aChange);
          },
           [this](const std::string& aTable, const std::string& aPart) {
             return this->Read({ aTable, aPart, "" });
           },
           [this](const StoreKey& aFrom) { return this->Read(aFrom); } };
}

StoreFault
FaultyStore::BeginCall(std::deque<StoreFault>& aFaults)
{
  for (; !this->delayed.empty(); this->delayed.pop_front()) {
    this->store.Apply(this->delayed.front());
  }
  if (aFaults.empty()) {
    return StoreFault::None;
  }
  StoreFault fault = aFaults.front();
  aFaults.pop_front();
  return fault;
}

Result<StoreOutcome>
FaultyStore::Transact(const StoreTransaction& aChange)
{
  StoreFault fault = this->BeginCall(this->transactFaults);
  if (this->beforeTransact) {
    this->beforeTransact();
  }
  if (fault == StoreFault::Delayed) {
    this->delayed.push_back(aChange);
  }
  if (fault == StoreFault::None || fault == StoreFault::ResponseLost) {
    auto outcome = this->store.Apply(aChange);
    if (fault == StoreFault::None) {
      return outcome;
    }
  }
  return tl::unexpected(Failure(fault));
}

Result<StoreRows>
FaultyStore::Read(const StoreKey& aFrom)
{
  StoreFault fault = this->BeginCall(this->readFaults);
  if (fault != StoreFault::None) {
    return tl::unexpected(Failure(fault));
  }
  return this->store.Read(aFrom);
}

} // namespace fescuetiller
