#include "model/storecalls.h"

namespace fescuetiller {

Result<std::optional<StoreRow>>
ReadRow(const StoreCalls& aStore, const StoreKey& aKey)
{
  auto read = aStore.readFrom(aKey);
  if (!read) {
    return tl::unexpected(read.error());
  }
  for (const auto& row : read->rows) {
    if (row.key == aKey) {
      return std::optional<StoreRow>(row);
    }
  }
  return std::optional<StoreRow>();
}

} // namespace fescuetiller
