#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fescuetiller {

/** Version of a row of the store; 0 means that the row does not exist. */
using RowVersion = uint64_t;

/** Formats a value as 16 hexadecimal digits. */
std::string
ToHex(uint64_t aValue);

/** 64-bit hash (XXH3) of a text; all daemons compute the same value. */
uint64_t
StableHash(std::string_view aText, uint64_t aSeed = 0);

} // namespace fescuetiller
