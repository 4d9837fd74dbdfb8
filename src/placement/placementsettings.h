#pragma once

#include "base/base.h"

namespace fescuetiller {

/** The measure that a deployment weighs most. */
enum class PlacementGoal
{
  UnavailableTime, ///< Move early, so that no key waits.
  Churn,           ///< Move rarely, so that no request waits behind a move.
};

/** Settings of the placement policy; every daemon has the same. */
struct PlacementSettings
{
  PlacementGoal goal = PlacementGoal::UnavailableTime;
  /** Age of a load report at which it is still used. */
  Duration reportDelay = std::chrono::seconds(3);
  /** Moves of the whole fleet that the table service can take besides its
   * other writes. */
  double movesASecond = 60;
  Duration planInterval = std::chrono::milliseconds(200);
  /** Time in which a new server reaches its full share. */
  Duration ramp = std::chrono::seconds(20);
  /** Quiet time of the membership before an empty deployment is claimed. */
  Duration settleTime = std::chrono::milliseconds(500);
  /** Age of the own member at which it claims without quiet time. */
  Duration maxClaimWait = std::chrono::milliseconds(1500);
};

/** Thresholds that follow from the goal; loads are relative to the mean. */
struct PlacementLimits
{
  double overload = 0;  ///< Relative load above which a server gives.
  double relieved = 0;  ///< Relative load at which it stops giving.
  double underload = 0; ///< Relative load below which a server is filled.
  double moveCost = 0;  ///< Least gain of a move; see Gain().
  double saturatedMoveCost = 0; ///< The same for a giver without free slots.
  /** Time between two moves of one partition, and between a server's giving
   * and its next receiving. */
  Duration dwell{};
  Duration saturatedDwell{};   ///< The same for a giver without free slots.
  double saturated = 0;        ///< Load a slot above which a server gives.
  double eased = 0;            ///< Load a slot at which it stops giving.
  uint32_t receiptsAtOnce = 0; ///< Per receiver and report delay.
};

PlacementLimits
LimitsOf(PlacementGoal aGoal);

} // namespace fescuetiller
