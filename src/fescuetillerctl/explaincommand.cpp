#include <fstream>

#include "explain/explain.h"
#include "fescuetillerctl/command.h"
#include "fescuetillerctl/texttable.h"

namespace fescuetiller {

namespace {

/** The non-empty fields as "name=value" pairs. */
std::string
FormatFields(const LogLine& aLine)
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
PrintTrace(Session& aSession, const std::vector<LogLine>& aTrace)
{
  TextTable table({ "ms", "node", "event", "details" });
  for (const auto& line : aTrace) {
    table.Add({ std::to_string(line.time - aTrace.front().time),
                line.node,
                line.event,
                FormatFields(line) });
  }
  table.Print(aSession.out);
}

ExitCode
ExplainRequest(Session& aSession,
               const CommonOptions& aOptions,
               const options::variables_map& aValues)
{
  auto id = TextOption(aValues, "request");
  if (id.empty() || aValues.count("files") == 0) {
    return ReportError(
      aSession, ExitCode::Usage, "explain needs a request id and log files");
  }
  std::vector<LogLine> lines;
  for (const auto& path : aValues["files"].as<std::vector<std::string>>()) {
    std::ifstream file(path);
    if (!file) {
      return ReportError(
        aSession, Error{ ErrorCode::Invalid, "read log", path, "cannot open" });
    }
    auto more = ParseLog(file);
    lines.insert(lines.end(), more.begin(), more.end());
  }
  auto trace = TraceRequest(lines, id);
  if (trace.empty()) {
    return ReportError(
      aSession,
      Error{ ErrorCode::Invalid,
             "find request",
             id,
             "no line of these logs has this id; successful requests "
             "are logged only while the log rate allows it" });
  }
  if (aOptions.json) {
    for (const auto& line : trace) {
      aSession.out << line.text << "\n";
    }
  } else {
    PrintTrace(aSession, trace);
  }
  return ExitCode::Ok;
}

} // namespace

Command
ExplainCommand()
{
  return { "explain",
           "REQUEST-ID FILE...",
           "Shows from daemons' logs how a request ended, and why.",
           "  fescuetillerctl explain 9c41d07be2a35f68 node-1.log node-2.log",
           { "request", "files" },
           nullptr,
           ExplainRequest,
           true };
}

} // namespace fescuetiller
