#include "admission/sendshare.h"

#include <algorithm>

namespace fescuetiller {

namespace {

/** Half-life of the counts. A burst begins and ends within seconds. */
constexpr Duration kHalfLife = std::chrono::milliseconds(500);
/** Requests that are sent for each one that starts. The excess covers uneven
 * arrivals, and lets the server choose the more urgent ones. */
constexpr double kSupply = 1.5;
/** Share of the requests that arrived from which on there is room for more:
 * with kSupply, only two thirds of them start while there is none. */
constexpr double kRoomShare = 0.8;
/** With fewer requests than this within the half-life, the share that started
 * is left to chance. */
constexpr double kMinOffered = 6;
/** Lowest share, so that each daemon keeps hearing of the server. */
constexpr double kMinShare = 0.05;

} // namespace

SendShare::Counts&
SendShare::Decay(Time aNow, const std::string& aClass)
{
  auto& entry = this->counts[aClass];
  double factor = DecayFactor(aNow - entry.decayedAt, kHalfLife);
  entry.arrived *= factor;
  entry.offered *= factor;
  entry.started *= factor;
  entry.decayedAt = aNow;
  return entry;
}

void
SendShare::OnOffered(Time aNow, const std::string& aClass, double aWeight)
{
  auto& entry = this->Decay(aNow, aClass);
  entry.arrived += 1;
  entry.offered += aWeight;
}

void
SendShare::OnStarted(Time aNow, const std::string& aClass)
{
  this->Decay(aNow, aClass).started += 1;
}

double
SendShare::Of(Time aNow, const std::string& aClass) const
{
  auto found = this->counts.find(aClass);
  if (found == this->counts.end() ||
      found->second.offered *
          DecayFactor(aNow - found->second.decayedAt, kHalfLife) <
        kMinOffered) {
    return 1;
  }
  const auto& entry = found->second;
  if (entry.started >= entry.arrived * kRoomShare) {
    return 1;
  }
  return std::clamp(kSupply * entry.started / entry.offered, kMinShare, 1.0);
}

} // namespace fescuetiller
