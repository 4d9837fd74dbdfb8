#include "cluster/keyload.h"

#include <iterator>

namespace fescuetiller {

namespace {

/** Time between decay steps; finer steps change no decision. */
constexpr Duration kDecayInterval = std::chrono::milliseconds(250);
/** Weight below which a key is removed; a share of one request. */
constexpr double kMinWeight = 1e-4;

} // namespace

KeyLoad::KeyLoad(Duration aHalfLife)
  : halfLife(aHalfLife)
{
}

void
KeyLoad::Decay(Time aNow)
{
  auto passed = aNow - this->decayedAt;
  if (passed < kDecayInterval) {
    return;
  }
  this->decayedAt = aNow;
  double factor = DecayFactor(passed, this->halfLife);
  for (auto entry = this->weights.begin(); entry != this->weights.end();) {
    entry->second *= factor;
    entry = entry->second < kMinWeight ? this->weights.erase(entry)
                                       : std::next(entry);
  }
}

void
KeyLoad::Add(Time aNow, Key aKey, double aWork)
{
  this->Decay(aNow);
  this->weights[aKey] += aWork;
}

std::vector<KeyWeight>
KeyLoad::Snapshot(Time aNow)
{
  this->Decay(aNow);
  std::vector<KeyWeight> result;
  result.reserve(this->weights.size());
  for (const auto& [key, weight] : this->weights) {
    result.push_back({ key, weight });
  }
  return result;
}

} // namespace fescuetiller
