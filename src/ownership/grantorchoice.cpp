#include "ownership/grantorchoice.h"

#include <tuple>

namespace fescuetiller {

namespace {

/** Grantors followed from a candidate before it counts as independent. */
constexpr int kChainSteps = 5;

/** Steps along the grantors from a candidate to a member; few are bad. */
int
StepsTo(const Member& aCandidate,
        Incarnation aMember,
        const ClusterTable& aTable)
{
  const Member* current = &aCandidate;
  for (int step = 1; step < kChainSteps; ++step) {
    Incarnation next = aTable.EffectiveGrantor(*current);
    if (next == aMember) {
      return step;
    }
    current = aTable.FindMember(next);
    if (current == nullptr) {
      return kChainSteps;
    }
  }
  return kChainSteps;
}

using Suitability = std::tuple<bool, int>;

Suitability
SuitabilityOf(const Member& aCandidate,
              const Member& aSelf,
              const ClusterTable& aTable)
{
  return { aCandidate.zone != aSelf.zone,
           StepsTo(aCandidate, aSelf.incarnation, aTable) };
}

bool
IsCandidate(const Member& aMember, const Member& aSelf)
{
  return aMember.state == MemberState::Active &&
         aMember.incarnation != aSelf.incarnation &&
         aMember.controlAddress != aSelf.controlAddress;
}

} // namespace

Incarnation
ChooseGrantor(const Member& aSelf,
              const ClusterTable& aTable,
              const std::set<Incarnation>& aSilent)
{
  Incarnation best = kNoIncarnation;
  std::tuple<bool, Suitability, uint64_t> bestScore;
  for (const auto& [incarnation, member] : aTable.Members()) {
    if (!IsCandidate(member, aSelf)) {
      continue;
    }
    std::tuple<bool, Suitability, uint64_t> score(
      aSilent.count(incarnation) == 0,
      SuitabilityOf(member, aSelf, aTable),
      HashKey(ToHex(incarnation), aSelf.incarnation));
    if (best == kNoIncarnation || score > bestScore) {
      best = incarnation;
      bestScore = score;
    }
  }
  return best;
}

bool
HasPoorGrantor(const Member& aSelf, const ClusterTable& aTable)
{
  const Member* grantor = aTable.FindMember(aSelf.grantor);
  if (grantor == nullptr) {
    return false;
  }
  Suitability current = SuitabilityOf(*grantor, aSelf, aTable);
  bool otherZone = std::get<0>(current);
  bool mutual = std::get<1>(current) == 1;
  if (otherZone && !mutual) {
    return false;
  }
  const Member* best = aTable.FindMember(ChooseGrantor(aSelf, aTable, {}));
  return best != nullptr && SuitabilityOf(*best, aSelf, aTable) > current;
}

} // namespace fescuetiller
