#include "model/storecalls.h"

namespace fescuetiller {

Result<std::optional<StoreRow>>
ReadRow(const StoreCalls& aStore, const StoreKey& aKey)
{
  auto read = aStore.readFrom(aKey);
  if (!read) {
    return tl::unexpected(read.error());
  }
  const auto* row = FindRow(*read, aKey);
  return row == nullptr ? std::optional<StoreRow>() : *row;
}

} // namespace fescuetiller
