#include "placement/hotkeys.h"

#include <algorithm>
#include <tuple>

namespace fescuetiller {

namespace {

bool
Heavier(const HotKey& aLeft, const HotKey& aRight)
{
  return std::tie(aLeft.weight, aRight.key) >
         std::tie(aRight.weight, aLeft.key);
}

/** Load that a key is sure to have. */
double
SureLoad(const HotKey& aKey, double aTotal, double aLoad)
{
  return aTotal > 0 ? (aKey.weight - aKey.error) / aTotal * aLoad : 0;
}

const HotKey*
FindKey(const std::vector<HotKey>& aKeys, const std::string& aKey)
{
  auto found =
    std::find_if(aKeys.begin(), aKeys.end(), [&](const HotKey& aHot) {
      return aHot.key == aKey;
    });
  return found == aKeys.end() ? nullptr : &*found;
}

} // namespace

bool
operator==(const HotKey& aLeft, const HotKey& aRight)
{
  return std::tie(aLeft.key, aLeft.weight, aLeft.error) ==
         std::tie(aRight.key, aRight.weight, aRight.error);
}

HotKeys::HotKeys(size_t aCapacity)
  : capacity(std::max<size_t>(aCapacity, 1))
{
  this->heap.reserve(this->capacity);
  this->places.reserve(this->capacity);
}

void
HotKeys::Record(std::string_view aKey, double aWeight)
{
  this->total += aWeight;
  std::string key(aKey);
  auto known = this->places.find(key);
  if (known != this->places.end()) {
    size_t place = known->second;
    this->heap[place].weight += aWeight;
    this->SiftDown(place);
    return;
  }
  if (this->heap.size() < this->capacity) {
    this->heap.emplace_back();
    this->Put(this->heap.size() - 1, { std::move(key), aWeight, 0 });
    this->SiftUp(this->heap.size() - 1);
    return;
  }
  double lightest = this->heap.front().weight;
  this->places.erase(this->heap.front().key);
  this->Put(0, { std::move(key), lightest + aWeight, lightest });
  this->SiftDown(0);
}

void
HotKeys::Decay(double aFactor)
{
  this->total *= aFactor;
  for (auto& held : this->heap) {
    held.weight *= aFactor;
    held.error *= aFactor;
  }
}

std::vector<HotKey>
HotKeys::Top(size_t aCount) const
{
  std::vector<HotKey> top(std::min(aCount, this->heap.size()));
  std::partial_sort_copy(
    this->heap.begin(), this->heap.end(), top.begin(), top.end(), Heavier);
  return top;
}

double
HotKeys::Total() const
{
  return this->total;
}

void
HotKeys::Put(size_t aPlace, HotKey aKey)
{
  this->places[aKey.key] = aPlace;
  this->heap[aPlace] = std::move(aKey);
}

void
HotKeys::SiftDown(size_t aPlace)
{
  HotKey moved = std::move(this->heap[aPlace]);
  size_t place = aPlace;
  while (true) {
    size_t child = 2 * place + 1;
    if (child >= this->heap.size()) {
      break;
    }
    bool second = child + 1 < this->heap.size() &&
                  this->heap[child + 1].weight < this->heap[child].weight;
    child += second ? 1 : 0;
    if (this->heap[child].weight >= moved.weight) {
      break;
    }
    this->Put(place, std::move(this->heap[child]));
    place = child;
  }
  this->Put(place, std::move(moved));
}

void
HotKeys::SiftUp(size_t aPlace)
{
  HotKey moved = std::move(this->heap[aPlace]);
  size_t place = aPlace;
  while (place > 0) {
    size_t parent = (place - 1) / 2;
    if (this->heap[parent].weight <= moved.weight) {
      break;
    }
    this->Put(place, std::move(this->heap[parent]));
    place = parent;
  }
  this->Put(place, std::move(moved));
}

ApartDecision
DecideApart(Time aNow,
            const HotKeys& aKeys,
            double aLoad,
            double aSlots,
            const std::vector<ApartKey>& aApart,
            const ApartSettings& aSettings)
{
  ApartDecision decision;
  auto top = aKeys.Top(4 * aSettings.maxKeys);
  for (const auto& apart : aApart) {
    const HotKey* hot = FindKey(top, apart.key);
    double load = hot == nullptr ? 0 : SureLoad(*hot, aKeys.Total(), aLoad);
    bool cooled = load < aSettings.backShare * aSlots;
    if (cooled && aNow - apart.since >= aSettings.dwell) {
      decision.back.push_back(apart.key);
    }
  }
  size_t kept = aApart.size() - decision.back.size();
  for (const auto& hot : top) {
    bool full = kept + decision.apart.size() >= aSettings.maxKeys;
    if (full ||
        SureLoad(hot, aKeys.Total(), aLoad) <= aSettings.apartShare * aSlots) {
      break;
    }
    bool known =
      std::any_of(aApart.begin(), aApart.end(), [&](const ApartKey& aKey) {
        return aKey.key == hot.key;
      });
    if (!known) {
      decision.apart.push_back(hot.key);
    }
  }
  return decision;
}

} // namespace fescuetiller
