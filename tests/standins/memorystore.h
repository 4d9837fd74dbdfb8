#pragma once

#include <map>
#include <vector>

#include "model/model.h"

namespace fescuetiller {

/** Rows with versions and changes under conditions, as the platform's store
 * keeps them, in memory. */
class MemoryStore
{
public:
  StoreOutcome Apply(const StoreTransaction& aChange);

  /** Rows of a part of a table, from a key on. */
  StoreRows Read(const StoreKey& aFrom) const;

  /** nullptr when there is no such row. */
  const StoreRow* Find(const StoreKey& aKey) const;

  /** Changes after a version, in their order. */
  std::vector<StoreRow> ChangesAfter(RowVersion aVersion) const;

  const std::map<StoreKey, StoreRow>& Rows() const;
  RowVersion Version() const;

  /** Calls that never fail; the store must outlive them. */
  StoreCalls Calls();

private:
  std::map<StoreKey, StoreRow> rows;
  std::vector<StoreRow> changes;
  RowVersion version = 1;
};

} // namespace fescuetiller
