#include "routing/destinationpicker.h"

namespace fescuetiller {

std::string
DestinationPicker::Pick(const Route& aRoute)
{
  if (aRoute.destinations.size() == 1) {
    return aRoute.destinations.front().service;
  }
  auto& routeCredits = this->credits[aRoute.name];
  int64_t total = 0;
  std::string best;
  int64_t most = 0;
  for (const auto& destination : aRoute.destinations) {
    if (destination.weight == 0) {
      continue;
    }
    total += destination.weight;
    auto& credit = routeCredits[destination.service];
    credit += destination.weight;
    if (best.empty() || credit > most) {
      best = destination.service;
      most = credit;
    }
  }
  if (!best.empty()) {
    routeCredits[best] -= total;
  }
  return best;
}

} // namespace fescuetiller
