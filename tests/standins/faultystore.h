#pragma once

#include <deque>
#include <functional>

#include "standins/memorystore.h"

namespace fescuetiller {

/** Fault of one call to the store. */
enum class StoreFault
{
  None,
  Unreachable,  ///< The call has no effect, and the caller knows it.
  RequestLost,  ///< The call has no effect, but the caller can't know.
  ResponseLost, ///< The call takes effect, but the caller can't know.
  Delayed,      ///< As lost to the caller; takes effect before the next call.
};

/** A store whose calls fail with given faults, one for each call. */
class FaultyStore
{
public:
  explicit FaultyStore(MemoryStore& aStore);

  StoreCalls Calls();

  std::deque<StoreFault> transactFaults; ///< Of the next transactions.
  std::deque<StoreFault> readFaults;     ///< Of the next reads.
  /** Runs before each transaction reaches the store. */
  std::function<void()> beforeTransact;

private:
  Result<StoreOutcome> Transact(const StoreTransaction& aChange);
  Result<StoreRows> Read(const StoreKey& aFrom);
  /** Applies the delayed transactions and takes the fault of this call. */
  StoreFault BeginCall(std::deque<StoreFault>& aFaults);

  MemoryStore& store;
  std::deque<StoreTransaction> delayed;
};

} // namespace fescuetiller
