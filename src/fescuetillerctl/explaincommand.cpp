#include <fstream>

#include "explain/explain.h"
#include "fescuetillerctl/command.h"
#include "fescuetillerctl/texttable.h"

namespace fescuetiller {

namespace {

std::string
Describe(const LogLine& aLine)
{
  std::string text;
  for (const auto& [name, value] : aLine.fields) {
    if (!value.empty()) {
      text.append(text.empty() ? "" : " ");
      text.append(name).append("=").append(value);
    }
  }
  return text;
}

void
PrintStory(Session& aSession, const std::vector<LogLine>& aStory)
{
  TextTable table({ "ms", "node", "event", "details" });
  for (const auto& line : aStory) {
    table.Add({ std::to_string(line.time - aStory.front().time),
                line.node,
                line.event,
                Describe(line) });
  }
  table.Print(aSession.out);
}

ExitCode
Explain(Session& aSession,
        const CommonOptions& aOptions,
        const options::variables_map& aValues)
{
  auto id = TextOption(aValues, "request");
  if (id.empty() || aValues.count("files") == 0) {
    return Fail(
      aSession, ExitCode::Usage, "explain needs a request id and log files");
  }
  std::vector<LogLine> lines;
  for (const auto& path : aValues["files"].as<std::vector<std::string>>()) {
    std::ifstream file(path);
    if (!file) {
      return Fail(aSession,
                  Error{ ErrorCode::Invalid, "read log", path, "cannot open" });
    }
    auto more = ReadLog(file);
    lines.insert(lines.end(), more.begin(), more.end());
  }
  auto story = TellStory(lines, id);
  if (story.empty()) {
    return Fail(aSession,
                Error{ ErrorCode::Invalid,
                       "find request",
                       id,
                       "no line of these logs has it; successes are logged "
                       "only while there is room" });
  }
  if (aOptions.json) {
    for (const auto& line : story) {
      aSession.out << line.text << "\n";
    }
  } else {
    PrintStory(aSession, story);
  }
  return ExitCode::Ok;
}

} // namespace

Command
ExplainCommand()
{
  return { "explain",
           "REQUEST-ID FILE...",
           "Tells from daemons' logs what became of a request, and why.",
           "  fescuetillerctl explain 9c41d07be2a35f68 node-1.log node-2.log",
           { "request", "files" },
           nullptr,
           Explain,
           true };
}

} // namespace fescuetiller
