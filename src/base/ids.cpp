#include "base/ids.h"

#include <cstdio>

#include <xxhash.h>

namespace fescuetiller {

std::string
ToHex(uint64_t aValue)
{
  char text[17];
  std::snprintf(
    text, sizeof text, "%016llx", static_cast<unsigned long long>(aValue));
  return text;
}

uint64_t
StableHash(std::string_view aText, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

} // namespace fescuetiller
