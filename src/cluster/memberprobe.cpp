#include "cluster/memberprobe.h"

#include <algorithm>

namespace fescuetiller {

namespace {

/** Time between probes: each member costs the others one datagram a second. */
constexpr Duration kProbeInterval = std::chrono::seconds(1);
/** Time without a reply after which a member counts as silent; its guardians,
 * if any is alive, have taken it over by then. */
constexpr Duration kProbeSilence = std::chrono::seconds(5);
/** Time without a reply after which a member is given no keys; several replies
 * may be lost. */
constexpr Duration kProbeDoubt = std::chrono::milliseconds(2500);
/** Most new members that are probed at once, so that a large cluster that
 * starts spreads these probes. */
constexpr size_t kMaxNewProbes = 8;
/** Most regular probes that are left out after those of new members. */
constexpr size_t kMaxProbedAhead = 3;

} // namespace

std::vector<MemberId>
MemberProbe::Tick(Time aNow, const ClusterView& aView, const MemberId& aSelf)
{
  auto toProbe = this->ProbeNewMembers(aNow, aView, aSelf);
  if (aNow < this->nextProbeAt) {
    return toProbe;
  }
  this->nextProbeAt = aNow + kProbeInterval;
  if (toProbe.empty() && this->probedAhead > 0) {
    --this->probedAhead;
  } else if (auto next = this->NextMember(aView, aSelf);
             toProbe.empty() && !next.empty()) {
    this->lastProbed = next;
    this->unansweredSince.try_emplace(next, aNow);
  }
  toProbe.clear(); // They are among those without a reply.
  for (auto entry = this->unansweredSince.begin();
       entry != this->unansweredSince.end();) {
    if (aView.FindMember(entry->first) == nullptr || entry->first == aSelf) {
      entry = this->unansweredSince.erase(entry);
    } else {
      toProbe.push_back(entry->first);
      ++entry;
    }
  }
  for (auto entry = this->heard.begin(); entry != this->heard.end();) {
    entry = aView.FindMember(*entry) == nullptr ? this->heard.erase(entry)
                                                : std::next(entry);
  }
  return toProbe;
}

/** Returns members that were neither heard nor probed yet. */
std::vector<MemberId>
MemberProbe::ProbeNewMembers(Time aNow,
                             const ClusterView& aView,
                             const MemberId& aSelf)
{
  std::vector<MemberId> added;
  if (this->probedChanges == aView.ChangeCount()) {
    return added;
  }
  for (const auto& [id, member] : aView.AllMembers()) {
    if (id == aSelf || this->heard.count(id) > 0 ||
        this->unansweredSince.count(id) > 0) {
      continue;
    }
    if (added.size() == kMaxNewProbes) {
      return added;
    }
    this->unansweredSince[id] = aNow;
    this->probedAhead = std::min(this->probedAhead + 1, kMaxProbedAhead);
    added.push_back(id);
  }
  this->probedChanges = aView.ChangeCount();
  return added;
}

/** Returns the member after the one probed last, in the order of their ids. */
MemberId
MemberProbe::NextMember(const ClusterView& aView, const MemberId& aSelf)
{
  const auto& members = aView.AllMembers();
  // Members start after their own ids, so that they probe different others.
  auto at =
    members.upper_bound(this->lastProbed.empty() ? aSelf : this->lastProbed);
  for (size_t step = 0; step < members.size(); ++step, ++at) {
    if (at == members.end()) {
      at = members.begin();
    }
    if (at->first != aSelf && this->unansweredSince.count(at->first) == 0) {
      return at->first;
    }
  }
  return "";
}

void
MemberProbe::OnReply(const MemberId& aMember)
{
  this->unansweredSince.erase(aMember);
  this->heard.insert(aMember);
}

std::set<MemberId>
MemberProbe::SilentMembers(Time aNow) const
{
  std::set<MemberId> silent;
  for (const auto& [id, since] : this->unansweredSince) {
    if (aNow - since > kProbeSilence) {
      silent.insert(id);
    }
  }
  return silent;
}

std::set<MemberId>
MemberProbe::UnheardMembers(Time aNow) const
{
  auto unheard = this->SilentMembers(aNow);
  for (const auto& id : this->heard) {
    unheard.erase(id);
  }
  return unheard;
}

bool
MemberProbe::IsAlive(Time aNow, const MemberId& aMember) const
{
  auto unanswered = this->unansweredSince.find(aMember);
  return this->heard.count(aMember) > 0 &&
         (unanswered == this->unansweredSince.end() ||
          aNow - unanswered->second <= kProbeDoubt);
}

} // namespace fescuetiller
