#include "http/responseparser.h"

namespace fescuetiller {

namespace {

/** Range of the status codes that are defined (RFC 9110, section 15). */
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;

} // namespace

ResponseParser::ResponseParser()
{
  this->get().result(0U); // Until the status line is parsed.
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
  if (!isDefined) {
    aError = http::error::bad_status;
  }
}

} // namespace fescuetiller
