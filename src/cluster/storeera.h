#pragma once

#include "cluster/records.h"

namespace fescuetiller {

/**
 * Members, ranges and leases belong to the era of the store in which they were
 * written: their keys in the store contain it. When the store comes back from
 * an older copy, the era changes, and the rows of that copy are no longer read.
 * Transactions that were sent before then change rows that nobody reads. Drain
 * requests of operators and announced shutdowns of servers belong to no era.
 */

/** Whether the rows with such a key belong to an era. */
bool
BelongsToEra(const StoreKey& aKey);

/** Returns the key with which a row is stored in an era. */
StoreKey
ToStoredKey(StoreKey aKey, StoreEra aEra);

StoreTransaction
ToStored(StoreTransaction aTransaction, StoreEra aEra);

/** Returns the rows that belong to an era or to none, with their own keys. */
std::vector<StoreRow>
FromStored(std::vector<StoreRow> aRows, StoreEra aEra);

/** Lowest epoch of a range in an era; higher than all of earlier eras. */
uint64_t
FirstEpoch(StoreEra aEra);

} // namespace fescuetiller
