#pragma once

#include <map>
#include <optional>
#include <string>

namespace fescuetiller {

/** Writes every byte but letters, digits and "-._~" as %XX (RFC 3986). */
std::string
PercentEncode(const std::string& aText);

/** Nothing for a text with a percent sign that no two hex digits follow. */
std::optional<std::string>
PercentDecode(const std::string& aText);

/** Decoded parameters of a request's target; those that cannot be decoded are
 * left out. */
std::map<std::string, std::string>
ParseQuery(const std::string& aTarget);

} // namespace fescuetiller
