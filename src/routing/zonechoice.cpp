#include "routing/zonechoice.h"

#include <algorithm>
#include <utility>

namespace fescuetiller {

namespace {

/** Part of the target up to which the own zone is filled without regard to
 * other zones. Reports are up to 3 s old, so there must be time left. */
constexpr double kFilledPart = 0.7;
/** Load of the own zone's servers at which none of their capacity is wasted and
 * their queues do not grow. */
constexpr double kFullLoad = 0.95;
/** Where no zone meets the target, the part of it by which another zone must be
 * faster, besides the price. The least of many outdated reports is too low. */
constexpr double kMissedMargin = 0.25;
/** Change of the share per second and unit of excess load. Loads are means over
 * about a second and arrive up to a second later; several times that keeps the
 * share from swinging. */
constexpr double kShareRate = 0.3;
/** Attempts in the own zone after which another zone that has room is
 * preferred: the reports of the own zone are wrong, and attempts are limited.
 */
constexpr size_t kNearAttempts = 2;
/** Longest time for which one update counts. */
constexpr double kMaxUpdateSeconds = 1;
/** Weight of the newest size in the moving mean. */
constexpr double kSizeWeight = 0.1;
constexpr double kKibibyte = 1024;

Duration
Part(Duration aTime, double aPart)
{
  return std::chrono::duration_cast<Duration>(aTime * aPart);
}

/** Whether a member of another zone can take requests without displacing those
 * of its own zone. */
bool
HasRoom(const PeerTable::Estimate& aEstimate, Duration aTarget)
{
  return aEstimate.time <= aTarget && aEstimate.load.value_or(0) < 1;
}

} // namespace

ZoneChoice::ZoneChoice(Random aRandom)
  : random(std::move(aRandom))
{
}

void
ZoneChoice::OnSize(const std::string& aClass, uint64_t aBytes)
{
  auto& mean = this->classes[aClass].meanBytes;
  auto bytes = static_cast<double>(aBytes);
  mean = mean == 0 ? bytes : mean + (bytes - mean) * kSizeWeight;
}

void
ZoneChoice::RemoveFailing(std::vector<Option>& aOptions)
{
  aOptions.erase(std::remove_if(aOptions.begin(),
                                aOptions.end(),
                                [](const Option& aOption) {
                                  return aOption.estimate.failing;
                                }),
                 aOptions.end());
}

const ZoneChoice::Option*
ZoneChoice::DrawBetter(const std::vector<Option>& aOptions)
{
  if (aOptions.empty()) {
    return nullptr;
  }
  auto draw = [&](size_t aCount) {
    auto index =
      static_cast<size_t>(this->random() * static_cast<double>(aCount));
    return std::min(index, aCount - 1);
  };
  auto first = draw(aOptions.size());
  if (aOptions.size() == 1) {
    return &aOptions[first];
  }
  auto second = draw(aOptions.size() - 1);
  second += second >= first ? 1 : 0;
  return aOptions[second].estimate.time < aOptions[first].estimate.time
           ? &aOptions[second]
           : &aOptions[first];
}

void
ZoneChoice::UpdateShare(Time aNow,
                        ClassState& aState,
                        const std::vector<Option>& aOwn,
                        double aOverTime,
                        bool aPays)
{
  double load = 0;
  size_t known = 0;
  for (const auto& option : aOwn) {
    if (option.estimate.load) {
      load += *option.estimate.load;
      ++known;
    }
  }
  double excess = known > 0 ? load / static_cast<double>(known) - kFullLoad : 0;
  if (aOverTime > 0) {
    excess = std::max(excess, aOverTime);
  } else if (!aPays) {
    // As long as nothing would be sent out, the share has no effect on the load
    // and would grow to all requests.
    excess = std::min(excess, 0.0);
  }
  std::chrono::duration<double> passed = aNow - aState.updatedAt;
  aState.updatedAt = aNow;
  auto change =
    excess * kShareRate * std::min(passed.count(), kMaxUpdateSeconds);
  aState.outShare = std::clamp(aState.outShare + change, 0.0, 1.0);
}

std::string
ZoneChoice::Choose(Time aNow,
                   const std::vector<PeerCandidate>& aCandidates,
                   const ZoneCriteria& aCriteria,
                   const PeerTable& aPeers)
{
  std::vector<Option> own;
  std::vector<Option> others;
  bool anyWorks = false;
  for (const auto& candidate : aCandidates) {
    if (aCriteria.tried.count(candidate.member) == 0) {
      auto& options = candidate.zone == aCriteria.ownZone ? own : others;
      options.push_back(
        { &candidate,
          aPeers.EstimateOf(aNow, candidate.member, aCriteria.requestClass) });
      anyWorks = anyWorks || !options.back().estimate.failing;
    }
  }
  if (anyWorks) {
    RemoveFailing(own);
    RemoveFailing(others);
  }
  auto byTime = [](const Option& aLeft, const Option& aRight) {
    return aLeft.estimate.time < aRight.estimate.time;
  };
  auto bestOwn = std::min_element(own.begin(), own.end(), byTime);
  auto bestOther = std::min_element(others.begin(), others.end(), byTime);
  if (bestOwn == own.end() && bestOther == others.end()) {
    return "";
  }
  // Among those that all miss the target, the best one would get the requests
  // of all daemons.
  const auto* near = this->DrawBetter(own);
  if (near != nullptr && bestOwn->estimate.time <= aCriteria.target &&
      near->estimate.time > aCriteria.target) {
    near = &*bestOwn;
  }
  const auto* far = this->DrawBetter(others);
  if (far != nullptr && !HasRoom(far->estimate, aCriteria.target) &&
      HasRoom(bestOther->estimate, aCriteria.target)) {
    far = &*bestOther;
  }
  if (far == nullptr) {
    return near->candidate->member;
  }
  if (near == nullptr) {
    return far->candidate->member;
  }
  auto& state = this->classes[aCriteria.requestClass];
  auto price = Part(aCriteria.transferCost, state.meanBytes / kKibibyte);
  auto filled = Part(aCriteria.target, kFilledPart);
  auto ownTime = bestOwn->estimate.time;
  bool pays = far->estimate.time + price < near->estimate.time;
  bool farHasRoom = HasRoom(far->estimate, aCriteria.target);
  auto overTime = std::chrono::duration<double>(ownTime - filled) /
                  std::chrono::duration<double>(
                    std::max<Duration>(aCriteria.target, Duration(1)));
  if (aCriteria.tried.empty()) {
    this->UpdateShare(aNow, state, own, std::min(overTime, 1.0), pays);
  }
  bool useFar = false;
  if (near->estimate.time > aCriteria.target) {
    // The own zone misses the target. If the others do as well, they would have
    // to be faster by more than reports are wrong.
    auto margin = Part(aCriteria.target, kMissedMargin);
    useFar =
      farHasRoom || far->estimate.time + price + margin < near->estimate.time;
  } else if (aCriteria.tried.size() >= kNearAttempts) {
    useFar = farHasRoom;
  } else if (pays || ownTime > filled) {
    bool isSurplus =
      !aCriteria.tried.empty() || this->random() < state.outShare;
    useFar = farHasRoom && isSurplus;
  }
  return (useFar ? far : near)->candidate->member;
}

} // namespace fescuetiller
