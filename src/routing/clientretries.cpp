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

bool
operator==(const ClientRetries::Attempt& aLeft,
           const ClientRetries::Attempt& aRight)
{
  return aLeft.firstSentAt == aRight.firstSentAt &&
         aLeft.retryDueAt == aRight.retryDueAt;
}

void
ClientRetries::OnUnsuccessful(Time aNow,
                              RequestFingerprint aFingerprint,
                              Time aClientDeadline,
                              const Attempt& aAttempt)
{
  this->RemoveExpired(aNow);
  if (aClientDeadline > aNow && aClientDeadline < aNow + kMaxWait &&
      this->attempts.size() < kMaxEntries) {
    this->attempts.emplace(
      FingerprintAndDeadline(aFingerprint, aClientDeadline), aAttempt);
  }
}

std::optional<ClientRetries::Attempt>
ClientRetries::TakeAttempt(Time aNow,
                           RequestFingerprint aFingerprint,
                           Time aClientDeadline)
{
  this->RemoveExpired(aNow);
  auto nearest = this->attempts.end();
  auto least = kDeadlineTolerance;
  auto attempt = this->attempts.lower_bound(
    { aFingerprint, aClientDeadline - kDeadlineTolerance });
  for (; attempt != this->attempts.end(); ++attempt) {
    const auto& [fingerprint, deadline] = attempt->first;
    auto distance = std::chrono::abs(deadline - aClientDeadline);
    if (fingerprint != aFingerprint || distance > least) {
      break;
    }
    nearest = attempt;
    least = distance;
  }
  if (nearest == this->attempts.end()) {
    return std::nullopt;
  }
  auto found = nearest->second;
  this->attempts.erase(nearest);
  // Clients of a class wait for equally long: another client's deadline is
  // later by as much as its request is, while that of a retry stays where it
  // was.
  if (least * 2 >= aNow - found.firstSentAt) {
    found.retryDueAt = Time();
  }
  return found;
}

bool
ClientRetries::IsEmpty() const
{
  return this->attempts.empty();
}

void
ClientRetries::RemoveExpired(Time aNow)
{
  if (aNow < this->nextRemoval) {
    return;
  }
  this->nextRemoval = aNow + kRemovalInterval;
  auto attempt = this->attempts.begin();
  while (attempt != this->attempts.end()) {
    auto deadline = attempt->first.second;
    attempt = deadline + kDeadlineTolerance < aNow
                ? this->attempts.erase(attempt)
                : std::next(attempt);
  }
}

} // namespace fescuetiller
