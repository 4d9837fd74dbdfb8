#include "model/address.h"

#include <limits>

#include <boost/asio/ip/address.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace fescuetiller {

bool
IsAddress(const std::string& aText)
{
  auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  boost::system::error_code error;
  auto address = boost::asio::ip::make_address(aText.substr(0, colon), error);
  auto digits = aText.substr(colon + 1);
  uint32_t port = 0;
  return !error && !address.is_unspecified() && !address.is_multicast() &&
         digits.find_first_not_of("0123456789") == std::string::npos &&
         boost::conversion::try_lexical_convert(digits, port) && port > 0 &&
         port <= std::numeric_limits<uint16_t>::max();
}

} // namespace fescuetiller
