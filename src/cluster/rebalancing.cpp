#include "cluster/rebalancing.h"

#include <algorithm>
#include <cmath>

namespace fescuetiller {

namespace {

/** Work that an idle key counts for, so that idle keys are spread as well. */
constexpr double kIdleKeyWork = 1e-4;
/** Largest share of a member's work that moves at once: the rest goes on being
 * served while these keys wait. */
constexpr double kMostShare = 0.5;

double
WorkOf(const KeyRange& aRange, const std::vector<KeyWeight>& aKeys)
{
  double work = kIdleKeyWork * aRange.Size();
  auto at = std::lower_bound(
    aKeys.begin(), aKeys.end(), aRange.first, [](const auto& aKey, Key aFirst) {
      return aKey.key < aFirst;
    });
  for (; at != aKeys.end() && at->key <= aRange.last; ++at) {
    work += at->weight;
  }
  return work;
}

/** First key after which the range's front part holds the work. */
Key
CutAfter(const KeyRange& aRange,
         const std::vector<KeyWeight>& aKeys,
         double aWork)
{
  double work = 0;
  Key from = aRange.first;
  auto at = std::lower_bound(
    aKeys.begin(), aKeys.end(), aRange.first, [](const auto& aKey, Key aFirst) {
      return aKey.key < aFirst;
    });
  for (; at != aKeys.end() && at->key <= aRange.last; ++at) {
    double idle = kIdleKeyWork * (at->key - from);
    if (work + idle >= aWork) {
      break;
    }
    work += idle + at->weight + kIdleKeyWork;
    from = at->key + 1;
    if (work >= aWork) {
      return at->key;
    }
  }
  auto idleKeys = static_cast<Key>(std::max(0.0, (aWork - work) / kIdleKeyWork));
  Key cut = from + idleKeys;
  return std::min(cut > 0 ? cut - 1 : 0, aRange.last);
}

/** The part of a member's ranges, from one end, that holds about the work. */
KeyRange
Slice(const std::vector<KeyRange>& aOwn,
      const std::vector<KeyWeight>& aKeys,
      double aWork)
{
  // The range that holds the least work of those that hold enough, so that hot
  // keys are cut apart and cold ranges stay whole.
  const KeyRange* best = nullptr;
  double bestWork = 0;
  for (const auto& range : aOwn) {
    double work = WorkOf(range, aKeys);
    bool better = best == nullptr || (work >= aWork && bestWork < aWork) ||
                  (work >= aWork && work < bestWork) ||
                  (work < aWork && bestWork < aWork && work > bestWork);
    if (better) {
      best = &range;
      bestWork = work;
    }
  }
  if (bestWork <= aWork) {
    return *best;
  }
  return { best->first, CutAfter(*best, aKeys, aWork) };
}

} // namespace

bool
operator==(const PlannedMove& aLeft, const PlannedMove& aRight)
{
  return aLeft.range == aRight.range && aLeft.target == aRight.target;
}

std::optional<PlannedMove>
PlanMove(const std::vector<KeyRange>& aOwn,
         const std::vector<KeyWeight>& aKeys,
         double aOwnLoad,
         const std::vector<MemberLoad>& aOthers,
         const RebalancingPolicy& aPolicy,
         const RandomFunction& aRandom)
{
  if (aOwn.empty() || aOwn.size() >= aPolicy.mostRanges) {
    return std::nullopt;
  }
  std::vector<const MemberLoad*> candidates;
  double gaps = 0;
  for (const auto& other : aOthers) {
    double gap = aOwnLoad - other.load;
    bool relieves = aOwnLoad > aPolicy.busy && gap > aPolicy.difference;
    bool fillsNew = !other.ownsKeys && aOwnLoad > aPolicy.shareWithNew &&
                    gap > aPolicy.shareWithNew / 2;
    if (relieves || fillsNew) {
      candidates.push_back(&other);
      gaps += gap;
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  // Drawn by gap, so that members do not all pick the same one.
  double draw = aRandom() * gaps;
  const MemberLoad* target = candidates.back();
  for (const auto* candidate : candidates) {
    draw -= aOwnLoad - candidate->load;
    if (draw < 0) {
      target = candidate;
      break;
    }
  }
  double total = 0;
  for (const auto& range : aOwn) {
    total += WorkOf(range, aKeys);
  }
  double part = (aOwnLoad - target->load) / 2 / aOwnLoad;
  if (!target->ownsKeys) {
    // Each member gives a new one its share of an even division.
    part = std::min(part, 1.0 / static_cast<double>(aOthers.size() + 1));
  }
  auto slice = Slice(aOwn, aKeys, total * std::min(part, kMostShare));
  return PlannedMove{ slice, target->id };
}

std::vector<PlannedMove>
Distribute(const std::vector<KeyRange>& aRanges,
           const std::vector<KeyWeight>& aKeys,
           std::vector<MemberLoad> aMembers,
           size_t aMostParts)
{
  std::vector<PlannedMove> moves;
  if (aMembers.empty() || aRanges.empty()) {
    return moves;
  }
  std::sort(aMembers.begin(),
            aMembers.end(),
            [](const auto& aLeft, const auto& aRight) {
              return std::pair(aLeft.load, aLeft.id) <
                     std::pair(aRight.load, aRight.id);
            });
  double total = 0;
  for (const auto& range : aRanges) {
    total += WorkOf(range, aKeys);
  }
  size_t receivers = std::min(aMembers.size(), aMostParts);
  double share = total / static_cast<double>(receivers);
  size_t at = 0;
  double room = share;
  for (size_t index = 0; index < aRanges.size(); ++index) {
    KeyRange rest = aRanges[index];
    double work = WorkOf(rest, aKeys);
    size_t left = aRanges.size() - index - 1;
    while (work > room * 1.1 && at + 1 < receivers &&
           moves.size() + left + 1 < aMostParts) {
      Key cut = CutAfter(rest, aKeys, room);
      if (cut >= rest.last) {
        break;
      }
      moves.push_back({ { rest.first, cut }, aMembers[at].id });
      rest.first = cut + 1;
      work = WorkOf(rest, aKeys);
      room = share;
      ++at;
    }
    moves.push_back({ rest, aMembers[at].id });
    room -= work;
    if (room <= 0 && at + 1 < receivers) {
      ++at;
      room = share;
    }
  }
  return moves;
}

} // namespace fescuetiller
