#pragma once

#include <map>
#include <string>

#include "model/model.h"

namespace fescuetiller {

/**
 * Distributes the requests of each route over its services by weight, using
 * smooth weighted round robin: any sequence of requests is divided as evenly as
 * the weights allow.
 */
class DestinationPicker
{
public:
  /** Returns the service for the next request of the route; empty if all
   * weights are 0. */
  std::string Pick(const Route& aRoute);

private:
  /** Credits by route and service. The service with the most credit is picked
   * next. */
  std::map<std::string, std::map<std::string, int64_t>> credits;
};

} // namespace fescuetiller
