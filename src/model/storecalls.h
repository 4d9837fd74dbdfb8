#pragma once

#include <functional>
#include <optional>
#include <string>

#include "model/storerow.h"

namespace fescuetiller {

/** Blocking access to the store for command line tools: each call returns when
 * the store has responded or the call has failed, as in StoreClient. */
struct StoreCalls
{
  std::function<Result<StoreOutcome>(const StoreTransaction&)> transact;
  /** Reads all rows of one partition of a table. */
  std::function<Result<StoreRows>(const std::string& aTable,
                                  const std::string& aPart)>
    read;
  /** Reads rows from a key onwards, up to the limit of one call. */
  std::function<Result<StoreRows>(const StoreKey& aFrom)> readFrom;
};

/** Returns the row with this key, if it exists. */
Result<std::optional<StoreRow>>
ReadRow(const StoreCalls& aStore, const StoreKey& aKey);

} // namespace fescuetiller
