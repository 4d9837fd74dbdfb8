#include "placement/balancedplacement.h"

#include <algorithm>
#include <map>
#include <queue>
#include <tuple>

namespace fescuetiller {

namespace {

constexpr uint32_t kDraws = 4;          ///< Receivers tried for one move.
constexpr size_t kMaxGives = 4;         ///< Moves of one owner in one decision.
constexpr double kMinCountRatio = 0.25; ///< Partitions kept, to the share.

constexpr double kFull = 0.9; ///< Load a slot that no move may exceed.
constexpr double kMaxFillingRatio =
  2; ///< Partition given to fill, to the mean.

using Owned = std::vector<const PartitionView*>;

/** Loads that this decision adds to receivers. */
using AddedLoads = std::map<size_t, double>;

uint64_t
Mix(uint64_t aValue)
{
  aValue += 0x9e3779b97f4a7c15U;
  aValue = (aValue ^ (aValue >> 30U)) * 0xbf58476d1ce4e5b9U;
  aValue = (aValue ^ (aValue >> 27U)) * 0x94d049bb133111ebU;
  return aValue ^ (aValue >> 31U);
}

/** Point in [0, 1), the same for the same input. */
double
PointOf(uint64_t aFirst, uint64_t aSecond)
{
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(Mix(aFirst ^ Mix(aSecond)) >> 11U) * kScale;
}

double
LoadOf(const AddedLoads& aAdded, size_t aIndex)
{
  auto found = aAdded.find(aIndex);
  return found == aAdded.end() ? 0 : found->second;
}

/** Gives away partitions of one owner, counting what is given. */
class Giver
{
public:
  Giver(Time aNow,
        const FleetSummary& aSummary,
        const PlacementSettings& aSettings,
        const ServerStanding& aSelf,
        const Owned& aOwned)
    : seed(Mix(aSelf.id ^ static_cast<uint64_t>(ToBootNanoseconds(aNow))))
    , summary(aSummary)
    , movesAtOnce(aSettings.movesASecond *
                  std::chrono::duration<double>(aSettings.planInterval).count())
    , limits(LimitsOf(aSettings.goal))
    , self(aSelf)
    , owned(aOwned)
    , mean(aSummary.meanLoad * aSelf.capacity)
    , levels(LevelsOf(this->limits, aSummary.meanLoad, aSelf.capacity))
  {
    for (const auto* partition : aOwned) {
      this->load += this->WeightOf(*partition);
    }
    std::sort(this->owned.begin(),
              this->owned.end(),
              [](const PartitionView* aLeft, const PartitionView* aRight) {
                return std::make_tuple(-aLeft->load, aLeft->id.index) <
                       std::make_tuple(-aRight->load, aRight->id.index);
              });
  }

  std::vector<Move> Decide()
  {
    if (this->load > this->levels.from) {
      this->Relieve();
    } else if (this->load > this->mean) {
      this->Fill();
    }
    return std::move(this->moves);
  }

private:
  double WeightOf(const PartitionView& aPartition) const
  {
    return aPartition.load + this->summary.idleLoad;
  }

  bool MayGive() const
  {
    double kept = static_cast<double>(this->owned.size() - this->moves.size());
    double share = this->summary.partitionsASlot * this->self.capacity;
    return this->moves.size() < kMaxGives && kept > kMinCountRatio * share;
  }

  /** Gives down to the relieved level, scaled to what receivers can take. */
  void Relieve()
  {
    double wanted =
      std::max(this->summary.reliefWanted, this->load - this->levels.to);
    double moves = wanted / this->summary.partitionLoad;
    if (PointOf(this->seed, this->self.id) >= this->movesAtOnce / moves) {
      return;
    }
    double part = std::min(1.0, this->summary.relief.Total() / wanted);
    double excess = (this->load - this->levels.to) * part;
    bool saturated = this->levels.from < this->limits.overload * this->mean;
    Duration dwell =
      saturated ? this->limits.saturatedDwell : this->limits.dwell;
    double cost =
      saturated ? this->limits.saturatedMoveCost : this->limits.moveCost;
    for (const auto* partition : this->owned) {
      double weight = this->WeightOf(*partition);
      bool settled = partition->ownedFor >= dwell;
      if (!this->MayGive() || excess <= 0) {
        return;
      }
      bool fits = weight <= excess ||
                  PointOf(this->seed, partition->id.index) < excess / weight;
      if (settled && fits &&
          this->Give(*partition, this->summary.relief, cost)) {
        excess -= weight;
      }
    }
  }

