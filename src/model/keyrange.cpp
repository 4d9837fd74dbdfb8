#include "model/keyrange.h"

#include <tuple>

namespace fescuetiller {

bool
KeyRange::Contains(Key aKey) const
{
  return this->first <= aKey && aKey <= this->last;
}

bool
KeyRange::Contains(const KeyRange& aOther) const
{
  return this->first <= aOther.first && aOther.last <= this->last;
}

bool
KeyRange::Overlaps(const KeyRange& aOther) const
{
  return this->first <= aOther.last && aOther.first <= this->last;
}

uint32_t
KeyRange::Size() const
{
  return this->last - this->first + 1;
}

bool
operator==(const KeyRange& aLeft, const KeyRange& aRight)
{
  return aLeft.first == aRight.first && aLeft.last == aRight.last;
}

bool
operator<(const KeyRange& aLeft, const KeyRange& aRight)
{
  return std::tie(aLeft.first, aLeft.last) <
         std::tie(aRight.first, aRight.last);
}

std::string
ToString(const KeyRange& aRange)
{
  return std::to_string(aRange.first) + "-" + std::to_string(aRange.last);
}

std::vector<KeyRange>
Subtract(const KeyRange& aRange, const KeyRange& aRemoved)
{
  if (!aRange.Overlaps(aRemoved)) {
    return { aRange };
  }
  std::vector<KeyRange> rest;
  if (aRange.first < aRemoved.first) {
    rest.push_back({ aRange.first, aRemoved.first - 1 });
  }
  if (aRange.last > aRemoved.last) {
    rest.push_back({ aRemoved.last + 1, aRange.last });
  }
  return rest;
}

std::vector<KeyRange>
Subtract(const std::vector<KeyRange>& aRanges, const KeyRange& aRemoved)
{
  std::vector<KeyRange> rest;
  for (const auto& range : aRanges) {
    auto parts = Subtract(range, aRemoved);
    rest.insert(rest.end(), parts.begin(), parts.end());
  }
  return rest;
}

} // namespace fescuetiller
