#pragma once

#include <string>
#include <vector>

#include "model/model.h"

namespace fescuetiller {

/** A request that a backend server has run, from its log. */
struct Run
{
  int64_t startedAt = 0; ///< Boot time in nanoseconds.
  std::string incarnation;
  Key key = 0;
  Fence fence = 0;
  std::string request;
};

/** Reads the runs of all backend servers, in order of time. */
std::vector<Run>
ReadRuns(const std::vector<std::string>& aFiles);

} // namespace fescuetiller