  /** Gives at most one partition towards servers that are far below. */
  void Fill()
  {
    double room = std::min(this->summary.filling.Total(),
                           this->movesAtOnce * this->summary.partitionLoad);
    if (room <= 0 || this->summary.fillingOffered <= 0) {
      return;
    }
    double own = (this->load - this->mean) / this->summary.fillingOffered;
    double chance = own * room / this->summary.partitionLoad;
    if (PointOf(this->seed, this->owned.size()) >= chance) {
      return;
    }
    for (const auto* partition : this->owned) {
      bool settled = partition->ownedFor >= this->limits.dwell;
      bool ordinary = this->WeightOf(*partition) <=
                      kMaxFillingRatio * this->summary.partitionLoad;
      if (settled && ordinary && this->MayGive() &&
          this->Give(
            *partition, this->summary.filling, this->limits.moveCost)) {
        return;
      }
    }
  }

  /** First of a few drawn receivers for which the move is worth its cost. The
   * least loaded of them would be drawn by many givers at once. */
  bool Give(const PartitionView& aPartition,
            const WeightedChoice& aChoice,
            double aCost)
  {
    if (aChoice.Total() <= 0) {
      return false;
    }
    double weight = this->WeightOf(aPartition);
    for (uint32_t draw = 0; draw < kDraws; ++draw) {
      size_t index =
        aChoice.At(PointOf(this->seed + draw, aPartition.id.index));
      const auto& receiver = this->summary.servers[index];
      double before = receiver.load + LoadOf(this->added, index);
      double gain =
        Gain(this->summary, this->self, this->load, receiver, before, weight);
      auto bound =
        LevelsOf(this->limits, this->summary.meanLoad, receiver.ramped);
      double eased = this->load > this->self.capacity
                       ? std::min(this->load - weight, kFull * receiver.ramped)
                       : 0;
      bool allowed = receiver.id != this->self.id &&
                     before + weight <= std::max(bound.from, eased);
      if (allowed && gain > aCost) {
        this->added[index] += weight;
        this->load -= weight;
        this->moves.push_back({ aPartition.id, this->self.id, receiver.id });
        return true;
      }
    }
    return false;
  }

