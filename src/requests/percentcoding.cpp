#include "requests/percentcoding.h"

#include <cctype>
#include <string_view>

namespace fescuetiller {

std::string
PercentEncode(const std::string& aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr std::string_view kOthers = "-._~";
  constexpr unsigned kBase = 16;
  std::string encoded;
  encoded.reserve(aText.size());
  for (char character : aText) {
    auto byte = static_cast<unsigned char>(character);
    bool plain = byte < 0x80 && (std::isalnum(byte) != 0 ||
                                 kOthers.find(character) != std::string::npos);
    if (plain) {
      encoded += character;
    } else {
      encoded += '%';
      encoded += kDigits[byte / kBase];
      encoded += kDigits[byte % kBase];
    }
  }
  return encoded;
}

} // namespace fescuetiller
