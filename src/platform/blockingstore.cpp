#include "platform/blockingstore.h"

#include <optional>

namespace fescuetiller {

BlockingStore::BlockingStore(const Tcp::endpoint& aAddress, Duration aTimeout)
  : context(1)
  , pool(context)
  , client(pool, aAddress, aTimeout)
{
}

/** Runs the event loop until the call that aStart begins has ended. */
template<typename Answer, typename Start>
Result<Answer>
BlockingStore::Wait(Start aStart)
{
  std::optional<Result<Answer>> answer;
  aStart([&answer](Result<Answer> aAnswer) { answer = std::move(aAnswer); });
  this->context.restart();
  while (!answer) {
    this->context.run_one();
  }
  return std::move(*answer);
}

Result<StoreOutcome>
BlockingStore::Transact(const StoreTransaction& aTransaction)
{
  return this->Wait<StoreOutcome>([&](StoreClient::OutcomeDone aDone) {
    this->client.Transact(aTransaction, std::move(aDone));
  });
}

Result<StoreRows>
BlockingStore::Read(const std::string& aTable, const std::string& aPart)
{
  return this->Wait<StoreRows>([&](StoreClient::RowsDone aDone) {
    this->client.Read(aTable, aPart, std::move(aDone));
  });
}

Result<StoreRows>
BlockingStore::ReadFrom(const StoreKey& aFrom)
{
  return this->Wait<StoreRows>([&](StoreClient::RowsDone aDone) {
    this->client.ReadFrom(aFrom, std::move(aDone));
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
