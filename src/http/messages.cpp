#include "http/messages.h"

#include <iterator>
#include <vector>

#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace fescuetiller {

const char*
ToString(CallStage aStage)
{
  switch (aStage) {
    case CallStage::NotSent:
      return "not-sent";
    case CallStage::Sent:
      return "sent";
    case CallStage::ResponseStarted:
      return "answering";
  }
  return "unknown";
}

void
RemoveHopByHopFields(http::fields& aFields)
{
  std::vector<std::string> listed;
  for (const auto& token : http::token_list(aFields[http::field::connection])) {
    listed.emplace_back(token.data(), token.size());
  }
  for (const auto& name : listed) {
    aFields.erase(name);
  }
  for (auto field : { http::field::connection,
                      http::field::keep_alive,
                      http::field::proxy_connection,
                      http::field::te,
                      http::field::trailer,
                      http::field::transfer_encoding,
                      http::field::upgrade,
                      http::field::expect }) {
    aFields.erase(field);
  }
}

bool
HasNoBody(http::status aStatus)
{
  return aStatus == http::status::no_content ||
         aStatus == http::status::not_modified;
}

bool
HasUnknownCoding(const http::fields& aFields)
{
  auto codings = aFields.equal_range(http::field::transfer_encoding);
  if (codings.first == codings.second) {
    return false;
  }
  return std::next(codings.first) != codings.second ||
         !boost::beast::iequals(codings.first->value(), "chunked");
}

HttpResponse
TextResponse(unsigned aStatus, const std::string& aText)
{
  HttpResponse response(static_cast<http::status>(aStatus), 11);
  response.set(http::field::content_type, "text/plain");
  response.body() = aText;
  return response;
}

HttpResponse
JsonResponse(unsigned aStatus, const std::string& aText)
{
  auto response = TextResponse(aStatus, aText);
  response.set(http::field::content_type, "application/json");
  return response;
}

Result<Tcp::endpoint>
ParseEndpoint(const std::string& aText)
{
  auto colon = aText.rfind(':');
  uint16_t port = 0;
  boost::system::error_code error;
  asio::ip::address address;
  if (colon != std::string::npos) {
    address = asio::ip::make_address(aText.substr(0, colon), error);
  }
  if (colon == std::string::npos || error ||
      !boost::conversion::try_lexical_convert(aText.substr(colon + 1), port)) {
    return tl::unexpected(
      Error{ ErrorCode::Invalid,
             "read address",
             aText,
             "expected an IP address and port, such as 10.1.0.38:8145" });
  }
  return Tcp::endpoint(address, port);
}

std::string
ToString(const Tcp::endpoint& aEndpoint)
{
  return aEndpoint.address().to_string() + ":" +
         std::to_string(aEndpoint.port());
}

} // namespace fescuetiller
