#include "platform/serverheaders.h"

#include <cmath>
#include <vector>

#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace fescuetiller {

namespace {

/** Longest text of a load: four numbers of 32 bits. */
constexpr size_t kMaxLoadBytes = 48;
constexpr double kPercent = 100;
/** Longest time for which a server is taken to be cold by one statement. */
constexpr int64_t kMaxColdMs = 3600 * 1000;

/** Parses a number without a sign; the conversion alone would take "-1" as a
 * large one. */
bool
ParseCount(const std::string& aText, uint32_t& aCount)
{
  return !aText.empty() && aText[0] != '-' && aText[0] != '+' &&
         boost::conversion::try_lexical_convert(aText, aCount);
}

} // namespace

Result<std::optional<double>>
ParseRequestLimit(const std::string& aText, const std::string& aServerId)
{
  if (aText.empty()) {
    return std::nullopt;
  }
  double limit = 0;
  if (!boost::conversion::try_lexical_convert(aText, limit) ||
      !std::isfinite(limit) || limit < 0) {
    return tl::unexpected(Error{ ErrorCode::Invalid,
                                 "read request limit",
                                 aServerId,
                                 "'" + aText + "' is not a rate" });
  }
  return limit;
}

Result<std::optional<ServerLoad>>
ParseServerLoad(const std::string& aText, const std::string& aServerId)
{
  if (aText.empty()) {
    return std::nullopt;
  }
  auto malformed = [&] {
    return tl::unexpected(
      Error{ ErrorCode::Invalid,
             "read server load",
             aServerId,
             "'" + aText.substr(0, kMaxLoadBytes) + "' is not a load" });
  };
  if (aText.size() > kMaxLoadBytes) {
    return malformed();
  }
  std::vector<std::string> figures;
  boost::split(
    figures, aText, [](char aCharacter) { return aCharacter == ','; });
  for (auto& figure : figures) {
    boost::trim(figure);
  }
  ServerLoad load;
  if ((figures.size() != 3 && figures.size() != 4) ||
      !ParseCount(figures[0], load.running) ||
      !ParseCount(figures[1], load.waiting) ||
      !ParseCount(figures[2], load.slots)) {
    return malformed();
  }
  if (figures.size() == 4) {
    uint32_t percent = 0;
    if (!ParseCount(figures[3], percent) || percent == 0) {
      return malformed();
    }
    load.slowness = percent / kPercent;
  }
  return load;
}

Result<std::optional<Duration>>
ParseColdTime(const std::string& aText, const std::string& aServerId)
{
  if (aText.empty()) {
    return std::nullopt;
  }
  int64_t milliseconds = 0;
  if (!boost::conversion::try_lexical_convert(aText, milliseconds) ||
      milliseconds < 0 || milliseconds > kMaxColdMs) {
    return tl::unexpected(Error{ ErrorCode::Invalid,
                                 "read cold time",
                                 aServerId,
                                 "'" + aText.substr(0, kMaxLoadBytes) +
                                   "' is not a time in milliseconds" });
  }
  return Duration(std::chrono::milliseconds(milliseconds));
}

} // namespace fescuetiller
