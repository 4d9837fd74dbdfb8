#include "ownership/lostmemberwatch.h"

namespace fescuetiller {

LostMemberWatch::LostMemberWatch(const LeaseSettings& aSettings,
                                 const Member& aSelf)
  : settings(aSettings)
  , self(aSelf.incarnation)
  , controlAddress(aSelf.controlAddress)
{
}

void
LostMemberWatch::Declare(Incarnation aMember)
{
  this->declared.insert(aMember);
  this->followed = 0;
}

void
LostMemberWatch::Reset()
{
  this->entries.clear();
  this->followed = 0;
}

bool
LostMemberWatch::Watched(const Member& aMember,
                         const ClusterTable& aTable) const
{
  if (aMember.state == MemberState::Ended ||
      aMember.incarnation == this->self) {
    return false;
  }
  return aMember.controlAddress == this->controlAddress ||
         this->declared.count(aMember.incarnation) != 0 ||
         aTable.EffectiveGrantor(aMember) == kNoIncarnation;
}

void
LostMemberWatch::Follow(Time aNow, const ClusterTable& aTable)
{
  if (this->followed == aTable.ChangeCount()) {
    return;
  }
  this->followed = aTable.ChangeCount();
  std::map<Incarnation, Entry> current;
  for (const auto& [incarnation, member] : aTable.Members()) {
    if (!this->Watched(member, aTable)) {
      continue;
    }
    auto known = this->entries.find(incarnation);
    bool unchanged =
      known != this->entries.end() && known->second.version == member.version;
    current[incarnation] =
      unchanged ? known->second : Entry{ member.version, aNow, false };
  }
  this->entries = std::move(current);
}

size_t
LostMemberWatch::Rank(const Member& aMember, const ClusterTable& aTable) const
{
  if (aMember.controlAddress == this->controlAddress) {
    return 0;
  }
  std::string name = ToHex(aMember.incarnation);
  uint64_t own = HashKey(name, this->self);
  size_t rank = 0;
  for (const auto& [incarnation, other] : aTable.Members()) {
    bool before = other.state == MemberState::Active &&
                  incarnation != aMember.incarnation &&
                  HashKey(name, incarnation) < own;
    rank += before ? 1 : 0;
  }
  return rank;
}

std::vector<Incarnation>
LostMemberWatch::TakeDue(Time aNow, const ClusterTable& aTable)
{
  std::vector<Incarnation> due;
  Duration wait = this->settings.lease + this->settings.driftMargin;
  for (auto& [incarnation, entry] : this->entries) {
    if (entry.takingOver || aNow - entry.since <= wait) {
      continue;
    }
    const Member* member = aTable.FindMember(incarnation);
    Duration stagger =
      this->Rank(*member, aTable) * this->settings.watchStagger;
    if (aNow - entry.since > wait + stagger) {
      entry.takingOver = true;
      due.push_back(incarnation);
    }
  }
  return due;
}

void
LostMemberWatch::TakeOverFailed(Time aNow, Incarnation aMember)
{
  auto entry = this->entries.find(aMember);
  if (entry != this->entries.end()) {
    entry->second.takingOver = false;
    entry->second.since = aNow - this->settings.lease;
  }
}

} // namespace fescuetiller
