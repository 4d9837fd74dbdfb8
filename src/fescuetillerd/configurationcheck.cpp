#include "fescuetillerd/configurationcheck.h"

#include <algorithm>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Age at which a check begins, chosen at random between these: soon enough
 * for a new configuration to be in force in time, and spread so that the result
 * of one daemon's check reaches the others before theirs begin. */
constexpr Duration kMinCheckAge = milliseconds(800);
constexpr Duration kMaxCheckAge = milliseconds(1400);
/** Pauses after the first failed check, and after further ones. */
constexpr Duration kInitialRetryPause = milliseconds(100);
constexpr Duration kRetryPause = milliseconds(600);
/** Least gain of age that is news for others. */
constexpr Duration kMinGain = milliseconds(400);

} // namespace

ConfigurationCheck::ConfigurationCheck(std::function<double()> aRandom)
  : random(std::move(aRandom))
{
}

bool
ConfigurationCheck::OnConfirmed(Time aAsOf)
{
  if (aAsOf <= this->confirmedAt) {
    return false;
  }
  bool isNews = aAsOf - this->confirmedAt >= kMinGain;
  this->confirmedAt = aAsOf;
  this->nextCheckAt = aAsOf + kMinCheckAge +
                      std::chrono::duration_cast<Duration>(
                        (kMaxCheckAge - kMinCheckAge) * this->random());
  return isNews;
}

bool
ConfigurationCheck::Begin(Time aNow)
{
  if (this->startedAt != Time() || aNow < this->nextCheckAt) {
    return false;
  }
  this->startedAt = aNow;
  return true;
}

bool
ConfigurationCheck::OnEnded(Time aNow, bool aAnswered)
{
  auto asOf = std::exchange(this->startedAt, Time());
  if (aAnswered) {
    this->failures = 0;
    return this->OnConfirmed(asOf);
  }
  this->nextCheckAt =
    std::max(this->nextCheckAt,
             aNow + (this->failures == 0 ? kInitialRetryPause : kRetryPause));
  ++this->failures;
  return false;
}

bool
ConfigurationCheck::HasFailed() const
{
  return this->failures > 0;
}

std::optional<Duration>
ConfigurationCheck::Age(Time aNow) const
{
  if (this->confirmedAt == Time()) {
    return std::nullopt;
  }
  return std::max(Duration(0), aNow - this->confirmedAt);
}

} // namespace fescuetiller
