#pragma once

#include <optional>
#include <string>

namespace fescuetiller {

std::string
EncodeBase64(const std::string& aBytes);

/** Returns nothing if the text is not base64. */
std::optional<std::string>
DecodeBase64(std::string aText);

} // namespace fescuetiller
