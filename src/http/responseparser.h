#pragma once

#include "http/messages.h"

namespace fescuetiller {

/**
 * Parser of a response that refuses what Beast's own one accepts although it is
 * no well-formed response. The body is read into the caller's buffer.
 */
class ResponseParser : public http::response_parser<http::buffer_body>
{
public:
  ResponseParser();

private:
  using ErrorCode = boost::system::error_code;
  using View = boost::beast::string_view;

  void on_response_impl(int aCode,
                        View aReason,
                        int aVersion,
                        ErrorCode& aError) override;
};

} // namespace fescuetiller
