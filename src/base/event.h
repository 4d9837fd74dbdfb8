#pragma once

#include <string>
#include <utility>
#include <vector>

namespace fescuetiller {

/** Structured log event for a decision or an observation: its name, and its
 * inputs and outcome as fields. */
struct Event
{
  std::string name;
  std::vector<std::pair<std::string, std::string>> fields;
};

} // namespace fescuetiller
