#pragma once

#include "placement/fleetsummary.h"

namespace fescuetiller {

/**
 * Policy that weighs what a move gains against what it costs. An owner gives
 * only its own partitions, receivers are drawn in proportion to their room, so
 * that owners which decide at once on similar views don't meet at one.
 */
PlacementPolicy
MakePlacement(const PlacementSettings& aSettings);

/**
 * Drop in squared relative deviation of giver and receiver from the mean, for
 * a move of aLoad. Every move with a gain above 0 lowers the same sum over all
 * servers, so that moves on exact loads can't cycle.
 */
double
Gain(const FleetSummary& aSummary,
     const ServerStanding& aGiver,
     double aGiverLoad,
     const ServerStanding& aReceiver,
     double aReceiverLoad,
     double aLoad);

/** Moves of one owner's partitions, aOwned being exactly these. */
std::vector<Move>
GiveAway(Time aNow,
         const FleetSummary& aSummary,
         const PlacementSettings& aSettings,
         const ServerStanding& aSelf,
         const std::vector<const PartitionView*>& aOwned);

/** Owners for partitions without one, by the sole decider on them. */
std::vector<Move>
ChooseSuccessors(const FleetSummary& aSummary,
                 const std::vector<const PartitionView*>& aUnowned);

/**
 * Owners for partitions without one, when every server decides and claims
 * its own part: from facts alone that all servers know alike.
 */
std::vector<Move>
ChooseClaims(const FleetSummary& aSummary,
             const std::vector<const PartitionView*>& aUnowned);

} // namespace fescuetiller
