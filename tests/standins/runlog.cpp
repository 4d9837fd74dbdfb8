#include "standins/runlog.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace fescuetiller {

std::vector<Run>
ReadRuns(const std::vector<std::string>& aFiles)
{
  std::vector<Run> runs;
  for (const auto& file : aFiles) {
    std::ifstream input(file);
    std::string line;
    while (std::getline(input, line)) {
      std::istringstream text(line);
      Run run;
      if (text >> run.startedAt >> run.incarnation >> run.key >> run.fence >>
          run.request) {
        runs.push_back(run);
      }
    }
  }
  std::sort(runs.begin(), runs.end(), [](const Run& aLeft, const Run& aRight) {
    return aLeft.startedAt < aRight.startedAt;
  });
  return runs;
}

} // namespace fescuetiller
