#pragma once

#include <string>

namespace fescuetiller {

/** Writes every byte but letters, digits and "-._~" as %XX (RFC 3986), so that
 * any key fits into a header or a URL. */
std::string
PercentEncode(const std::string& aText);

} // namespace fescuetiller
