#include "routing/clientretries.h"

#include <iterator>

namespace fescuetiller {

namespace {

/** Most by which the deadlines of two attempts of a client differ: it sends the
 * time that is left, which travels for different times. Another client that
 * requests the same is taken for the first one only if it began to wait within
 * this time of it. */
constexpr Duration kDeadlineTolerance = std::chrono::milliseconds(50);
/** Interval between removals of expired entries. */
constexpr Duration kRemovalInterval = std::chrono::seconds(1);
/** Requests of clients that wait for longer are not kept. */
constexpr Duration kMaxWait = std::chrono::minutes(1);
/** Bounds the memory while nearly all requests are refused: about 1 MB. */
constexpr size_t kMaxEntries = 10000;

} // namespace

void
ClientRetries::OnUnsuccessful(Time aNow,
                              RequestFingerprint aFingerprint,
                              Time aClientDeadline,
                              Time aFirstSentAt)
{
  this->RemoveExpired(aNow);
  if (aClientDeadline > aNow && aClientDeadline < aNow + kMaxWait &&
      this->firstAttempts.size() < kMaxEntries) {
    this->firstAttempts.emplace(
      FingerprintAndDeadline(aFingerprint, aClientDeadline), aFirstSentAt);
  }
}

std::optional<Time>
ClientRetries::TakeFirstSentAt(Time aNow,
                               RequestFingerprint aFingerprint,
                               Time aClientDeadline)
{
  this->RemoveExpired(aNow);
  auto nearest = this->firstAttempts.end();
  auto least = kDeadlineTolerance;
  auto attempt = this->firstAttempts.lower_bound(
    { aFingerprint, aClientDeadline - kDeadlineTolerance });
  for (; attempt != this->firstAttempts.end(); ++attempt) {
    const auto& [fingerprint, deadline] = attempt->first;
    auto distance = std::chrono::abs(deadline - aClientDeadline);
    if (fingerprint != aFingerprint || distance > least) {
      break;
    }
    nearest = attempt;
    least = distance;
  }
  if (nearest == this->firstAttempts.end()) {
    return std::nullopt;
  }
  auto firstSentAt = nearest->second;
  this->firstAttempts.erase(nearest);
  return firstSentAt;
}

bool
ClientRetries::IsEmpty() const
{
  return this->firstAttempts.empty();
}

void
ClientRetries::RemoveExpired(Time aNow)
{
  if (aNow < this->nextRemoval) {
    return;
  }
  this->nextRemoval = aNow + kRemovalInterval;
  auto attempt = this->firstAttempts.begin();
  while (attempt != this->firstAttempts.end()) {
    auto deadline = attempt->first.second;
    attempt = deadline + kDeadlineTolerance < aNow
                ? this->firstAttempts.erase(attempt)
                : std::next(attempt);
  }
}

} // namespace fescuetiller
