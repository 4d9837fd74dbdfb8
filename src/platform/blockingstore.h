#pragma once

#include "platform/storeclient.h"

namespace fescuetiller {

/** Blocking calls on a StoreClient, for command line tools. Not thread-safe;
 * must outlive its calls. */
class BlockingStore
{
public:
  /** @param aTimeout Longest wait for one response. */
  BlockingStore(const Tcp::endpoint& aAddress, Duration aTimeout);

  Result<StoreOutcome> Transact(const StoreTransaction& aTransaction);
  Result<StoreRows> Read(const std::string& aTable, const std::string& aPart);
  Result<StoreRows> ReadFrom(const StoreKey& aFrom);

private:
  template<typename Value, typename Start>
  Result<Value> RunUntilDone(Start aStart);

  asio::io_context context;
  ConnectionPool pool;
  StoreClient client;
};

/** Returns functions that call the store at an address. */
Result<StoreCalls>
OpenStore(const std::string& aAddress, Duration aTimeout);

} // namespace fescuetiller
