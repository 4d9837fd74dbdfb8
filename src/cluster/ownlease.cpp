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
  this->nextGuardians.reset();
  this->acknowledged.clear();
  this->longLeaseSentAt = aSentAt;
}

void
OwnLease::BeginGuardianChange(std::vector<MemberId> aGuardians, Time aSentAt)
{
  this->nextGuardians = std::move(aGuardians);
  this->nextWrittenAt = aSentAt;
}

void
OwnLease::EndGuardianChange(bool aCommitted)
{
  if (aCommitted && this->nextGuardians) {
    this->guardians = *this->nextGuardians;
    this->writtenAt = this->nextWrittenAt;
  }
  this->nextGuardians.reset();
}

void
OwnLease::OnAcknowledgement(const MemberId& aGuardian, Time aSentAt)
{
  auto& latest = this->acknowledged[aGuardian];
  latest = std::max(latest, aSentAt);
}

void
OwnLease::OnLongLeaseRenewed(Time aSentAt)
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
  return this->nextGuardians
           ? std::min(
               until,
               this->PromisedUntil(*this->nextGuardians, this->nextWrittenAt))
           : until;
}

std::vector<MemberId>
OwnLease::Guardians() const
{
  auto all = this->guardians;
  if (this->nextGuardians) {
    for (const auto& guardian : *this->nextGuardians) {
      if (std::find(all.begin(), all.end(), guardian) == all.end()) {
        all.push_back(guardian);
      }
    }
  }
  return all;
}

bool
OwnLease::IsChangingGuardians() const
{
  return this->nextGuardians.has_value();
}

std::optional<Time>
OwnLease::LastAcknowledged(const MemberId& aGuardian) const
{
  auto found = this->acknowledged.find(aGuardian);
  return found == this->acknowledged.end() ? std::nullopt
                                           : std::optional(found->second);
}

} // namespace fescuetiller
