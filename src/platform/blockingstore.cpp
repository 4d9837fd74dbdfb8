#include "platform/blockingstore.h"

#include <optional>

namespace fescuetiller {

BlockingStore::BlockingStore(const Tcp::endpoint& aAddress, Duration aTimeout)
  : context(1)
  , pool(context)
  , client(pool, aAddress, aTimeout)
{
}

/** Runs the event loop until the call that aStart starts is complete. */
template<typename Value, typename Start>
Result<Value>
BlockingStore::RunUntilDone(Start aStart)
{
  std::optional<Result<Value>> result;
  aStart([&result](Result<Value> aResult) { result = std::move(aResult); });
  this->context.restart();
  while (!result) {
    this->context.run_one();
  }
  return std::move(*result);
}

Result<StoreOutcome>
BlockingStore::Transact(const StoreTransaction& aTransaction)
{
  return this->RunUntilDone<StoreOutcome>(
    [&](StoreClient::OutcomeCallback aCallback) {
      this->client.Transact(aTransaction, std::move(aCallback));
    });
}

Result<StoreRows>
BlockingStore::Read(const std::string& aTable, const std::string& aPart)
{
  return this->RunUntilDone<StoreRows>(
    [&](StoreClient::RowsCallback aCallback) {
      this->client.Read(aTable, aPart, std::move(aCallback));
    });
}

Result<StoreRows>
BlockingStore::ReadFrom(const StoreKey& aFrom)
{
  return this->RunUntilDone<StoreRows>(
    [&](StoreClient::RowsCallback aCallback) {
      this->client.ReadFrom(aFrom, std::move(aCallback));
    });
}

Result<StoreCalls>
OpenStore(const std::string& aAddress, Duration aTimeout)
{
  auto address = ParseEndpoint(aAddress);
  if (!address) {
    return tl::unexpected(address.error());
  }
  auto store = std::make_shared<BlockingStore>(*address, aTimeout);
  return StoreCalls{
    [store](const StoreTransaction& aTransaction) {
      return store->Transact(aTransaction);
    },
    [store](const std::string& aTable, const std::string& aPart) {
      return store->Read(aTable, aPart);
    },
    [store](const StoreKey& aFrom) { return store->ReadFrom(aFrom); }
  };
}

} // namespace fescuetiller
