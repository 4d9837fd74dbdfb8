#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <utility>
#include <vector>

namespace fescuetiller {

/** One line of a daemon's log. */
struct LogLine
{
  int64_t time = 0; ///< Unix milliseconds by the daemon's clock.
  std::string node;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string text; ///< As it was written.

  /** Empty when the line has no such field. */
  std::string Field(const std::string& aName) const;

  friend bool operator==(const LogLine& aLeft, const LogLine& aRight);
};

/** Reads log lines; what precedes the JSON object of a line, such as a prefix
 * of a log collector, is ignored, and so are lines without one. */
std::vector<LogLine>
ReadLog(std::istream& aLog);

/** How much around a request belongs to its story. */
struct StorySettings
{
  /** Time before the request's first line and after its last; longer than a
   * takeover takes. */
  int64_t aroundMs = 5000;
};

/**
 * The lines of a request and of the calls that it made, and the changes of
 * state around it at the daemons that it touched, in order of time. Empty when
 * no line has the request.
 */
std::vector<LogLine>
TellStory(const std::vector<LogLine>& aLines,
          const std::string& aRequestId,
          const StorySettings& aSettings = {});

} // namespace fescuetiller
