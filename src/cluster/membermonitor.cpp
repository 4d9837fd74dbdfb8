#include "cluster/membermonitor.h"

#include <algorithm>

namespace fescuetiller {

namespace {

/** Time between repeated requests for consent to the other guardians: a few
 * round trips. */
constexpr Duration kRequestInterval = std::chrono::milliseconds(200);
/** Delay per position in the record's list of guardians, so that usually only
 * the first guardian that is alive acts. */
constexpr Duration kRankDelay = std::chrono::milliseconds(150);
/** Number of ranks over which the members are spread that act when all
 * guardians are missing. */
constexpr size_t kNonGuardianRanks = 16;
/** Time between reports of the same lost member, in which its takeover can be
 * written. */
constexpr Duration kReportInterval = std::chrono::milliseconds(700);
/** Time within which guardians normally agree; after it the long lease is read
 * as well. */
constexpr Duration kConsentTimeout = std::chrono::seconds(2);
/** Time between reads of a long lease: few store calls, but its expiry is
 * noticed soon. */
constexpr Duration kLeaseReadInterval = std::chrono::seconds(4);

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
MemberMonitor::IsSilent(Time aNow, const MonitoredMember& aState) const
{
  return aNow - aState.lastRenewal >
         WithDrift(this->times.promise, this->times);
}

/** Records whether a guardian's own member record is missing. Returns whether
 * the guardian agreed to a takeover or its last promise must have expired.
 *
 * A guardian's record is older than the record that names it. So it is missing
 * only if it is absent although all changes up to that record are known. */
bool
MemberMonitor::UpdateConsent(Time aNow,
                             const ClusterView& aView,
                             MonitoredMember& aState,
                             const MemberId& aGuardian) const
{
  if (aState.consents.count(aGuardian) > 0) {
    return true;
  }
  if (aView.FindMember(aGuardian) != nullptr ||
      aView.CompleteUpTo() < aState.version) {
    aState.missingSince.erase(aGuardian);
    return false;
  }
  auto since = aState.missingSince.try_emplace(aGuardian, aNow).first->second;
  return aNow - since > WithDrift(this->times.promise, this->times);
}

bool
MemberMonitor::OnRenewal(Time aNow, const MemberId& aMember)
{
  auto& state = this->members[aMember];
  if (state.suspected) {
    return false;
  }
  state.lastRenewal = aNow;
  return true;
}

bool
MemberMonitor::OnConsentRequest(Time aNow,
                                const MemberId& aMember,
                                RowVersion aVersion)
{
  auto found = this->members.find(aMember);
  if (found == this->members.end() || found->second.version != aVersion) {
    return false;
  }
  auto& state = found->second;
  state.suspected = state.suspected || this->IsSilent(aNow, state);
  return state.suspected;
}

void
MemberMonitor::OnConsent(const MemberId& aMember,
                         const MemberId& aGuardian,
                         RowVersion aVersion)
{
  auto found = this->members.find(aMember);
  if (found != this->members.end() && found->second.version == aVersion) {
    found->second.consents.insert(aGuardian);
  }
}

void
MemberMonitor::OnLongLeaseRead(Time aNow,
                               const MemberId& aMember,
                               RowVersion aVersion)
{
  auto& state = this->members[aMember];
  if (!state.leaseKnown || state.leaseVersion != aVersion) {
    state.leaseKnown = true;
    state.leaseVersion = aVersion;
    state.leaseUnchangedSince = aNow;
  }
}

void
MemberMonitor::UpdateResponsibilities(const ClusterView& aView,
                                      const MemberId& aSelf)
{
  const auto& checked = this->checkedView;
  if (checked.changes == aView.ChangeCount() &&
      checked.version == aView.Version() && checked.self == aSelf) {
    return;
  }
  this->checkedView = { aView.ChangeCount(), aView.Version(), aSelf };
  this->responsibleFor.clear();
  for (const auto& [id, member] : aView.AllMembers()) {
    const auto& guardians = member.record.guardians;
    bool unguarded =
      aView.CompleteUpTo() >= member.version &&
      std::none_of(
        guardians.begin(), guardians.end(), [&](const auto& aGuardian) {
          return aView.FindMember(aGuardian) != nullptr;
        });
    bool named =
      std::find(guardians.begin(), guardians.end(), aSelf) != guardians.end();
    if (id != aSelf && (named || unguarded)) {
      this->responsibleFor.insert(id);
    }
  }
}

MemberMonitor::Findings
MemberMonitor::Tick(Time aNow,
                    const ClusterView& aView,
                    const MemberId& aSelf,
                    const std::set<MemberId>& aSilent)
{
  this->UpdateResponsibilities(aView, aSelf);
  Findings findings;
  auto toCheck = this->responsibleFor;
  toCheck.insert(aSilent.begin(), aSilent.end());
  for (const auto& id : toCheck) {
    const auto* member = aView.FindMember(id);
    if (member != nullptr && id != aSelf) {
      this->CheckMember(aNow, aView, *member, aSelf, findings);
    }
  }
  return findings;
}

void
MemberMonitor::CheckMember(Time aNow,
                           const ClusterView& aView,
                           const Versioned<MemberRecord>& aMember,
                           const MemberId& aSelf,
                           Findings& aFindings)
{
  const auto& record = aMember.record;
  const auto& guardians = record.guardians;
  auto& state = this->members[record.id];
  if (state.version != aMember.version) {
    state = MonitoredMember();
    state.version = aMember.version;
    state.lastRenewal = aNow;
  }
  for (const auto& guardian : guardians) {
    // Records since when guardians are missing.
    this->UpdateConsent(aNow, aView, state, guardian);
  }
  if (!this->IsSilent(aNow, state)) {
    return;
  }
  if (guardians.empty() || this->responsibleFor.count(record.id) == 0) {
    this->CheckLongLease(aNow, aMember, aFindings);
    return;
  }
  auto position = std::find(guardians.begin(), guardians.end(), aSelf);
  auto rank = position != guardians.end()
                ? static_cast<size_t>(position - guardians.begin())
                : guardians.size() + StableHash(aSelf, StableHash(record.id)) %
                                       kNonGuardianRanks;
  this->CheckConsents(aNow, aView, aMember, aSelf, rank, aFindings);
}

void
MemberMonitor::CheckConsents(Time aNow,
                             const ClusterView& aView,
                             const Versioned<MemberRecord>& aMember,
                             const MemberId& aSelf,
                             size_t aRank,
                             Findings& aFindings)
{
  const auto& record = aMember.record;
  auto& state = this->members[record.id];
  if (aRank < record.guardians.size()) {
    state.suspected = true;
    state.consents.insert(aSelf);
  }
  auto silentFor =
    aNow - state.lastRenewal - WithDrift(this->times.promise, this->times);
  if (silentFor < kRankDelay * static_cast<int>(aRank)) {
    return;
  }
  size_t agreed = 0;
  for (const auto& guardian : record.guardians) {
    const auto* other = aView.FindMember(guardian);
    if (this->UpdateConsent(aNow, aView, state, guardian)) {
      ++agreed;
    } else if (aNow >= state.nextRequestAt && other != nullptr) {
      PeerMessage request;
      request.kind = PeerMessage::Kind::RequestConsent;
      request.from = aSelf;
      request.to = guardian;
      request.member = record.id;
      request.version = aMember.version;
      aFindings.messages.push_back({ other->record.udpAddress, request });
    }
  }
  if (aNow >= state.nextRequestAt) {
    state.nextRequestAt = aNow + kRequestInterval;
  }
  if (agreed >= ConsentsNeeded(record.guardians.size())) {
    if (aNow >= state.nextReportAt) {
      state.nextReportAt = aNow + kReportInterval;
      aFindings.lost.push_back({ record.id, aMember.version, std::nullopt });
    }
  } else if (silentFor > kConsentTimeout) {
    this->CheckLongLease(aNow, aMember, aFindings);
  }
}

void
MemberMonitor::CheckLongLease(Time aNow,
                              const Versioned<MemberRecord>& aMember,
                              Findings& aFindings)
{
  const auto& record = aMember.record;
  auto& state = this->members[record.id];
  auto needed = WithDrift(this->times.longLease, this->times);
  if (state.leaseKnown && aNow - state.leaseUnchangedSince > needed) {
    if (aNow >= state.nextReportAt) {
      state.nextReportAt = aNow + kReportInterval;
      aFindings.lost.push_back(
        { record.id, aMember.version, state.leaseVersion });
    }
  }
  if (aNow >= state.nextReadAt) {
    state.nextReadAt = aNow + kLeaseReadInterval;
    aFindings.leaseReads.push_back(LeaseKey(record.service, record.id));
  }
}

} // namespace fescuetiller
