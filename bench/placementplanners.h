#pragma once

#include "placement/placement.h"
#include "placementfleet.h"

namespace fescuetiller {

/** View that a group of observers has of the fleet. */
PlacementView
ViewOf(const Fleet& aFleet, uint32_t aGroup);

/** The library's policy, each server deciding from its own loads. */
Planner
BalancedPlanner(PlacementGoal aGoal);

/** Rendezvous hashing over the accepting servers. */
Planner
RendezvousPlanner();

/** Consistent hashing with bounded numbers of partitions a server. */
Planner
BoundedLoadsPlanner();

/** Moves to the least loaded server whenever that lowers the higher load. */
Planner
GreedyPlanner();

} // namespace fescuetiller
