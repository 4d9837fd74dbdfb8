#include "config/config.h"
#include "fescuetillerctl/command.h"

namespace fescuetiller {

namespace {

using Reader = std::function<Result<void>(const std::string&)>;

ExitCode
CheckFile(Session& aSession,
          const CommonOptions& aOptions,
          const options::variables_map& aValues,
          const Reader& aReader)
{
  std::string file = TextOption(aValues, "file");
  if (file.empty()) {
    return Fail(aSession, ExitCode::Usage, "check needs FILE");
  }
  auto read = aReader(file);
  if (aOptions.json) {
    wire::ChangeReport report;
    report.set_outcome(read ? "valid" : "invalid");
    report.set_message(read ? file : ToString(read.error()));
    aSession.out << ToJson(report) << "\n";
  } else if (read) {
    aSession.out << file << ": valid\n";
  } else {
    Fail(aSession, read.error());
  }
  return read ? ExitCode::Ok : ExitCode::Usage;
}

Command
MakeCheckCommand(const std::string& aWhat,
                 const std::string& aSummary,
                 const std::string& aExample,
                 const Reader& aReader)
{
  return { "check " + aWhat,
           "FILE",
           aSummary,
           "  fescuetillerctl check " + aWhat + " " + aExample,
           { "file" },
           nullptr,
           [aReader](Session& aSession,
                     const CommonOptions& aOptions,
                     const options::variables_map& aValues) {
             return CheckFile(aSession, aOptions, aValues, aReader);
           } };
}

template<typename T>
Result<void>
WithoutValue(const Result<T>& aResult)
{
  if (!aResult) {
    return tl::unexpected(aResult.error());
  }
  return {};
}

} // namespace

std::vector<Command>
CheckCommands()
{
  return {
    MakeCheckCommand("settings",
                     "Checks a daemon's settings file before it is used.",
                     "daemon.ini",
                     [](const std::string& aFile) {
                       return WithoutValue(ReadSettings(aFile));
                     }),
    MakeCheckCommand("classes",
                     "Checks a class file before it is used.",
                     "classes.ini",
                     [](const std::string& aFile) {
                       return WithoutValue(ReadClassFile(aFile));
                     }),
  };
}

} // namespace fescuetiller
