#include "cluster/rebalancing.h"

#include <algorithm>
#include <cmath>

namespace fescuetiller {

namespace {

/** Work of a key without load, so that idle keys are spread as well. */
constexpr double kIdleKeyWork = 1e-7;
/** Maximum work of a slice, relative to the target work. */
constexpr double kMaxSliceWork = 1.4;
/** Minimum work of a slice, relative to the target work, for which the pause of
 * a move is justified. */
constexpr double kMinSliceWork = 0.15;
/** Share by which a long wait for the grant lowers the rank of a target. */
constexpr double kWaitWeight = 0.7;
/** Wait for the grant from which kWaitWeight applies in full. */
constexpr double kFullWaitSeconds = 1.0;

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

/** Finds the last key of a prefix of the range with about the given work. */
Key
FindSplitKey(const KeyRange& aRange,
             const std::vector<KeyWeight>& aKeys,
             double aTargetWork)
{
  double work = 0;
  Key from = aRange.first;
  auto at = std::lower_bound(
    aKeys.begin(), aKeys.end(), aRange.first, [](const auto& aKey, Key aFirst) {
      return aKey.key < aFirst;
    });
  for (; at != aKeys.end() && at->key <= aRange.last; ++at) {
    double idle = kIdleKeyWork * (at->key - from);
    if (work + idle >= aTargetWork) {
      break;
    }
    work += idle + at->weight + kIdleKeyWork;
    from = at->key + 1;
    if (work >= aTargetWork) {
      return at->key;
    }
  }
  auto idleKeys =
    static_cast<Key>(std::max(0.0, (aTargetWork - work) / kIdleKeyWork));
  // The prefix has at least one key, so that it is not empty.
  Key cut = std::max<Key>(from + idleKeys, aRange.first + 1) - 1;
  return std::min(cut, aRange.last);
}

/** Part of a range at one of its ends, or the whole range, and its work. */
struct Slice
{
  KeyRange range;
  double work = 0;
};

/** Returns the slices of a range whose work is nearest to the target work: from
 * either end, with and without the key at which the target is reached. */
std::vector<Slice>
SlicesNear(const KeyRange& aRange,
           const std::vector<KeyWeight>& aKeys,
           double aTargetWork)
{
  double total = WorkOf(aRange, aKeys);
  std::vector<Slice> slices{ { aRange, total } };
  double before = 0;
  for (const auto& key : aKeys) {
    if (!aRange.Contains(key.key)) {
      continue;
    }
    double after = before + key.weight;
    bool reachedFromFront = before < aTargetWork && after >= aTargetWork;
    bool reachedFromBack =
      total - before > aTargetWork && total - after <= aTargetWork;
    if (reachedFromFront || reachedFromBack) {
      if (key.key > aRange.first) {
        slices.push_back({ { aRange.first, key.key - 1 }, before });
        slices.push_back({ { key.key, aRange.last }, total - before });
      }
      if (key.key < aRange.last) {
        slices.push_back({ { aRange.first, key.key }, after });
        slices.push_back({ { key.key + 1, aRange.last }, total - after });
      }
    }
    before = after;
  }
  return slices;
}

/** Chooses the slice of a member's ranges whose work is nearest to the target
 * work and not far above it, so that a key that is too hot for the receiving
 * member is not moved. */
std::optional<KeyRange>
ChooseSlice(const std::vector<KeyRange>& aOwn,
            const std::vector<KeyWeight>& aKeys,
            double aTargetWork)
{
  std::optional<KeyRange> best;
  double bestScore = aTargetWork * kMinSliceWork;
  for (const auto& range : aOwn) {
    for (const auto& slice : SlicesNear(range, aKeys, aTargetWork)) {
      double score = slice.work <= aTargetWork
                       ? slice.work
                       : aTargetWork - (slice.work - aTargetWork);
      if (slice.work <= aTargetWork * kMaxSliceWork && score > bestScore) {
        best = slice.range;
        bestScore = score;
      }
    }
  }
  return best;
}

} // namespace

bool
operator==(const PlannedMove& aLeft, const PlannedMove& aRight)
{
  return aLeft.range == aRight.range && aLeft.target == aRight.target;
}

double
WorkOf(const std::vector<KeyRange>& aRanges,
       const std::vector<KeyWeight>& aKeys)
{
  double work = 0;
  for (const auto& range : aRanges) {
    work += WorkOf(range, aKeys);
  }
  return work;
}

namespace {

/** Returns the members with less load than the mean, preferred ones first. */
std::vector<MemberLoad>
ChooseTargets(const std::vector<MemberLoad>& aOthers,
              double aMean,
              bool aOnlyNew,
              const RandomFunction& aRandom)
{
  std::vector<std::pair<double, const MemberLoad*>> ranked;
  for (const auto& other : aOthers) {
    if (other.load >= aMean || (aOnlyNew && other.ownsKeys)) {
      continue;
    }
    double seconds = static_cast<double>(other.untilGrant.count()) / 1e9;
    double wait = std::min(1.0, seconds / kFullWaitSeconds);
    double preference = (aMean - other.load) * (1 - kWaitWeight * wait);
    ranked.emplace_back(-preference * (0.5 + aRandom()), &other);
  }
  std::sort(
    ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  std::vector<MemberLoad> targets;
  targets.reserve(ranked.size());
  for (const auto& [rank, other] : ranked) {
    targets.push_back(*other);
  }
  return targets;
}

} // namespace

std::vector<PlannedMove>
PlanMoves(const std::vector<KeyRange>& aOwn,
          const std::vector<KeyWeight>& aKeys,
          double aUnusable,
          const std::vector<MemberLoad>& aOthers,
          const RebalancingPolicy& aPolicy,
          const RandomFunction& aRandom)
{
  std::vector<PlannedMove> moves;
  double work = WorkOf(aOwn, aKeys);
  double load = work + aUnusable;
  double mean = load;
  size_t count = 1;
  bool anyNew = false;
  for (const auto& other : aOthers) {
    // Without keys, all of its load is capacity that it does not offer, and
    // nobody can take that over.
    if (!other.ownsKeys && other.load >= load) {
      continue;
    }
    mean += other.load;
    ++count;
    anyNew = anyNew || !other.ownsKeys;
  }
  mean /= static_cast<double>(count);
  double excess = load - mean;
  bool overloaded = load > aPolicy.busyLoad && excess > aPolicy.minExcess;
  if (!overloaded && !(anyNew && excess > aPolicy.minExcessForNew)) {
    return moves;
  }
  if (aUnusable > 0) {
    excess = std::min(excess, work - (1 - aUnusable) * aPolicy.keptShare);
  }
  auto own = aOwn;
  for (const auto& target :
       ChooseTargets(aOthers, mean, !overloaded, aRandom)) {
    if (excess <= aPolicy.minExcessForNew || own.empty() ||
        moves.size() >= aPolicy.maxTargets ||
        aOwn.size() + moves.size() >= aPolicy.maxRanges) {
      break;
    }
    double room = mean - target.load;
    double targetWork =
      std::min(excess, target.ownsKeys ? room * aPolicy.targetFill : room);
    auto slice = ChooseSlice(own, aKeys, targetWork);
    if (!slice) {
      continue;
    }
    moves.push_back({ *slice, target.id });
    excess -= WorkOf({ *slice }, aKeys);
    own = Subtract(own, *slice);
  }
  return moves;
}

std::vector<PlannedMove>
DistributeRanges(const std::vector<KeyRange>& aRanges,
                 const std::vector<KeyWeight>& aKeys,
                 std::vector<MemberLoad> aMembers,
                 size_t aMaxParts)
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
  size_t receivers = std::min(aMembers.size(), aMaxParts);
  double share = total / static_cast<double>(receivers);
  size_t at = 0;
  double room = share;
  for (size_t index = 0; index < aRanges.size(); ++index) {
    KeyRange rest = aRanges[index];
    double work = WorkOf(rest, aKeys);
    size_t left = aRanges.size() - index - 1;
    while (work > room * 1.1 && at + 1 < receivers &&
           moves.size() + left + 1 < aMaxParts) {
      Key cut = FindSplitKey(rest, aKeys, room);
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
