#include "placement/placementsettings.h"

namespace fescuetiller {

PlacementLimits
LimitsOf(PlacementGoal aGoal)
{
  PlacementLimits limits;
  limits.receiptsAtOnce = 2;
  if (aGoal == PlacementGoal::Churn) {
    limits.overload = 1.65;
    limits.relieved = 1.4;
    limits.underload = 0.4;
    limits.moveCost = 0.12;
    limits.saturatedMoveCost = 0.06;
    limits.dwell = std::chrono::seconds(60);
    limits.saturatedDwell = std::chrono::seconds(20);
    limits.saturated = 1.0;
    limits.eased = 0.9;
    return limits;
  }
  limits.overload = 1.55;
  limits.relieved = 1.25;
  limits.underload = 0.5;
  limits.moveCost = 0.08;
  limits.saturatedMoveCost = 0.02;
  limits.dwell = std::chrono::seconds(30);
  limits.saturatedDwell = std::chrono::seconds(5);
  limits.saturated = 0.8;
  limits.eased = 0.7;
  return limits;
}

} // namespace fescuetiller
