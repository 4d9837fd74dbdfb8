#include "fescuetillerctl/command.h"

#include <boost/locale/utf.hpp>

namespace fescuetiller {

namespace {

constexpr size_t kMaxWhoBytes = 64;
constexpr uint32_t kMaxTimeoutMs = 600000;
constexpr const char* kExitCodes =
  "Exit codes: 0 ok, 1 failed, 2 wrong usage, 3 conflict (another change came "
  "first),\n4 outcome unknown.\n";

const std::vector<Command>&
AllCommands()
{
  static const std::vector<Command> kCommands = [] {
    std::vector<Command> all = { StatusCommand(),
                                 ClassListCommand(),
                                 KeyLocateCommand() };
    auto drains = DrainCommands();
    all.insert(all.end(), drains.begin(), drains.end());
    all.insert(
      all.end(),
      { AuditCommand(), CheckCommand(), MetricsCommand(), ExplainCommand() });
    return all;
  }();
  return kCommands;
}

/** Returns the command named by the first one or two arguments, and the number
 * of those arguments; nullptr when there is no such command. */
std::pair<const Command*, size_t>
FindCommand(const std::vector<std::string>& aArguments)
{
  for (size_t words : { 2, 1 }) {
    if (aArguments.size() < words) {
      continue;
    }
    std::string name = aArguments[0];
    if (words == 2) {
      name += " " + aArguments[1];
    }
    for (const auto& command : AllCommands()) {
      if (command.name == name) {
        return { &command, words };
      }
    }
  }
  return { nullptr, 0 };
}

options::options_description
CommonDescription(const Session& aSession)
{
  options::options_description common("Common options");
  auto add = common.add_options();
  add("help,h", "print this text");
  add("json", "print one JSON document");
  add("store",
      options::value<std::string>()->default_value(aSession.defaultStore),
      "IP and port of the platform's store; or set FESCUETILLER_STORE");
  add("who",
      options::value<std::string>()->default_value(aSession.user),
      "who makes the change");
  add("timeout-ms",
      options::value<uint32_t>()->default_value(2000),
      "longest wait for one response");
  return common;
}

void
PrintOverview(std::ostream& aOut)
{
  aOut << "fescuetillerctl, the operators' tool.\n"
       << "Usage: fescuetillerctl COMMAND [options]\n\nCommands:\n";
  for (const auto& command : AllCommands()) {
    std::string usage = command.name + " " + command.arguments;
    constexpr size_t kColumn = 30;
    usage.resize(std::max(usage.size() + 1, kColumn), ' ');
    aOut << "  " << usage << command.summary << "\n";
  }
  aOut << "\nCOMMAND --help shows its options and examples.\n" << kExitCodes;
}

void
PrintHelp(std::ostream& aOut,
          const Command& aCommand,
          const options::options_description& aVisible)
{
  aOut << aCommand.summary << "\nUsage: fescuetillerctl " << aCommand.name
       << " " << aCommand.arguments << " [options]\n\n"
       << aVisible << "\nExamples:\n"
       << aCommand.examples << "\n"
       << kExitCodes;
}

/** Whether a text can be stored in the audit trail: UTF-8 without control
 * characters. */
bool
IsPrintable(const std::string& aText)
{
  namespace utf = boost::locale::utf;
  constexpr utf::code_point kSpace = 0x20;
  constexpr utf::code_point kDelete = 0x7f;
  auto at = aText.begin();
  while (at != aText.end()) {
    auto character = utf::utf_traits<char>::decode(at, aText.end());
    if (character == utf::illegal || character == utf::incomplete ||
        character < kSpace || character == kDelete) {
      return false;
    }
  }
  return true;
}

/** First line of a text; error messages of libraries may have several. */
std::string
FirstLine(const std::string& aText)
{
  return aText.substr(0, aText.find('\n'));
}

ExitCode
Run(Session& aSession,
    const Command& aCommand,
    const std::vector<std::string>& aArguments)
{
  options::options_description own("Options");
  if (aCommand.addOptions) {
    aCommand.addOptions(own);
  }
  options::options_description visible;
  visible.add(own).add(CommonDescription(aSession));
  options::options_description all;
  all.add(visible);
  options::positional_options_description positionals;
  for (const auto& positional : aCommand.positionals) {
    bool repeats = aCommand.lastPositionalRepeats &&
                   positional == aCommand.positionals.back();
    if (repeats) {
      all.add_options()(positional.c_str(),
                        options::value<std::vector<std::string>>());
    } else {
      all.add_options()(positional.c_str(), options::value<std::string>());
    }
    positionals.add(positional.c_str(), repeats ? -1 : 1);
  }
  options::variables_map values;
  options::store(options::command_line_parser(aArguments)
                   .options(all)
                   .positional(positionals)
                   .run(),
                 values);
  options::notify(values);
  if (values.count("help") != 0) {
    PrintHelp(aSession.out, aCommand, visible);
    return ExitCode::Ok;
  }
  CommonOptions common;
  common.json = values.count("json") != 0;
  common.store = TextOption(values, "store");
  common.who = TextOption(values, "who");
  if (common.who.empty() || common.who.size() > kMaxWhoBytes ||
      !IsPrintable(common.who)) {
    return ReportError(
      aSession, ExitCode::Usage, "--who must be 1 to 64 bytes of UTF-8 text");
  }
  auto timeoutMs = values["timeout-ms"].as<uint32_t>();
  if (timeoutMs == 0 || timeoutMs > kMaxTimeoutMs) {
    return ReportError(aSession,
                       ExitCode::Usage,
                       "--timeout-ms must be from 1 to " +
                         std::to_string(kMaxTimeoutMs));
  }
  common.timeout = std::chrono::milliseconds(timeoutMs);
  return aCommand.run(aSession, common, values);
}

} // namespace

std::string
TextOption(const options::variables_map& aValues, const std::string& aName)
{
  return aValues.count(aName) == 0 ? "" : aValues[aName].as<std::string>();
}

ExitCode
RunCommand(Session& aSession, const std::vector<std::string>& aArguments)
{
  if (aArguments.empty()) {
    return ReportError(aSession, ExitCode::Usage, "no command; see --help");
  }
  if (aArguments[0] == "--help" || aArguments[0] == "-h") {
    PrintOverview(aSession.out);
    return ExitCode::Ok;
  }
  auto [command, words] = FindCommand(aArguments);
  if (command == nullptr) {
    return ReportError(aSession,
                       ExitCode::Usage,
                       "unknown command " + FirstLine(aArguments[0]) +
                         "; see --help");
  }
  std::vector<std::string> rest(
    aArguments.begin() + static_cast<std::ptrdiff_t>(words), aArguments.end());
  try {
    return Run(aSession, *command, rest);
  } catch (const options::error& error) {
    return ReportError(aSession,
                       ExitCode::Usage,
                       command->name + ": " + FirstLine(error.what()) +
                         "; see " + command->name + " --help");
  }
}

} // namespace fescuetiller
