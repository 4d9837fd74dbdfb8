#include "cluster/membermonitor.h"

#include <algorithm>

namespace fescuetiller {

namespace {

/** Between questions to the other guardians: some round trips. */
constexpr Duration kAskInterval = std::chrono::milliseconds(200);
/** Time in which a guardian named earlier in the record acts alone. */
constexpr Duration kRankDelay = std::chrono::milliseconds(150);
/** Ranks of members that are not guardians, when no guardian is left. */
constexpr size_t kRanks = 16;
/** Time to let a takeover be written before it is asked for again. */
constexpr Duration kReportInterval = std::chrono::milliseconds(700);
/** Time in which guardians should have agreed; then the long lease is read. */
constexpr Duration kAgreementTime = std::chrono::seconds(2);
/** Between reads of a long lease: few calls, found soon after its end. */
constexpr Duration kReadInterval = std::chrono::seconds(4);

} // namespace

bool
operator==(const LostMember& aLeft, const LostMember& aRight)
{
  return aLeft.id == aRight.id && aLeft.version == aRight.version &&
         aLeft.leaseVersion == aRight.leaseVersion;
}

MemberMonitor::MemberMonitor(const LeaseTimes& aTimes)
  : times(aTimes)
{
}

bool
MemberMonitor::IsSilent(Time aNow, const Ward& aWard) const
{
  return aNow - aWard.lastSeen > WithDrift(this->times.promise, this->times);
}

/** Whether a guardian agreed, or can hold to no promise any more. */
bool
MemberMonitor::Agrees(Time aNow,
                      const ClusterView& aView,
                      Ward& aWard,
                      const MemberId& aGuardian) const
{
  if (aWard.consents.count(aGuardian) > 0) {
    return true;
  }
  if (aView.FindMember(aGuardian) != nullptr) {
    aWard.missingSince.erase(aGuardian);
    return false;
  }
  auto since = aWard.missingSince.try_emplace(aGuardian, aNow).first->second;
  return aNow - since > WithDrift(this->times.promise, this->times);
}

bool
MemberMonitor::OnRenewal(Time aNow, const MemberId& aWard)
{
  auto& ward = this->wards[aWard];
  if (ward.condemned) {
    return false;
  }
  ward.lastSeen = aNow;
  return true;
}

bool
MemberMonitor::OnConsentRequest(Time aNow,
                                const MemberId& aWard,
                                RowVersion aVersion)
{
  auto found = this->wards.find(aWard);
  if (found == this->wards.end() || found->second.version != aVersion) {
    return false;
  }
  auto& ward = found->second;
  ward.condemned = ward.condemned || this->IsSilent(aNow, ward);
  return ward.condemned;
}

void
MemberMonitor::OnConsent(const MemberId& aWard,
                         const MemberId& aGuardian,
                         RowVersion aVersion)
{
  auto found = this->wards.find(aWard);
  if (found != this->wards.end() && found->second.version == aVersion) {
    found->second.consents.insert(aGuardian);
  }
}

void
MemberMonitor::OnLongLeaseRead(Time aNow,
                               const MemberId& aWard,
                               RowVersion aVersion)
{
  auto& ward = this->wards[aWard];
  if (!ward.leaseSeen || ward.leaseVersion != aVersion) {
    ward.leaseSeen = true;
    ward.leaseVersion = aVersion;
    ward.leaseSeenAt = aNow;
  }
}

void
MemberMonitor::FindPursued(const ClusterView& aView, const MemberId& aSelf)
{
  const auto& basis = this->pursuedBasis;
  if (basis.changes == aView.ChangeCount() &&
      basis.version == aView.Version() && basis.self == aSelf) {
    return;
  }
  this->pursuedBasis = { aView.ChangeCount(), aView.Version(), aSelf };
  this->pursued.clear();
  for (const auto& [id, member] : aView.AllMembers()) {
    const auto& guardians = member.record.guardians;
    bool orphan = std::none_of(
      guardians.begin(), guardians.end(), [&](const auto& aGuardian) {
        return aView.FindMember(aGuardian) != nullptr;
      });
    bool named =
      std::find(guardians.begin(), guardians.end(), aSelf) != guardians.end();
    if (id != aSelf && (named || orphan)) {
      this->pursued.insert(id);
    }
  }
}

MemberMonitor::Findings
MemberMonitor::Tick(Time aNow,
                    const ClusterView& aView,
                    const MemberId& aSelf,
                    const std::set<MemberId>& aSilent)
{
  this->FindPursued(aView, aSelf);
  Findings findings;
  auto looked = this->pursued;
  looked.insert(aSilent.begin(), aSilent.end());
  for (const auto& id : looked) {
    const auto* member = aView.FindMember(id);
    if (member != nullptr && id != aSelf) {
      this->Look(aNow, aView, *member, aSelf, findings);
    }
  }
  return findings;
}

void
MemberMonitor::Look(Time aNow,
                    const ClusterView& aView,
                    const Versioned<MemberRecord>& aMember,
                    const MemberId& aSelf,
                    Findings& aFindings)
{
  const auto& record = aMember.record;
  const auto& guardians = record.guardians;
  auto& ward = this->wards[record.id];
  if (ward.version != aMember.version) {
    ward = Ward();
    ward.version = aMember.version;
    ward.lastSeen = aNow;
  }
  for (const auto& guardian : guardians) {
    this->Agrees(aNow, aView, ward, guardian); // Notes who is missing.
  }
  if (!this->IsSilent(aNow, ward)) {
    return;
  }
  if (guardians.empty() || this->pursued.count(record.id) == 0) {
    this->WatchLease(aNow, aMember, aFindings);
    return;
  }
  auto place = std::find(guardians.begin(), guardians.end(), aSelf);
  auto rank =
    place != guardians.end()
      ? static_cast<size_t>(place - guardians.begin())
      : guardians.size() + StableHash(aSelf, StableHash(record.id)) % kRanks;
  this->Pursue(aNow, aView, aMember, aSelf, rank, aFindings);
}

void
MemberMonitor::Pursue(Time aNow,
                      const ClusterView& aView,
                      const Versioned<MemberRecord>& aMember,
                      const MemberId& aSelf,
                      size_t aRank,
                      Findings& aFindings)
{
  const auto& record = aMember.record;
  auto& ward = this->wards[record.id];
  if (aRank < record.guardians.size()) {
    ward.condemned = true;
    ward.consents.insert(aSelf);
  }
  auto silentFor =
    aNow - ward.lastSeen - WithDrift(this->times.promise, this->times);
  if (silentFor < kRankDelay * static_cast<int>(aRank)) {
    return;
  }
  size_t agreed = 0;
  for (const auto& guardian : record.guardians) {
    const auto* other = aView.FindMember(guardian);
    if (this->Agrees(aNow, aView, ward, guardian)) {
      ++agreed;
    } else if (aNow >= ward.nextAskAt && other != nullptr) {
      PeerMessage question;
      question.kind = PeerMessage::Kind::RequestConsent;
      question.from = aSelf;
      question.to = guardian;
      question.member = record.id;
      question.version = aMember.version;
      aFindings.messages.push_back({ other->record.udpAddress, question });
    }
  }
  if (aNow >= ward.nextAskAt) {
    ward.nextAskAt = aNow + kAskInterval;
  }
  if (agreed >= ConsentsNeeded(record.guardians.size())) {
    if (aNow >= ward.nextReportAt) {
      ward.nextReportAt = aNow + kReportInterval;
      aFindings.lost.push_back({ record.id, aMember.version, std::nullopt });
    }
  } else if (silentFor > kAgreementTime) {
    this->WatchLease(aNow, aMember, aFindings);
  }
}

void
MemberMonitor::WatchLease(Time aNow,
                          const Versioned<MemberRecord>& aMember,
                          Findings& aFindings)
{
  const auto& record = aMember.record;
  auto& ward = this->wards[record.id];
  auto needed = WithDrift(this->times.longLease, this->times);
  if (ward.leaseSeen && aNow - ward.leaseSeenAt > needed) {
    if (aNow >= ward.nextReportAt) {
      ward.nextReportAt = aNow + kReportInterval;
      aFindings.lost.push_back(
        { record.id, aMember.version, ward.leaseVersion });
    }
  }
  if (aNow >= ward.nextReadAt) {
    ward.nextReadAt = aNow + kReadInterval;
    aFindings.leaseReads.push_back(LeaseKey(record.service, record.id));
  }
}

} // namespace fescuetiller
