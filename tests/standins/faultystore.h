#pragma once

#include <deque>
#include <functional>

#include "standins/memorystore.h"

namespace fescuetiller {

/** What happens to one call on the store. */
enum class StoreFault
{
  None,
  Unreachable, ///< Nothing took effect, and the caller knows.
  RequestLost, ///< Nothing took effect, but the caller can't know.
  AnswerLost,  ///< Took effect, but the caller can't know.
  Late,        ///< Takes effect just before the next call.
};

/** Store that fails its calls as a list of faults tells. */
class FaultyStore
{
public:
  explicit FaultyStore(MemoryStore& aStore);

  StoreCalls Calls();

  std::deque<StoreFault> transactFaults;
  std::deque<StoreFault> readFaults;
  /** Runs before each transaction reaches the store. */
  std::function<void()> beforeTransact;

private:
  Result<StoreOutcome> Transact(const StoreTransaction& aChange);
  Result<StoreRows> Read(const StoreKey& aFrom);
  StoreFault Next(std::deque<StoreFault>& aFaults);

  MemoryStore& store;
  std::deque<StoreTransaction> late;
};

} // namespace fescuetiller