  uint64_t seed;
  const FleetSummary& summary;
  double movesAtOnce; ///< Of the whole fleet in one interval.
  PlacementLimits limits;
  const ServerStanding& self;
  Owned owned; ///< By falling load.
  double mean;
  GivingLevels levels;
  double load = 0;
  AddedLoads added;
  std::vector<Move> moves;
};

/** Least loaded of the drawn servers of one zone, or of all in a small one. */
size_t
DrawSuccessor(const FleetSummary& aSummary,
              const WeightedChoice& aZone,
              const AddedLoads& aAdded,
              uint64_t aSeed)
{
  constexpr uint32_t kSuccessorDraws = 2;
  size_t best = aSummary.servers.size();
  double bestLoad = 0;
  for (uint32_t draw = 0; draw < kSuccessorDraws; ++draw) {
    size_t index = aZone.At(PointOf(aSeed, draw));
    const auto& server = aSummary.servers[index];
    double load = (server.load + LoadOf(aAdded, index)) / server.ramped;
    if (best == aSummary.servers.size() || load < bestLoad) {
      best = index;
      bestLoad = load;
    }
  }
  return best;
}

/** Zone whose room is least used by what was added so far. */
size_t
DrawZone(const FleetSummary& aSummary,
         const std::vector<double>& aAdded,
         uint64_t aSeed)
{
  size_t best = aAdded.size();
  std::tuple<double, uint64_t> bestUse;
  for (size_t zone = 0; zone < aAdded.size(); ++zone) {
    double room = aSummary.spread[zone].Total();
    if (room <= 0) {
      continue;
    }
    std::tuple<double, uint64_t> use(aAdded[zone] / room, Mix(aSeed + zone));
    if (best == aAdded.size() || use < bestUse) {
      best = zone;
      bestUse = use;
    }
  }
  return best;
}

/** Whether an empty deployment's membership still changes. */
bool
WaitsForOthers(const PlacementView& aView,
               const FleetSummary& aSummary,
               const PlacementSettings& aSettings)
{
  if (aSummary.ownedPartitions > 0 || aView.soleDecider) {
    return false;
  }
  auto self =
    std::find_if(aView.servers.begin(),
                 aView.servers.end(),
                 [&](const auto& aServer) { return aServer.id == aView.self; });
  bool patient =
    self != aView.servers.end() && self->age < aSettings.maxClaimWait;
  return patient && aSummary.youngest < aSettings.settleTime;
}

std::vector<Move>
Decide(const PlacementView& aView, const PlacementSettings& aSettings)
{
  FleetSummary summary = Summarise(aView, aSettings);
  std::map<Incarnation, Owned> owned;
  Owned unowned;
  for (const auto& partition : aView.partitions) {
    bool asked = aView.self == kNoIncarnation || partition.owner == aView.self;
    if (partition.owner == kNoIncarnation) {
      unowned.push_back(&partition);
    } else if (asked) {
      owned[partition.owner].push_back(&partition);
    }
  }
  std::vector<Move> moves;
  for (const auto& [owner, partitions] : owned) {
    const ServerStanding* self = summary.Find(owner);
    if (self != nullptr) {
      auto given = GiveAway(aView.now, summary, aSettings, *self, partitions);
      moves.insert(moves.end(), given.begin(), given.end());
    }
  }
  if (WaitsForOthers(aView, summary, aSettings)) {
    return moves;
  }
  auto taken = aView.soleDecider ? ChooseSuccessors(summary, unowned)
                                 : ChooseClaims(summary, unowned);
  moves.insert(moves.end(), taken.begin(), taken.end());
  return moves;
}

} // namespace

double
Gain(const FleetSummary& aSummary,
     const ServerStanding& aGiver,
     double aGiverLoad,
     const ServerStanding& aReceiver,
     double aReceiverLoad,
     double aLoad)
{
  auto deviation = [&](const ServerStanding& aServer, double aServerLoad) {
    double relative = aSummary.Relative(aServer, aServerLoad) - 1;
    return aServer.capacity / aGiver.capacity * relative * relative;
  };
  return deviation(aGiver, aGiverLoad) + deviation(aReceiver, aReceiverLoad) -
         deviation(aGiver, aGiverLoad - aLoad) -
         deviation(aReceiver, aReceiverLoad + aLoad);
}

std::vector<Move>
GiveAway(Time aNow,
         const FleetSummary& aSummary,
         const PlacementSettings& aSettings,
         const ServerStanding& aSelf,
         const std::vector<const PartitionView*>& aOwned)
{
  if (aSelf.accepting) {
    return Giver(aNow, aSummary, aSettings, aSelf, aOwned).Decide();
  }
  std::vector<Move> moves = ChooseSuccessors(aSummary, aOwned);
  for (auto& move : moves) {
    move.from = aSelf.id;
  }
  return moves;
}

std::vector<Move>
ChooseSuccessors(const FleetSummary& aSummary,
                 const std::vector<const PartitionView*>& aUnowned)
{
  std::vector<Move> moves;
  AddedLoads added;
  std::vector<double> zoneAdded(aSummary.zones.size());
  for (const auto* partition : aUnowned) {
    double load = partition->load > 0 ? partition->load + aSummary.idleLoad
                                      : aSummary.partitionLoad;
    uint64_t seed = Mix(partition->id.index);
    size_t zone = DrawZone(aSummary, zoneAdded, seed);
    if (zone == zoneAdded.size()) {
      return moves;
    }
    size_t index = DrawSuccessor(aSummary, aSummary.spread[zone], added, seed);
    added[index] += load;
    zoneAdded[zone] += load;
    moves.push_back(
      { partition->id, kNoIncarnation, aSummary.servers[index].id });
  }
  return moves;
}

std::vector<Move>
ChooseClaims(const FleetSummary& aSummary,
             const std::vector<const PartitionView*>& aUnowned)
{
  using Candidate = std::tuple<double, uint64_t, size_t>;
  std::priority_queue<Candidate, std::vector<Candidate>, std::greater<>> queue;
  std::vector<Move> moves;
  if (aUnowned.empty()) {
    return moves;
  }
  for (size_t index = 0; index < aSummary.servers.size(); ++index) {
    const auto& server = aSummary.servers[index];
    if (server.accepting) {
      queue.emplace(
        (server.partitions + 1) / server.capacity, Mix(server.id), index);
    }
  }
  for (const auto* partition : aUnowned) {
    if (queue.empty()) {
      return moves;
    }
    auto [share, tie, index] = queue.top();
    queue.pop();
    const auto& server = aSummary.servers[index];
    moves.push_back({ partition->id, kNoIncarnation, server.id });
    queue.emplace(share + 1 / server.capacity, tie, index);
  }
  return moves;
}

PlacementPolicy
MakePlacement(const PlacementSettings& aSettings)
{
  return [aSettings](const PlacementView& aView) {
    return Decide(aView, aSettings);
  };
}

} // namespace fescuetiller
