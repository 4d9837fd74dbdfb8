#include "cluster/memberprobe.h"

namespace fescuetiller {

namespace {

/** Time between probes: each member costs the others one datagram a second. */
constexpr Duration kProbeInterval = std::chrono::seconds(1);
/** Time without a reply after which a member counts as silent; its guardians,
 * if any is alive, have taken it over by then. */
constexpr Duration kProbeSilence = std::chrono::seconds(5);

} // namespace

std::vector<MemberId>
MemberProbe::Tick(Time aNow, const ClusterView& aView, const MemberId& aSelf)
{
  if (aNow < this->nextProbeAt) {
    return {};
  }
  this->nextProbeAt = aNow + kProbeInterval;
  auto next = this->NextMember(aView, aSelf);
  if (!next.empty()) {
    this->lastProbed = next;
    this->unansweredSince.try_emplace(next, aNow);
  }
  std::vector<MemberId> toProbe;
  for (auto entry = this->unansweredSince.begin();
       entry != this->unansweredSince.end();) {
    if (aView.FindMember(entry->first) == nullptr || entry->first == aSelf) {
      entry = this->unansweredSince.erase(entry);
    } else {
      toProbe.push_back(entry->first);
      ++entry;
    }
  }
  return toProbe;
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

} // namespace fescuetiller
