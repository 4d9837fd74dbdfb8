#pragma once

#include <vector>

#include <boost/program_options.hpp>

#include "fescuetillerctl/session.h"

namespace fescuetiller {

namespace options = boost::program_options;

/** Options that every command takes. */
struct CommonOptions
{
  bool json = false;
  std::string store; ///< Address of the store.
  std::string who;
  Duration timeout = std::chrono::seconds(2);
};

/** One subcommand of fescuetillerctl. */
struct Command
{
  std::string name;      ///< One or two words, e.g. "class set".
  std::string arguments; ///< As shown in the usage line.
  std::string summary;
  std::string examples; ///< One command a line.
  std::vector<std::string> positions;
  std::function<void(options::options_description&)> addOptions;
  std::function<
    ExitCode(Session&, const CommonOptions&, const options::variables_map&)>
    run;
  bool lastRepeats = false; ///< The last position takes one value or more.
};

Command
ClassListCommand();

Command
StatusCommand();

Command
KeyLocateCommand();

std::vector<Command>
DrainCommands();

Command
AuditCommand();

Command
CheckCommand();

Command
MetricsCommand();

Command
ExplainCommand();

/** Parses the arguments, runs the command, prints errors on one line. */
ExitCode
RunCommand(Session& aSession, const std::vector<std::string>& aArguments);

/** A string option or positional argument; empty when it was not given. */
std::string
TextOption(const options::variables_map& aValues, const std::string& aName);

} // namespace fescuetiller
