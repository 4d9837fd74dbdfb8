#include "cluster/memberprobe.h"

namespace fescuetiller {

namespace {

/** Between questions: what a member costs the others, one datagram a second. */
constexpr Duration kProbeInterval = std::chrono::seconds(1);
/** Time without an answer from which on a member counts as silent: its
 * guardians, if any live, have taken it over by then. */
constexpr Duration kProbeSilence = std::chrono::seconds(5);

} // namespace

std::vector<MemberId>
MemberProbe::Tick(Time aNow, const ClusterView& aView, const MemberId& aSelf)
{
  if (aNow < this->nextAt) {
    return {};
  }
  this->nextAt = aNow + kProbeInterval;
  auto next = this->Next(aView, aSelf);
  if (!next.empty()) {
    this->last = next;
    this->askedSince.try_emplace(next, aNow);
  }
  std::vector<MemberId> asked;
  for (auto entry = this->askedSince.begin();
       entry != this->askedSince.end();) {
    if (aView.FindMember(entry->first) == nullptr || entry->first == aSelf) {
      entry = this->askedSince.erase(entry);
    } else {
      asked.push_back(entry->first);
      ++entry;
    }
  }
  return asked;
}

/** The member after the last one, in the order of their ids. */
MemberId
MemberProbe::Next(const ClusterView& aView, const MemberId& aSelf)
{
  const auto& members = aView.AllMembers();
  // Members begin at different places, so that they ask different others.
  auto at = members.upper_bound(this->last.empty() ? aSelf : this->last);
  for (size_t step = 0; step < members.size(); ++step, ++at) {
    if (at == members.end()) {
      at = members.begin();
    }
    if (at->first != aSelf && this->askedSince.count(at->first) == 0) {
      return at->first;
    }
  }
  return "";
}

void
MemberProbe::OnReply(const MemberId& aMember)
{
  this->askedSince.erase(aMember);
}

std::set<MemberId>
MemberProbe::Silent(Time aNow) const
{
  std::set<MemberId> silent;
  for (const auto& [id, since] : this->askedSince) {
    if (aNow - since > kProbeSilence) {
      silent.insert(id);
    }
  }
  return silent;
}

} // namespace fescuetiller
