#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fescuetiller {

/** Number of times that the store has come back from an older copy. */
using StoreEra = uint64_t;

/**
 * Version of a row of the store; 0 means that the row does not exist. The era
 * is in the upper bits, since the store gives out its version numbers again
 * after it has come back from an older copy. So versions are in the order in
 * which they were given out.
 */
using RowVersion = uint64_t;

/** Bits of a row version below the era. */
constexpr unsigned kVersionNumberBits = 48;
/** Largest era that a row version can hold. */
constexpr StoreEra kMaxStoreEra = (StoreEra(1) << 15) - 1;

constexpr RowVersion
MakeRowVersion(StoreEra aEra, uint64_t aNumber)
{
  return (aEra << kVersionNumberBits) | aNumber;
}

constexpr StoreEra
EraOf(RowVersion aVersion)
{
  return aVersion >> kVersionNumberBits;
}

/** The version number within its era, as the store knows it. */
constexpr uint64_t
NumberOf(RowVersion aVersion)
{
  return aVersion & ((uint64_t(1) << kVersionNumberBits) - 1);
}

/** Formats a value as 16 hexadecimal digits. */
std::string
ToHex(uint64_t aValue);

/** 64-bit hash (XXH3) of a text; all daemons compute the same value. */
uint64_t
StableHash(std::string_view aText, uint64_t aSeed = 0);

} // namespace fescuetiller
