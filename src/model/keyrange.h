#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fescuetiller {

/** Key of a request; the key space is 0 to kLastKey. */
using Key = uint32_t;
constexpr Key kLastKey = 65535;

/** Fencing token of a grant; each new owner of a key gets a higher one. */
using Fence = uint64_t;

/** Range of keys from first to last, inclusive. */
struct KeyRange
{
  Key first = 0;
  Key last = 0;

  bool Contains(Key aKey) const;
  bool Contains(const KeyRange& aOther) const;
  bool Overlaps(const KeyRange& aOther) const;
  uint32_t Size() const;

  friend bool operator==(const KeyRange& aLeft, const KeyRange& aRight);
  friend bool operator<(const KeyRange& aLeft, const KeyRange& aRight);
};

/** "first-last", for log lines. */
std::string
ToString(const KeyRange& aRange);

/** Returns the parts of aRange outside aRemoved: none, one or two. */
std::vector<KeyRange>
Subtract(const KeyRange& aRange, const KeyRange& aRemoved);

/** Returns the parts of aRanges outside aRemoved. */
std::vector<KeyRange>
Subtract(const std::vector<KeyRange>& aRanges, const KeyRange& aRemoved);

} // namespace fescuetiller
