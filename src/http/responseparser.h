#pragma once

#include <boost/beast/core/flat_buffer.hpp>

#include "http/messages.h"

namespace fescuetiller {

/**
 * Parser of a response that refuses what Beast's own one accepts although it is
 * no well-formed response. Trailers are checked, but not kept. The body is read
 * into the caller's buffer.
 */
class ResponseParser : public http::response_parser<http::buffer_body>
{
public:
  /** @param aInput The buffer whose data the parser gets. Must exist while
   * the parser is used. */
  explicit ResponseParser(const boost::beast::flat_buffer& aInput);

  /** Whether the response is one that precedes the final one (1xx). */
  bool IsInterim() const;

private:
  using ErrorCode = boost::system::error_code;
  using View = boost::beast::string_view;

  void on_response_impl(int aCode,
                        View aReason,
                        int aVersion,
                        ErrorCode& aError) override;
  void on_field_impl(http::field aName,
                     View aNameText,
                     View aValue,
                     ErrorCode& aError) override;
  void on_header_impl(ErrorCode& aError) override;

  /** Whether the value continues on another line (obsolete line folding). */
  bool IsFolded(View aNameText, View aValue) const;

  const boost::beast::flat_buffer& input;
};

} // namespace fescuetiller
