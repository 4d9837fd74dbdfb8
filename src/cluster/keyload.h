#pragma once

#include <map>
#include <vector>

#include "model/model.h"

namespace fescuetiller {

/** Work caused by one key. Any unit may be used, but the same for all keys. */
struct KeyWeight
{
  Key key = 0;
  double weight = 0;
};

/** Exponentially decaying sum of the work that each key caused. Reads no clock.
 */
class KeyLoad
{
public:
  /** @param aHalfLife Time after which work counts half. */
  explicit KeyLoad(Duration aHalfLife);

  void Add(Time aNow, Key aKey, double aWork);

  /** Returns the keys with recent work in ascending order. */
  std::vector<KeyWeight> Snapshot(Time aNow);

private:
  void Decay(Time aNow);

  Duration halfLife;
  Time decayedAt;
  std::map<Key, double> weights;
};

} // namespace fescuetiller
