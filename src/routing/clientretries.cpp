#include "routing/clientretries.h"

#include <algorithm>

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
      this->entries.size() < kMaxEntries) {
    this->entries.emplace(aFingerprint, Entry{ aClientDeadline, aFirstSentAt });
  }
}

std::optional<Time>
ClientRetries::TakeFirstSentAt(Time aNow,
                               RequestFingerprint aFingerprint,
                               Time aClientDeadline)
{
  this->RemoveExpired(aNow);
  auto [first, last] = this->entries.equal_range(aFingerprint);
  auto distance = [&](const Entry& aEntry) {
    return std::chrono::abs(aEntry.clientDeadline - aClientDeadline);
  };
  auto nearest =
    std::min_element(first, last, [&](const auto& aLeft, const auto& aRight) {
      return distance(aLeft.second) < distance(aRight.second);
    });
  if (nearest == last || distance(nearest->second) > kDeadlineTolerance) {
    return std::nullopt;
  }
  auto firstSentAt = nearest->second.firstSentAt;
  this->entries.erase(nearest);
  return firstSentAt;
}

bool
ClientRetries::IsEmpty() const
{
  return this->entries.empty();
}

void
ClientRetries::RemoveExpired(Time aNow)
{
  if (aNow < this->nextRemoval) {
    return;
  }
  this->nextRemoval = aNow + kRemovalInterval;
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    entry = entry->second.clientDeadline + kDeadlineTolerance < aNow
              ? this->entries.erase(entry)
              : std::next(entry);
  }
}

} // namespace fescuetiller
