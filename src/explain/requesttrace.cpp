#include "explain/requesttrace.h"

#include <algorithm>
#include <set>
#include <tuple>

#include <nlohmann/json.hpp>

namespace fescuetiller {

namespace {

constexpr const char* kRequestField = "request";
/** The id of a call consists of the id of the request that made it, this
 * separator and a suffix. */
constexpr char kCallIdSeparator = '.';

std::string
ToText(const nlohmann::ordered_json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

bool
BelongsToRequest(const LogLine& aLine, const std::string& aRequestId)
{
  auto id = aLine.FieldValue(kRequestField);
  return id == aRequestId ||
         (id.size() > aRequestId.size() &&
          id.compare(0, aRequestId.size(), aRequestId) == 0 &&
          id[aRequestId.size()] == kCallIdSeparator);
}

} // namespace

bool
operator==(const LogLine& aLeft, const LogLine& aRight)
{
  auto tie = [](const LogLine& aLine) {
    return std::tie(
      aLine.time, aLine.node, aLine.event, aLine.fields, aLine.text);
  };
  return tie(aLeft) == tie(aRight);
}

std::string
LogLine::FieldValue(const std::string& aName) const
{
  for (const auto& [name, value] : this->fields) {
    if (name == aName) {
      return value;
    }
  }
  return "";
}

std::vector<LogLine>
ParseLog(std::istream& aLog)
{
  std::vector<LogLine> lines;
  std::string text;
  while (std::getline(aLog, text)) {
    auto start = text.find('{');
    if (start == std::string::npos) {
      continue;
    }
    auto value =
      nlohmann::ordered_json::parse(text.substr(start), nullptr, false);
    if (!value.is_object() || !value.contains("time_ms") ||
        !value["time_ms"].is_number_integer() || !value.contains("event")) {
      continue;
    }
    LogLine line;
    line.text = text.substr(start);
    for (const auto& [name, member] : value.items()) {
      if (name == "time_ms") {
        line.time = member.get<int64_t>();
      } else if (name == "node") {
        line.node = ToText(member);
      } else if (name == "event") {
        line.event = ToText(member);
      } else {
        line.fields.emplace_back(name, ToText(member));
      }
    }
    lines.push_back(std::move(line));
  }
  return lines;
}

std::vector<LogLine>
TraceRequest(const std::vector<LogLine>& aLines,
             const std::string& aRequestId,
             const TraceSettings& aSettings)
{
  std::vector<LogLine> trace;
  std::set<std::string> nodes;
  int64_t first = INT64_MAX;
  int64_t last = INT64_MIN;
  for (const auto& line : aLines) {
    if (BelongsToRequest(line, aRequestId)) {
      trace.push_back(line);
      nodes.insert(line.node);
      first = std::min(first, line.time);
      last = std::max(last, line.time);
    }
  }
  if (trace.empty()) {
    return trace;
  }
  for (const auto& line : aLines) {
    bool near = line.time >= first - aSettings.contextMs &&
                line.time <= last + aSettings.contextMs;
    if (near && nodes.count(line.node) > 0 &&
        line.FieldValue(kRequestField).empty()) {
      trace.push_back(line);
    }
  }
  std::stable_sort(trace.begin(),
                   trace.end(),
                   [](const LogLine& aLeft, const LogLine& aRight) {
                     return aLeft.time < aRight.time;
                   });
  return trace;
}

} // namespace fescuetiller
