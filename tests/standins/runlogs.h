#pragma once

#include <map>
#include <string>

namespace fescuetiller {

/** How often one request was started and committed by backend servers. */
struct RunCount
{
  int started = 0;
  int committed = 0;
};

/** What the backend stand-ins wrote down; the evidence for doubled runs. */
struct RunLogs
{
  std::map<std::string, RunCount> byRequest;
  std::map<std::string, int> commitsByFile;
};

/** Reads every *.runs file of a folder. */
RunLogs
ReadRunLogs(const std::string& aFolder);

} // namespace fescuetiller
