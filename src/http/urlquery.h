#pragma once

#include <map>
#include <optional>
#include <string>

namespace fescuetiller {

/** Percent-encodes every byte except letters, digits and "-._~" (RFC 3986). */
std::string
PercentEncode(const std::string& aText);

/** Decodes percent-encoded text; empty if a percent sign is not followed by two
 * hexadecimal digits. */
std::optional<std::string>
PercentDecode(const std::string& aText);

/** Parses the query parameters of a request target. Parameters that cannot be
 * decoded are left out. */
std::map<std::string, std::string>
ParseQuery(const std::string& aTarget);

} // namespace fescuetiller
