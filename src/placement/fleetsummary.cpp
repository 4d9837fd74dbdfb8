#include "placement/fleetsummary.h"

#include <algorithm>

namespace fescuetiller {

namespace {

constexpr double kMaxCapacityRatio = 2;   ///< To the median of all servers.
constexpr double kMinCapacityRatio = 0.5; ///< To the median of all servers.
constexpr double kGrowth = 1.25; ///< Capacity above the median to that shown.
constexpr double kUsualYield = 0.7; ///< Yield to the median that is not judged.
constexpr double kMinYield = 0.25;
constexpr double kMinBelievedRatio =
  0.25; ///< To the load that its partitions suggest.
constexpr double kMaxBelievedRatio = 8;
constexpr double kMaxCountRatio =
  1.5;                              ///< Partitions of a receiver to its share.
constexpr double kColdShare = 0.25; ///< Share of a server of age 0.
constexpr double kIdleShare = 0.05; ///< Idle partition to the mean partition.
constexpr double kIdleUtilisation = 0.1;
constexpr double kSpreadLevel = 1.25; ///< To which successors are filled.

constexpr double kSlack = 1.15;      ///< Least load to the mean that is given.
constexpr double kEasedSlack = 1.05; ///< Least load to the mean that is kept.
constexpr double kMinRoom = 1e-6;

double
MedianSlots(const PlacementView& aView)
{
  std::vector<uint32_t> slots;
  for (const auto& server : aView.servers) {
    slots.push_back(std::max(server.slots, 1U));
  }
  if (slots.empty()) {
    return 1;
  }
  auto middle = slots.begin() + static_cast<std::ptrdiff_t>(slots.size() / 2);
  std::nth_element(slots.begin(), middle, slots.end());
  return *middle;
}

/** Median of throughput for each busy slot, over those that report both. */
double
MedianYield(const PlacementView& aView)
{
  std::vector<double> yields;
  for (const auto& server : aView.servers) {
    if (server.throughput > 0 && server.load > 0) {
      yields.push_back(server.throughput / server.load);
    }
  }
  if (yields.empty()) {
    return 0;
  }
  auto middle = yields.begin() + static_cast<std::ptrdiff_t>(yields.size() / 2);
  std::nth_element(yields.begin(), middle, yields.end());
  return *middle;
}

/** What the fleet as a whole says about what one server can carry. */
struct CapacityBounds
{
  double medianSlots = 1;
  double medianYield = 0;
  double utilisation = 0; ///< Load for each slot, at median slots.
};

CapacityBounds
BoundsOf(const PlacementView& aView)
{
  CapacityBounds bounds;
  bounds.medianSlots = MedianSlots(aView);
  bounds.medianYield = MedianYield(aView);
  double load = 0;
  double slots = 0;
  for (const auto& server : aView.servers) {
    load += std::max(server.load, 0.0);
    slots += server.accepting ? bounds.medianSlots : 0;
  }
  bounds.utilisation = slots > 0 ? load / slots : 0;
  return bounds;
}

/**
 * Slots, as far as work bears them out: above the median only in proportion to
 * the load carried, and less when its busy slots answer less than others'.
 */
double
CapacityOf(const ServerView& aServer, const CapacityBounds& aBounds)
{
  double median = aBounds.medianSlots;
  double slots = std::clamp<double>(
    aServer.slots, kMinCapacityRatio * median, kMaxCapacityRatio * median);
  if (slots > median && aBounds.utilisation > 0) {
    double shown = kGrowth * aServer.load / aBounds.utilisation;
    slots = std::clamp(shown, median, slots);
  }
  if (aServer.throughput <= 0 || aServer.load <= 0) {
    return slots;
  }
  double yield = aServer.throughput / aServer.load / aBounds.medianYield;
  return slots * std::clamp(yield / kUsualYield, kMinYield, 1.0);
}

double
RampedShare(Duration aAge, Duration aRamp)
{
  if (aAge >= aRamp) {
    return 1;
  }
  double passed =
    static_cast<double>(aAge.count()) / static_cast<double>(aRamp.count());
  return kColdShare + (1 - kColdShare) * passed;
}

uint32_t
ZoneIndex(std::vector<std::string>& aZones, const std::string& aZone)
{
  auto found = std::find(aZones.begin(), aZones.end(), aZone);
  auto index = static_cast<uint32_t>(found - aZones.begin());
  if (found == aZones.end()) {
    aZones.push_back(aZone);
  }
  return index;
}

void
AddServers(const PlacementView& aView,
           const PlacementSettings& aSettings,
           FleetSummary& aSummary)
{
  CapacityBounds bounds = BoundsOf(aView);
  for (const auto& server : aView.servers) {
    ServerStanding standing;
    standing.id = server.id;
    standing.zone = ZoneIndex(aSummary.zones, server.zone);
    standing.capacity = CapacityOf(server, bounds);
    standing.ramped =
      standing.capacity * RampedShare(server.age, aSettings.ramp);
    standing.load = std::max(server.load, 0.0);
    standing.accepting = server.accepting;
    aSummary.servers.push_back(standing);
    aSummary.youngest = std::min(aSummary.youngest, server.age);
  }
  std::sort(aSummary.servers.begin(),
            aSummary.servers.end(),
            [](const ServerStanding& aLeft, const ServerStanding& aRight) {
              return aLeft.id < aRight.id;
            });
}

ServerStanding*
FindServer(FleetSummary& aSummary, Incarnation aId)
{
  const ServerStanding* found = aSummary.Find(aId);
  return found == nullptr
           ? nullptr
           : &aSummary
                .servers[static_cast<size_t>(found - aSummary.servers.data())];
}

void
CountPartitions(const PlacementView& aView,
                const PlacementSettings& aSettings,
                FleetSummary& aSummary)
{

  for (const auto& partition : aView.partitions) {
    ServerStanding* owner = FindServer(aSummary, partition.owner);
    if (owner == nullptr) {
      continue;
    }
    ++aSummary.ownedPartitions;
    ++owner->partitions;
    owner->receipts += partition.ownedFor < aSettings.reportDelay ? 1 : 0;
    ServerStanding* giver = FindServer(aSummary, partition.previousOwner);
    if (giver != nullptr) {
      giver->gaveBefore = std::min(giver->gaveBefore, partition.ownedFor);
    }
  }
}

/** Bounds each reported load by what its number of partitions suggests. */
void
JudgeLoads(const PlacementView& aView, FleetSummary& aSummary)
{
  double reported = 0;
  double capacity = 0;
  double count =
    std::max<double>(1, static_cast<double>(aView.partitions.size()));
  for (const auto& server : aSummary.servers) {
    reported += server.load;
    capacity += server.accepting ? server.capacity : 0;
  }
  double owned = std::max<double>(1, aSummary.ownedPartitions);
  double mean = reported / owned;
  aSummary.idleLoad =
    std::max(kIdleShare * mean, kIdleUtilisation * capacity / count - mean);
  aSummary.idleLoad = std::max(aSummary.idleLoad, kMinRoom);
  aSummary.partitionLoad = mean + aSummary.idleLoad;
  double total = (count - aSummary.ownedPartitions) * aSummary.partitionLoad;
  for (auto& server : aSummary.servers) {
    double settled = server.partitions - server.receipts;
    double expected = settled * mean;
    double bounded = std::clamp(server.load,
                                kMinBelievedRatio * expected,
                                kMaxBelievedRatio * (expected + mean));
    server.load =
      bounded + server.receipts * mean + server.partitions * aSummary.idleLoad;
    total += server.load;
  }
  capacity = std::max(capacity, kMinRoom);
  aSummary.meanLoad = std::max(total / capacity, kMinRoom);
  aSummary.partitionsASlot = count / capacity;
}

void
AddRooms(const PlacementLimits& aLimits, FleetSummary& aSummary)
{
  aSummary.spread.resize(aSummary.zones.size());
  for (size_t index = 0; index < aSummary.servers.size(); ++index) {
    const auto& server = aSummary.servers[index];
    double mean = aSummary.meanLoad * server.capacity;
    auto levels = LevelsOf(aLimits, aSummary.meanLoad, server.capacity);
    aSummary.reliefWanted +=
      server.load > levels.from ? server.load - levels.to : 0;
    aSummary.fillingOffered += std::max(0.0, server.load - mean);
    if (!server.accepting) {
      continue;
    }
    double target = aSummary.meanLoad * server.ramped;
    aSummary.spread[server.zone].Add(
      index, std::max(kMinRoom, kSpreadLevel * target - server.load));
    double share = aSummary.partitionsASlot * server.ramped;
    bool full = server.gaveBefore < aLimits.saturatedDwell ||
                server.receipts >= aLimits.receiptsAtOnce ||
                server.partitions >= kMaxCountRatio * share;
    if (full || server.load >= target) {
      continue;
    }
    double allowed =
      (aLimits.receiptsAtOnce - server.receipts) * aSummary.partitionLoad;
    double room = std::min(target - server.load, allowed);
    aSummary.relief.Add(index, room);
    if (server.load < aLimits.underload * target &&
        server.gaveBefore >= aLimits.dwell) {
      aSummary.filling.Add(index, room);
    }
  }
}

} // namespace

void
WeightedChoice::Add(size_t aIndex, double aRoom)
{
  this->indexes.push_back(aIndex);
  this->bounds.push_back(this->Total() + aRoom);
}

double
WeightedChoice::Total() const
{
  return this->bounds.empty() ? 0 : this->bounds.back();
}

size_t
WeightedChoice::At(double aPoint) const
{
  auto bound = std::upper_bound(
    this->bounds.begin(), this->bounds.end(), aPoint * this->Total());
  auto place = static_cast<size_t>(bound - this->bounds.begin());
  return this->indexes[std::min(place, this->indexes.size() - 1)];
}

const ServerStanding*
FleetSummary::Find(Incarnation aId) const
{
  auto found =
    std::lower_bound(this->servers.begin(),
                     this->servers.end(),
                     aId,
                     [](const ServerStanding& aLeft, Incarnation aRight) {
                       return aLeft.id < aRight;
                     });
  bool known = found != this->servers.end() && found->id == aId;
  return known ? &*found : nullptr;
}

double
FleetSummary::Relative(const ServerStanding& aServer, double aLoad) const
{
  return aLoad / (this->meanLoad * aServer.capacity);
}

GivingLevels
LevelsOf(const PlacementLimits& aLimits, double aMeanLoad, double aCapacity)
{
  double mean = aMeanLoad * aCapacity;
  double saturated = std::max(aLimits.saturated * aCapacity, kSlack * mean);
  double eased = std::max(aLimits.eased * aCapacity, kEasedSlack * mean);
  return { std::min(aLimits.overload * mean, saturated),
           std::min(aLimits.relieved * mean, eased) };
}

FleetSummary
Summarise(const PlacementView& aView, const PlacementSettings& aSettings)
{
  FleetSummary summary;
  AddServers(aView, aSettings, summary);
  CountPartitions(aView, aSettings, summary);
  JudgeLoads(aView, summary);
  AddRooms(LimitsOf(aSettings.goal), summary);
  return summary;
}

} // namespace fescuetiller
