#include "http/urlquery.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace fescuetiller {

namespace {

constexpr unsigned kBase = 16;
constexpr std::string_view kDigits = "0123456789ABCDEF";

/** Value of a hexadecimal digit; kBase for any other character. */
unsigned
HexValue(char aCharacter)
{
  auto upper =
    static_cast<char>(std::toupper(static_cast<unsigned char>(aCharacter)));
  auto found = kDigits.find(upper);
  return found == std::string_view::npos ? kBase : static_cast<unsigned>(found);
}

} // namespace

std::string
PercentEncode(const std::string& aText)
{
  constexpr std::string_view kUnreservedMarks = "-._~";
  constexpr unsigned char kFirstNonAscii = 0x80;
  std::string encoded;
  encoded.reserve(aText.size());
  for (char character : aText) {
    auto byte = static_cast<unsigned char>(character);
    bool unreserved =
      byte < kFirstNonAscii &&
      (std::isalnum(byte) != 0 ||
       kUnreservedMarks.find(character) != kUnreservedMarks.npos);
    if (unreserved) {
      encoded += character;
    } else {
      encoded += { '%', kDigits[byte / kBase], kDigits[byte % kBase] };
    }
  }
  return encoded;
}

std::optional<std::string>
PercentDecode(const std::string& aText)
{
  std::string decoded;
  decoded.reserve(aText.size());
  for (size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] != '%') {
      decoded += aText[at];
      continue;
    }
    if (at + 2 >= aText.size()) {
      return std::nullopt;
    }
    auto high = HexValue(aText[at + 1]);
    auto low = HexValue(aText[at + 2]);
    if (high == kBase || low == kBase) {
      return std::nullopt;
    }
    decoded += static_cast<char>(high * kBase + low);
    at += 2;
  }
  return decoded;
}

std::map<std::string, std::string>
ParseQuery(const std::string& aTarget)
{
  std::map<std::string, std::string> parameters;
  auto mark = aTarget.find('?');
  size_t at = mark == std::string::npos ? aTarget.size() : mark + 1;
  while (at < aTarget.size()) {
    auto end = std::min(aTarget.find('&', at), aTarget.size());
    auto equals = std::min(aTarget.find('=', at), end);
    auto name = PercentDecode(aTarget.substr(at, equals - at));
    auto value = PercentDecode(
      equals < end ? aTarget.substr(equals + 1, end - equals - 1) : "");
    if (name && value) {
      parameters[*name] = *value;
    }
    at = end + 1;
  }
  return parameters;
}

} // namespace fescuetiller
