#include "ownership/leasegrantor.h"

namespace fescuetiller {

LeaseGrantor::LeaseGrantor(const LeaseSettings& aSettings, Incarnation aSelf)
  : settings(aSettings)
  , self(aSelf)
{
}

void
LeaseGrantor::Follow(Time aNow, const ClusterTable& aTable)
{
  std::map<Incarnation, Ward> followed;
  for (const auto& [incarnation, member] : aTable.Members()) {
    bool isWard = member.state != MemberState::Ended &&
                  incarnation != this->self &&
                  aTable.EffectiveGrantor(member) == this->self;
    if (!isWard) {
      continue;
    }
    auto known = this->wards.find(incarnation);
    bool unchanged =
      known != this->wards.end() && known->second.version == member.version;
    followed[incarnation] =
      unchanged ? known->second : Ward{ member.version, aNow, false, false };
  }
  this->wards = std::move(followed);
}

bool
LeaseGrantor::Renew(Time aNow, const Renewal& aRenewal, bool aOwnLeaseValid)
{
  auto ward = this->wards.find(aRenewal.holder);
  if (ward == this->wards.end() || ward->second.barred ||
      aRenewal.grantor != this->self) {
    return false;
  }
  if (!this->settings.rules.acknowledges(aOwnLeaseValid)) {
    return false;
  }
  ward->second.promisedAt = aNow;
  return true;
}

std::vector<Incarnation>
LeaseGrantor::Expired(Time aNow) const
{
  std::vector<Incarnation> expired;
  Duration wait = this->settings.lease + this->settings.driftMargin;
  for (const auto& [incarnation, ward] : this->wards) {
    bool silent = ward.barred || aNow - ward.promisedAt > wait;
    if (silent && !ward.takingOver) {
      expired.push_back(incarnation);
    }
  }
  return expired;
}

void
LeaseGrantor::Bar(Incarnation aWard)
{
  auto ward = this->wards.find(aWard);
  if (ward != this->wards.end()) {
    ward->second.barred = true;
    ward->second.takingOver = true;
  }
}

void
LeaseGrantor::TakeOverFailed(Incarnation aWard)
{
  auto ward = this->wards.find(aWard);
  if (ward != this->wards.end()) {
    ward->second.takingOver = false;
  }
}

void
LeaseGrantor::Resumed(Time aNow)
{
  for (auto& [incarnation, ward] : this->wards) {
    ward.promisedAt = aNow;
  }
}

} // namespace fescuetiller
