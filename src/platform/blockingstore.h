#pragma once

#include "platform/storeclient.h"

namespace fescuetiller {

/** Drives a StoreClient for a tool that waits for each answer. One thread at a
 * time; it must outlive its calls. */
class BlockingStore
{
public:
  /** @param aTimeout Longest wait for one answer. */
  BlockingStore(const Tcp::endpoint& aAddress, Duration aTimeout);

  Result<StoreOutcome> Transact(const StoreTransaction& aTransaction);
  Result<StoreRows> Read(const std::string& aTable, const std::string& aPart);
  Result<StoreRows> ReadFrom(const StoreKey& aFrom);

private:
  template<typename Answer, typename Start>
  Result<Answer> Wait(Start aStart);

  asio::io_context context;
  ConnectionPool pool;
  StoreClient client;
};

/** Calls on the store at an address. */
Result<StoreCalls>
OpenStore(const std::string& aAddress, Duration aTimeout);

} // namespace fescuetiller
