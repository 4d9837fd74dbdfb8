#include "platform/base64.h"

#include <algorithm>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace fescuetiller {

namespace {

namespace iterators = boost::archive::iterators;

} // namespace

std::string
EncodeBase64(const std::string& aBytes)
{
  using Encoder = iterators::base64_from_binary<
    iterators::transform_width<std::string::const_iterator, 6, 8>>;
  std::string text(Encoder(aBytes.begin()), Encoder(aBytes.end()));
  return text.append((3 - aBytes.size() % 3) % 3, '=');
}

std::optional<std::string>
DecodeBase64(std::string aText)
{
  using Decoder = iterators::transform_width<
    iterators::binary_from_base64<std::string::const_iterator>,
    8,
    6>;
  constexpr size_t kGroup = 4;
  constexpr size_t kMaxPadding = 2;
  // The decoder reads beyond the end of an incomplete group.
  size_t used = aText.find_last_not_of('=') + 1;
  size_t padding = aText.size() - used;
  if (aText.size() % kGroup != 0 || padding > kMaxPadding ||
      aText.find('=') < used) {
    return std::nullopt;
  }
  std::replace(aText.begin(), aText.end(), '=', 'A');
  try {
    std::string bytes(Decoder(aText.cbegin()), Decoder(aText.cend()));
    bytes.resize(bytes.size() - padding);
    return bytes;
  } catch (const iterators::dataflow_exception&) {
    return std::nullopt;
  }
}

} // namespace fescuetiller
