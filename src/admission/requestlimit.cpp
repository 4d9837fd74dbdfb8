#include "admission/requestlimit.h"

#include <algorithm>
#include <cmath>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Requests that a server may get at once after a pause, as the time in which
 * its rate allows them; at least one request. */
constexpr Duration kBurstTime = milliseconds(250);
/** Lowest rate at which requests are sent, per second. The server's responses
 * are the only way to learn that it accepts more again. */
constexpr double kMinPerSecond = 0.1;

constexpr double kNanosecondsPerSecond = 1e9;

double
ToSeconds(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / kNanosecondsPerSecond;
}

} // namespace

bool
RequestLimit::OnResponse(Time aNow,
                         Time aSentAt,
                         std::optional<double> aPerSecond)
{
  this->responded = true;
  auto stated = aPerSecond;
  if (stated) {
    stated = std::max(*stated, kMinPerSecond);
  }
  bool lower = stated && (!this->perSecond || *stated < *this->perSecond);
  if (stated == this->perSecond || (!lower && aSentAt < this->statedAt)) {
    return false;
  }
  this->SetRate(aNow, stated);
  return true;
}

void
RequestLimit::OnReported(Time aNow, double aPerSecond)
{
  if (!this->responded && !this->perSecond) {
    this->SetRate(aNow, std::max(aPerSecond, kMinPerSecond));
  }
}

void
RequestLimit::SetRate(Time aNow, std::optional<double> aPerSecond)
{
  this->tokens = this->TokensAt(aNow);
  this->tokensAt = aNow;
  this->perSecond = aPerSecond;
  this->statedAt = aNow;
}

void
RequestLimit::Reset()
{
  *this = RequestLimit();
}

void
RequestLimit::OnSent(Time aNow)
{
  if (this->perSecond) {
    this->tokens = this->TokensAt(aNow) - 1;
    this->tokensAt = aNow;
  }
}

double
RequestLimit::TokensAt(Time aNow) const
{
  if (!this->perSecond) {
    return 0;
  }
  double most = std::max(1.0, *this->perSecond * ToSeconds(kBurstTime));
  return std::min(
    most, this->tokens + *this->perSecond * ToSeconds(aNow - this->tokensAt));
}

Duration
RequestLimit::TimeUntil(Time aNow, size_t aRequests) const
{
  double missing = static_cast<double>(aRequests) - this->TokensAt(aNow);
  if (!this->perSecond || missing <= 0) {
    return Duration(0);
  }
  return Duration(static_cast<int64_t>(
    std::ceil(missing / *this->perSecond * kNanosecondsPerSecond)));
}

std::optional<double>
RequestLimit::PerSecond() const
{
  return this->perSecond;
}

} // namespace fescuetiller
