#pragma once

#include <string>

#include "base/base.h"

namespace fescuetiller {

/** One request waiting for a slot of the backend server. */
struct QueuedRequest
{
  uint64_t id = 0;
  std::string service;
  std::string requestClass;
  std::string key;
  Time arrivedAt;
  Time deadline;
};

} // namespace fescuetiller
