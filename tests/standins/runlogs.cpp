#include "standins/runlogs.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace fescuetiller {

RunLogs
ReadRunLogs(const std::string& aFolder)
{
  RunLogs logs;
  for (const auto& file : std::filesystem::directory_iterator(aFolder)) {
    if (file.path().extension() != ".runs") {
      continue;
    }
    std::ifstream stream(file.path());
    std::string line;
    while (std::getline(stream, line)) {
      std::istringstream fields(line);
      std::string event;
      std::string requestId;
      fields >> event >> requestId;
      logs.byRequest[requestId].started += event == "start" ? 1 : 0;
      if (event == "commit") {
        ++logs.byRequest[requestId].committed;
        ++logs.commitsByFile[file.path().stem().string()];
      }
    }
  }
  return logs;
}

} // namespace fescuetiller
