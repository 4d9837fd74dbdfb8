#include "admission/linkload.h"

#include <algorithm>
#include <cmath>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** How long data in flight may delay a short message that follows it. */
constexpr Duration kMaxQueueTime = milliseconds(40);
/** What may be in flight in any case: enough for a fast link to show its speed.
 */
constexpr uint64_t kMinInFlightBytes = 32 * 1024;
constexpr uint64_t kMaxInFlightBytes = 8 * 1024 * 1024;
/** Bounds of the time without an acknowledgement after which a connection waits
 * for its receiver, not for the link. */
constexpr Duration kMinStallTime = milliseconds(250);
constexpr Duration kMaxStallTime = milliseconds(1000);
/** That time as a multiple of the time in which the link carries what may be in
 * flight. */
constexpr double kStallFactor = 3;
/** Half-life of the learned speed. */
constexpr Duration kSpeedHalfLife = milliseconds(1000);
/** Age at which the learned speed is no longer used. */
constexpr Duration kMaxSpeedAge = std::chrono::seconds(4);
/** Size from which on responses wait for the link. Shorter ones are sent at
 * once. If a server does not state the size, the mean size of the class is
 * taken. */
constexpr double kLongResponseBytes = 32 * 1024;
/** Weight of a new response in the mean size of its class. */
constexpr double kNewSizeWeight = 0.1;
/** Bounds of the interval between measurements while data waits. */
constexpr Duration kMinInterval = milliseconds(3);
constexpr Duration kMaxInterval = milliseconds(20);

Duration
FromSeconds(double aSeconds)
{
  constexpr double kMaxSeconds = 3600;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(aSeconds, kMaxSeconds)));
}

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

LinkLoad::LinkLoad()
  : inFlightLimit(kMinInFlightBytes)
{
}

bool
operator==(const LinkEstimate& aLeft, const LinkEstimate& aRight)
{
  return aLeft.untilFree == aRight.untilFree &&
         aLeft.transmission == aRight.transmission;
}

void
LinkLoad::Expect(uint64_t aId, const std::string& aClass)
{
  auto mean = this->meanBytes.find(aClass);
  this->responses[aId] = { aClass,
                           0,
                           mean == this->meanBytes.end()
                             ? 0
                             : static_cast<uint64_t>(mean->second) };
}

void
LinkLoad::OnStarted(uint64_t aId, std::optional<uint64_t> aBytes)
{
  auto found = this->responses.find(aId);
  if (found != this->responses.end() && aBytes) {
    found->second.left = *aBytes;
    found->second.sizeIsKnown = true;
  }
}

void
LinkLoad::OnSent(uint64_t aId, uint64_t aBytes)
{
  auto found = this->responses.find(aId);
  if (found != this->responses.end()) {
    found->second.sent += aBytes;
    found->second.left -= std::min(found->second.left, aBytes);
  }
}

void
LinkLoad::OnEnded(uint64_t aId, bool aComplete)
{
  auto found = this->responses.find(aId);
  if (found == this->responses.end()) {
    return;
  }
  if (aComplete) {
    auto size = static_cast<double>(found->second.sent);
    auto [mean, added] =
      this->meanBytes.try_emplace(found->second.requestClass, size);
    mean->second += added ? 0 : (size - mean->second) * kNewSizeWeight;
  }
  this->responses.erase(found);
}

void
LinkLoad::OnMeasured(Time aNow, uint64_t aConnection, uint64_t aBytes)
{
  auto& connection = this->connections[aConnection];
  bool decreased = aBytes < connection.inFlight;
  this->drained += decreased ? connection.inFlight - aBytes : 0;
  if (decreased || connection.inFlight == 0) {
    connection.changedAt = aNow;
  }
  connection.inFlight = aBytes;
}

void
LinkLoad::OnIdle(uint64_t aConnection)
{
  this->connections.erase(aConnection);
}

