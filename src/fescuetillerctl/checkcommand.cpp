#include <nlohmann/json.hpp>

#include "fescuetillerctl/command.h"
#include "fescuetillerd/nodesettings.h"

namespace fescuetiller {

namespace {

ExitCode
CheckSettings(Session& aSession,
              const CommonOptions& aOptions,
              const options::variables_map& aValues)
{
  std::string file = TextOption(aValues, "file");
  if (file.empty()) {
    return ReportError(aSession, ExitCode::Usage, "check settings needs FILE");
  }
  auto read = ReadNodeSettings(file);
  if (aOptions.json) {
    nlohmann::json report = { { "outcome", read ? "valid" : "invalid" },
                              { "message",
                                read ? file : ToString(read.error()) } };
    aSession.out << report.dump() << "\n";
  } else if (read) {
    aSession.out << file << ": valid\n";
  } else {
    ReportError(aSession, read.error());
  }
  return read ? ExitCode::Ok : ExitCode::Usage;
}

} // namespace

Command
CheckCommand()
{
  return { "check settings",
           "FILE",
           "Checks a daemon's settings file before it is used.",
           "  fescuetillerctl check settings daemon.ini",
           { "file" },
           nullptr,
           CheckSettings };
}

} // namespace fescuetiller
