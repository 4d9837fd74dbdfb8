#pragma once

#include <vector>

#include <boost/program_options.hpp>

#include "fescuetillerctl/session.h"

namespace fescuetiller {

namespace options = boost::program_options;

/** Values of the options that every command takes. */
struct CommonOptions
{
  bool json = false;
  std::string store; ///< Address of the store.
  std::string who;   ///< The operator, for the audit trail.
  Duration timeout = std::chrono::seconds(2); ///< Of one call.
};

/** One subcommand of fescuetillerctl: its help texts, options and function. */
struct Command
{
  std::string name;      ///< One or two words, e.g. "class list".
  std::string arguments; ///< As shown in the usage line.
  std::string summary;
  std::string examples;                 ///< One command per line.
  std::vector<std::string> positionals; ///< Names of positional arguments.
  /** Adds the command's own options; may be empty. */
  std::function<void(options::options_description&)> addOptions;
  std::function<
    ExitCode(Session&, const CommonOptions&, const options::variables_map&)>
    run;
  /** Whether the last positional argument takes more than one value. */
  bool lastPositionalRepeats = false;
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

/** Parses the arguments and runs the command. Prints errors on one line. */
ExitCode
RunCommand(Session& aSession, const std::vector<std::string>& aArguments);

/** Returns a string option or positional argument; empty when it was not
 * given. */
std::string
TextOption(const options::variables_map& aValues, const std::string& aName);

} // namespace fescuetiller
