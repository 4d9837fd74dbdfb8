#pragma once

#include <functional>
#include <optional>
#include <string>

#include "model/storerow.h"

namespace fescuetiller {

/** The store as a tool sees it that has nothing else to do: each call blocks
 * until it is answered or given up. Errors are those of StoreClient. */
struct StoreCalls
{
  std::function<Result<StoreOutcome>(const StoreTransaction&)> transact;
  /** All rows of a part of a table. */
  std::function<Result<StoreRows>(const std::string& aTable,
                                  const std::string& aPart)>
    read;
  /** The rows from one key on, as many as one call gives. */
  std::function<Result<StoreRows>(const StoreKey& aFrom)> readFrom;
};

/** The row of a key, if it is there. */
Result<std::optional<StoreRow>>
ReadRow(const StoreCalls& aStore, const StoreKey& aKey);

} // namespace fescuetiller
