#include "http/responseparser.h"

#include <algorithm>
#include <functional>

namespace fescuetiller {

namespace {

/** Range of the status codes that are defined (RFC 9110, section 15). */
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
/** Requests never ask for it, and what follows is not HTTP. */
constexpr int kSwitchingProtocols = 101;
constexpr unsigned kHttp11 = 11; ///< As Beast writes versions.

} // namespace

ResponseParser::ResponseParser(const boost::beast::flat_buffer& aInput)
  : input(aInput)
{
  this->get().result(0U); // Until the status line is parsed.
}

bool
ResponseParser::IsInterim() const
{
  return http::to_status_class(this->get().result_int()) ==
         http::status_class::informational;
}

void
ResponseParser::on_response_impl(int aCode,
                                 View aReason,
                                 int aVersion,
                                 ErrorCode& aError)
{
  this->get().result(static_cast<unsigned>(aCode));
  this->get().reason(aReason);
  this->get().version(static_cast<unsigned>(aVersion));
  bool isDefined = kFirstStatus <= aCode && aCode <= kLastStatus;
  aError = {};
  if (!isDefined || aCode == kSwitchingProtocols) {
    aError = http::error::bad_status;
  }
}

void
ResponseParser::on_field_impl(http::field aName,
                              View aNameText,
                              View aValue,
                              ErrorCode& aError)
{
  aError = {};
  if (this->IsFolded(aNameText, aValue)) {
    aError = http::error::bad_value;
    return;
  }
  if (!this->is_header_done()) { // Otherwise it is a trailer.
    this->get().insert(aName, aNameText, aValue);
  }
}

void
ResponseParser::on_header_impl(ErrorCode& aError)
{
  // Beast reads a response whose last coding is not "chunked" until the end of
  // the connection, and removes no other coding. HTTP/1.0 has no codings. A
  // body that follows an interim response would be read as the next response.
  const auto& response = this->get();
  bool isInterim = this->IsInterim();
  aError = {};
  if (HasUnknownCoding(response) ||
      (this->chunked() && (isInterim || response.version() < kHttp11))) {
    aError = http::error::bad_transfer_encoding;
  } else if (isInterim && this->content_length().value_or(0) > 0) {
    aError = http::error::bad_content_length;
  }
}

bool
ResponseParser::IsFolded(View aNameText, View aValue) const
{
  // Beast joins the lines of a folded value without telling so. It copies the
  // value, unless all lines but one are empty. Other values are part of the
  // input, on the line of their name.
  const auto* begin = static_cast<const char*>(this->input.data().data());
  const auto* end = begin + this->input.size();
  const std::less<> isBefore; // Also compares pointers to different arrays.
  bool isCopied = isBefore(aValue.data(), begin) || isBefore(end, aValue.end());
  const auto* nameEnd = aNameText.end();
  return isCopied || std::find(nameEnd, aValue.begin(), '\r') != aValue.begin();
}

} // namespace fescuetiller
