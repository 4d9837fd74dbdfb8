#pragma once

#include "http/messages.h"

namespace fescuetiller {

/**
 * Parser of a request that bounds what Beast's own one does not: the number of
 * header and trailer fields, and the overhead of chunks. Tells how much memory
 * the request holds.
 */
class RequestParser : public http::basic_parser<true>
{
public:
  explicit RequestParser(uint32_t aMaxFields);

  const HttpRequest& get() const; // NOLINT(readability-identifier-naming)
  HttpRequest Release();

  /** Memory that the parsed fields take. */
  size_t FieldBytes() const;
  /** Memory that the body takes so far. */
  size_t BodyBytes() const;

private:
  using ErrorCode = boost::system::error_code;
  using View = boost::beast::string_view;

  void on_request_impl(http::verb aMethod,
                       View aMethodText,
                       View aTarget,
                       int aVersion,
                       ErrorCode& aError) override;
  void on_response_impl(int aCode,
                        View aReason,
                        int aVersion,
                        ErrorCode& aError) override;
  void on_field_impl(http::field aName,
                     View aNameText,
                     View aValue,
                     ErrorCode& aError) override;
  void on_header_impl(ErrorCode& aError) override;
  void on_body_init_impl(const boost::optional<uint64_t>& aLength,
                         ErrorCode& aError) override;
  size_t on_body_impl(View aBody, ErrorCode& aError) override;
  void on_chunk_header_impl(uint64_t aSize,
                            View aExtensions,
                            ErrorCode& aError) override;
  size_t on_chunk_body_impl(uint64_t aRemaining,
                            View aBody,
                            ErrorCode& aError) override;
  void on_finish_impl(ErrorCode& aError) override;

  HttpRequest request;
  uint32_t maxFields;
  uint32_t fields = 0;
  size_t fieldTextBytes = 0;
  uint64_t chunks = 0;
};

} // namespace fescuetiller
