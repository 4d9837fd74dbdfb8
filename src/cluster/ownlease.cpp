#include "cluster/ownlease.h"

#include <algorithm>

namespace fescuetiller {

OwnLease::OwnLease(const LeaseTimes& aTimes)
  : times(aTimes)
{
}

void
OwnLease::Start(std::vector<MemberId> aGuardians, Time aSentAt)
{
  this->guardians = std::move(aGuardians);
  this->writtenAt = aSentAt;
  this->next.reset();
  this->acknowledged.clear();
  this->longLeaseSentAt = aSentAt;
}

void
OwnLease::BeginChange(std::vector<MemberId> aGuardians, Time aSentAt)
{
  this->next = std::move(aGuardians);
  this->nextWrittenAt = aSentAt;
}

void
OwnLease::EndChange(bool aCommitted)
{
  if (aCommitted && this->next) {
    this->guardians = *this->next;
    this->writtenAt = this->nextWrittenAt;
  }
  this->next.reset();
}

void
OwnLease::Acknowledged(const MemberId& aGuardian, Time aSentAt)
{
  auto& latest = this->acknowledged[aGuardian];
  latest = std::max(latest, aSentAt);
}

void
OwnLease::LongLeaseRenewed(Time aSentAt)
{
  this->longLeaseSentAt = std::max(this->longLeaseSentAt, aSentAt);
}

Time
OwnLease::PromisedUntil(const std::vector<MemberId>& aGuardians,
                        Time aWrittenAt) const
{
  size_t needed = AcknowledgementsNeeded(aGuardians.size());
  if (needed == 0) {
    return Time::max();
  }
  std::vector<Time> latest;
  latest.reserve(aGuardians.size());
  for (const auto& guardian : aGuardians) {
    latest.push_back(
      std::max(aWrittenAt, this->LastAcknowledged(guardian).value_or(Time())));
  }
  std::sort(latest.rbegin(), latest.rend());
  return latest[needed - 1] + this->times.promise;
}

Time
OwnLease::EndsAt() const
{
  auto until = std::min(this->longLeaseSentAt + this->times.longLease,
                        this->PromisedUntil(this->guardians, this->writtenAt));
  return this->next
           ? std::min(until,
                      this->PromisedUntil(*this->next, this->nextWrittenAt))
           : until;
}

std::vector<MemberId>
OwnLease::Guardians() const
{
  auto all = this->guardians;
  if (this->next) {
    for (const auto& guardian : *this->next) {
      if (std::find(all.begin(), all.end(), guardian) == all.end()) {
        all.push_back(guardian);
      }
    }
  }
  return all;
}

bool
OwnLease::Changing() const
{
  return this->next.has_value();
}

std::optional<Time>
OwnLease::LastAcknowledged(const MemberId& aGuardian) const
{
  auto found = this->acknowledged.find(aGuardian);
  return found == this->acknowledged.end() ? std::nullopt
                                           : std::optional(found->second);
}

} // namespace fescuetiller
