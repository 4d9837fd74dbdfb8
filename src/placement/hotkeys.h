#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/base.h"

namespace fescuetiller {

/** A key that the sketch holds. Its true weight is at most `weight` and at
 * least `weight - error`. */
struct HotKey
{
  std::string key;
  double weight = 0;
  double error = 0;

  friend bool operator==(const HotKey& aLeft, const HotKey& aRight);
};

/**
 * The heaviest keys of a stream in bounded memory, by the Space-Saving
 * algorithm (Metwally, Agrawal, El Abbadi, 2005): a key that isn't held takes
 * the place of the lightest one and inherits its weight as error.
 * bench/placementhotkeys measures the error for the streams of a daemon. Not
 * thread-safe.
 */
class HotKeys
{
public:
  /** @param aCapacity Number of keys held, at least 1. */
  explicit HotKeys(size_t aCapacity);

  void Record(std::string_view aKey, double aWeight = 1);

  /** Multiplies all weights, so that keys that cooled down give way. */
  void Decay(double aFactor);

  /** Up to aCount keys, heaviest first. */
  std::vector<HotKey> Top(size_t aCount) const;

  /** Weight of all keys recorded, decayed as they are. */
  double Total() const;

private:
  void SiftDown(size_t aPlace);
  void SiftUp(size_t aPlace);
  void Put(size_t aPlace, HotKey aKey);

  size_t capacity;
  double total = 0;
  std::vector<HotKey> heap; ///< Lightest first.
  std::unordered_map<std::string, size_t> places;
};

/** When a key is placed in a partition of its own, and when no longer. */
struct ApartSettings
{
  /** Share of a server's slots that a key's load exceeds. */
  double apartShare = 0.15;
  /** Share below which a key placed apart goes back to its partition. */
  double backShare = 0.05;
  /** Least time apart. */
  Duration dwell = std::chrono::seconds(60);
  size_t maxKeys = 16;
};

/** A key that has a partition of its own. */
struct ApartKey
{
  std::string key;
  Time since;
};

/** Changes to which keys are placed apart. */
struct ApartDecision
{
  std::vector<std::string> apart;
  std::vector<std::string> back;
};

/**
 * Decides which keys an owner places apart. A key's load is its share of what
 * the sketch recorded times the load of the owner, its error taken off.
 */
ApartDecision
DecideApart(Time aNow,
            const HotKeys& aKeys,
            double aLoad,
            double aSlots,
            const std::vector<ApartKey>& aApart,
            const ApartSettings& aSettings);

} // namespace fescuetiller
