#pragma once

#include <vector>

#include "placement/placementpolicy.h"
#include "placement/placementsettings.h"

namespace fescuetiller {

/** One server as the policy judges it, after doubting its report. */
struct ServerStanding
{
  Incarnation id = kNoIncarnation;
  uint32_t zone = 0;   ///< Index into FleetSummary::zones.
  double capacity = 0; ///< Slots, bounded by what others have.
  double ramped = 0;   ///< Capacity that it may be filled to by now.
  double load = 0;     ///< Believed load and what it received lately.
  uint32_t partitions = 0;
  uint32_t receipts = 0; ///< Partitions received within the report delay.
  Duration gaveBefore = std::chrono::hours(1); ///< Time since it last gave.
  bool accepting = false;
};

/** Servers to choose from at random, each in proportion to its room. */
class WeightedChoice
{
public:
  void Add(size_t aIndex, double aRoom);

  double Total() const;

  /** Server for a point in [0, 1). Total() must not be 0. */
  size_t At(double aPoint) const;

private:
  std::vector<size_t> indexes;
  std::vector<double> bounds;
};

/** What all decisions on one view share; built in one pass over it. */
struct FleetSummary
{
  std::vector<ServerStanding> servers; ///< By ascending id.
  std::vector<std::string> zones;
  double meanLoad = 0; ///< Load for each slot of capacity.
  /** Load that an idle partition counts for. */
  double idleLoad = 0;
  double partitionLoad = 0;   ///< Mean load of a partition, idleLoad included.
  double partitionsASlot = 0; ///< Partitions for each slot of capacity.
  uint32_t ownedPartitions = 0; ///< By servers of the summary.
  Duration youngest = std::chrono::hours(1);

  WeightedChoice relief;   ///< Servers below the mean.
  double reliefWanted = 0; ///< What servers above their level want to give.
  WeightedChoice filling;  ///< Servers below the underload threshold.
  double fillingOffered = 0;
  std::vector<WeightedChoice> spread; ///< Accepting servers of each zone.

  /** Standing of a server; nullptr when unknown. */
  const ServerStanding* Find(Incarnation aId) const;

  /** Load of a server relative to the mean. */
  double Relative(const ServerStanding& aServer, double aLoad) const;
};

/** Load above which a server gives, and to which it gives. */
struct GivingLevels
{
  double from = 0;
  double to = 0;
};

GivingLevels
LevelsOf(const PlacementLimits& aLimits, double aMeanLoad, double aCapacity);

FleetSummary
Summarise(const PlacementView& aView, const PlacementSettings& aSettings);

} // namespace fescuetiller
