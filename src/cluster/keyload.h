#pragma once

#include <map>
#include <vector>

#include "model/model.h"

namespace fescuetiller {

/** Work for one key, in any unit that is the same for all keys. */
struct KeyWeight
{
  Key key = 0;
  double weight = 0;
};

/** Decaying sum of the work that each key brought. Pure. */
class KeyLoad
{
public:
  /** @param aHalfLife After which work counts half. */
  explicit KeyLoad(Duration aHalfLife);

  void Add(Time aNow, Key aKey, double aWork);

  /** Keys with any recent work, in ascending order. */
  std::vector<KeyWeight> Snapshot(Time aNow);

private:
  void Decay(Time aNow);

  Duration halfLife;
  Time decayedAt;
  std::map<Key, double> weights;
};

} // namespace fescuetiller
