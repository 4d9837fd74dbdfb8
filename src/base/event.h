#pragma once

#include <string>
#include <utility>
#include <vector>

namespace fescuetiller {

/** Something that a part decided or learned, for the log: its name and the
 * inputs and outcome as fields. */
struct Event
{
  std::string name;
  std::vector<std::pair<std::string, std::string>> fields;
};

} // namespace fescuetiller
