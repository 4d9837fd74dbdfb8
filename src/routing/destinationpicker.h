#pragma once

#include <map>
#include <string>

#include "model/model.h"

namespace fescuetiller {

/**
 * Divides each route's requests among its services by weight, as evenly as
 * possible at any moment (smooth weighted round robin).
 */
class DestinationPicker
{
public:
  /** The service of the route's next request; empty: all weights are 0. */
  std::string Pick(const Route& aRoute);

private:
  /** Credit of each service of a route; the highest is next. */
  std::map<std::string, std::map<std::string, int64_t>> credits;
};

} // namespace fescuetiller
