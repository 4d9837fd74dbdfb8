#include "platform/jsonvalue.h"

#include <cmath>

#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace fescuetiller {

Result<nlohmann::json>
ParseJson(const std::string& aText,
          const std::string& aOperation,
          const std::string& aPeer)
{
  auto parsed = nlohmann::json::parse(aText, nullptr, false);
  if (parsed.is_discarded()) {
    return tl::unexpected(
      Error{ ErrorCode::Invalid, aOperation, aPeer, "not valid JSON" });
  }
  return parsed;
}

Duration
ReadTime(const JsonObject& aObject, const char* aName)
{
  auto time = ParseDuration(aObject.Text(aName), aName);
  if (!time) {
    throw JsonMismatch{ std::string("field '") + aName + "' " +
                        time.error().message };
  }
  return *time;
}

Result<Duration>
ParseDuration(const std::string& aText, const std::string& aOperation)
{
  constexpr double kMaxSeconds = 1e6;
  auto invalid =
    tl::unexpected(Error{ ErrorCode::Invalid,
                          aOperation,
                          aText,
                          "must be a number followed by ms or s" });
  auto unit = aText.find_first_not_of("0123456789.");
  if (unit == std::string::npos) {
    return invalid;
  }
  double number = 0;
  bool seconds = aText.substr(unit) == "s";
  if ((!seconds && aText.substr(unit) != "ms") ||
      !boost::conversion::try_lexical_convert(aText.substr(0, unit), number)) {
    return invalid;
  }
  number = seconds ? number : number / 1e3;
  if (number > kMaxSeconds) {
    return invalid;
  }
  return Duration(static_cast<int64_t>(std::llround(number * 1e9)));
}

std::string
FormatDuration(Duration aDuration)
{
  return std::to_string(ToMilliseconds(aDuration)) + "ms";
}

} // namespace fescuetiller
