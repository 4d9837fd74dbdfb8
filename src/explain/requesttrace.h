#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <utility>
#include <vector>

namespace fescuetiller {

/** One line of a daemon's log, parsed. */
struct LogLine
{
  int64_t time = 0; ///< Unix milliseconds by the daemon's clock.
  std::string node; ///< Name of the daemon.
  std::string event;
  /** All other fields by name, in the order of the line. */
  std::vector<std::pair<std::string, std::string>> fields;
  std::string text; ///< The JSON object as it was written.

  /** @return The value of a field; empty when the line has no such field. */
  std::string FieldValue(const std::string& aName) const;

  friend bool operator==(const LogLine& aLeft, const LogLine& aRight);
};

/** Parses the lines of a log. Text before the JSON object of a line, such as a
 * log collector's prefix, is ignored. Lines without a valid object are skipped.
 */
std::vector<LogLine>
ParseLog(std::istream& aLog);

/** Limits of a request trace. */
struct TraceSettings
{
  /** State changes this long before the request's first line and after its last
   * are included, in milliseconds. Longer than a takeover takes. */
  int64_t contextMs = 5000;
};

/**
 * Collects the lines of a request and of the calls that it made, together with
 * the state changes around them at the daemons involved, in order of time.
 * @return Empty when no line has the request's id.
 */
std::vector<LogLine>
TraceRequest(const std::vector<LogLine>& aLines,
             const std::string& aRequestId,
             const TraceSettings& aSettings = {});

} // namespace fescuetiller
