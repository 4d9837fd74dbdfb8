#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fescuetiller {

/** A key as a request carries it; the whole space is 0 to kLastKey. */
using Key = uint32_t;
constexpr Key kLastKey = 65535;

/** Fencing token of a grant; a later holder of a key has a higher one. */
using Fence = uint64_t;

/** Keys from first to last, both included. */
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

/** The parts of a range that another one leaves: none, one or two. */
std::vector<KeyRange>
Subtract(const KeyRange& aRange, const KeyRange& aRemoved);

/** The parts of ranges that another one leaves. */
std::vector<KeyRange>
Subtract(const std::vector<KeyRange>& aRanges, const KeyRange& aRemoved);

} // namespace fescuetiller