void
LinkLoad::OnRoundMeasured(Time aNow)
{
  auto inFlight = this->InFlight(aNow);
  double seconds = ToSeconds(aNow - this->measuredAt);
  auto bytes = static_cast<double>(this->drained);
  if (this->inFlightBefore > 0 && seconds > 0) {
    // If all has arrived by now, it may have arrived long before.
    auto known = this->BytesPerSecond(aNow);
    if (inFlight > 0 || aNow - this->measuredAt <= kMaxInterval ||
        (known && bytes / seconds > *known)) {
      this->silentSeconds += seconds;
      if (this->drained > 0) {
        this->Learn(aNow, bytes, this->silentSeconds);
        this->silentSeconds = 0;
      }
    }
    if (inFlight == 0 && this->inFlightBefore >= this->inFlightLimit) {
      this->inFlightLimit =
        std::min(this->inFlightLimit * 2, kMaxInFlightBytes);
    }
  }
  this->silentSeconds = inFlight > 0 ? this->silentSeconds : 0;
  this->drained = 0;
  this->inFlightBefore = inFlight;
  this->measuredAt = aNow;
}

void
LinkLoad::Learn(Time aNow, double aBytes, double aSeconds)
{
  double decay = DecayFactor(aNow - this->learnedAt, kSpeedHalfLife);
  this->learnedBytes = this->learnedBytes * decay + aBytes;
  this->learnedSeconds = this->learnedSeconds * decay + aSeconds;
  this->learnedAt = aNow;
  double speed = this->learnedBytes / this->learnedSeconds;
  this->inFlightLimit =
    std::clamp(static_cast<uint64_t>(speed * ToSeconds(kMaxQueueTime)),
               kMinInFlightBytes,
               kMaxInFlightBytes);
}

std::optional<double>
LinkLoad::BytesPerSecond(Time aNow) const
{
  if (this->learnedBytes <= 0 || aNow - this->learnedAt > kMaxSpeedAge) {
    return std::nullopt;
  }
  return this->learnedBytes / this->learnedSeconds;
}

Duration
LinkLoad::StallTime(Time aNow) const
{
  auto speed = this->BytesPerSecond(aNow);
  auto drain = speed ? FromSeconds(static_cast<double>(this->inFlightLimit) *
                                   kStallFactor / *speed)
                     : Duration(0);
  return std::clamp(drain, kMinStallTime, kMaxStallTime);
}

uint64_t
LinkLoad::InFlight(Time aNow) const
{
  auto stallTime = this->StallTime(aNow);
  uint64_t sum = 0;
  for (const auto& [id, connection] : this->connections) {
    sum += aNow - connection.changedAt < stallTime ? connection.inFlight : 0;
  }
  return sum;
}

bool
LinkLoad::MaySendAtOnce(uint64_t aId, uint64_t aBytes) const
{
  auto found = this->responses.find(aId);
  if (found == this->responses.end()) {
    return false;
  }
  const auto& response = found->second;
  auto mean = this->meanBytes.find(response.requestClass);
  double expected = response.sizeIsKnown
                      ? static_cast<double>(response.sent + response.left)
                    : mean == this->meanBytes.end() ? 0
                                                    : mean->second;
  return expected < kLongResponseBytes &&
         static_cast<double>(response.sent + aBytes) <= kLongResponseBytes;
}

bool
LinkLoad::MaySend(Time aNow) const
{
  return this->InFlight(aNow) < this->inFlightLimit;
}

Duration
LinkLoad::UntilNextMeasurement(Time aNow) const
{
  auto speed = this->BytesPerSecond(aNow);
  auto inFlight = this->InFlight(aNow);
  if (!speed || inFlight < this->inFlightLimit) {
    return kMinInterval;
  }
  auto excess = static_cast<double>(inFlight - this->inFlightLimit);
  return std::clamp(FromSeconds(excess / *speed), kMinInterval, kMaxInterval);
}

LinkEstimate
LinkLoad::Estimate(Time aNow, const std::string& aClass) const
{
  auto mean = this->meanBytes.find(aClass);
  auto speed = this->BytesPerSecond(aNow);
  if (mean == this->meanBytes.end() || mean->second < kLongResponseBytes ||
      !speed) {
    return {};
  }
  auto ahead = static_cast<double>(this->InFlight(aNow));
  for (const auto& [id, response] : this->responses) {
    ahead += static_cast<double>(response.left);
  }
  return { FromSeconds(ahead / *speed), FromSeconds(mean->second / *speed) };
}

} // namespace fescuetiller
