#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fescuetiller {

/** Version of one row of the store; 0 means that no row exists. */
using RowVersion = uint64_t;

/** Sixteen hex digits. */
std::string
ToHex(uint64_t aValue);

/** Stable 64-bit hash (XXH3), the same on every daemon. */
uint64_t
StableHash(std::string_view aKey, uint64_t aSeed = 0);

} // namespace fescuetiller
