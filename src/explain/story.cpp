#include "explain/story.h"

#include <algorithm>
#include <set>
#include <tuple>

#include <nlohmann/json.hpp>

namespace fescuetiller {

namespace {

constexpr const char* kRequestField = "request";
/** Between a request's id and the rest of the id of a call that it made. */
constexpr char kCallSeparator = '.';

std::string
ToText(const nlohmann::ordered_json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

bool
IsOfRequest(const LogLine& aLine, const std::string& aRequestId)
{
  auto id = aLine.Field(kRequestField);
  return id == aRequestId ||
         (id.size() > aRequestId.size() &&
          id.compare(0, aRequestId.size(), aRequestId) == 0 &&
          id[aRequestId.size()] == kCallSeparator);
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
LogLine::Field(const std::string& aName) const
{
  for (const auto& [name, value] : this->fields) {
    if (name == aName) {
      return value;
    }
  }
  return "";
}

std::vector<LogLine>
ReadLog(std::istream& aLog)
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
TellStory(const std::vector<LogLine>& aLines,
          const std::string& aRequestId,
          const StorySettings& aSettings)
{
  std::vector<LogLine> story;
  std::set<std::string> nodes;
  int64_t first = INT64_MAX;
  int64_t last = INT64_MIN;
  for (const auto& line : aLines) {
    if (IsOfRequest(line, aRequestId)) {
      story.push_back(line);
      nodes.insert(line.node);
      first = std::min(first, line.time);
      last = std::max(last, line.time);
    }
  }
  if (story.empty()) {
    return story;
  }
  for (const auto& line : aLines) {
    bool near = line.time >= first - aSettings.aroundMs &&
                line.time <= last + aSettings.aroundMs;
    if (near && nodes.count(line.node) > 0 &&
        line.Field(kRequestField).empty()) {
      story.push_back(line);
    }
  }
  std::stable_sort(story.begin(),
                   story.end(),
                   [](const LogLine& aLeft, const LogLine& aRight) {
                     return aLeft.time < aRight.time;
                   });
  return story;
}

} // namespace fescuetiller
