#include "http/requestparser.h"

namespace fescuetiller {

namespace {

/** What a field takes in addition to its text: Beast keeps each one in a block
 * of its own, which is also in a list and in a set. */
constexpr size_t kFieldOverhead = 96;
/** Number of chunks from which on their mean size matters. Clients that send
 * short pieces as they come up have a few hundred of them. */
constexpr uint64_t kFreeChunks = 2048;
/** Each chunk costs some 6 bytes and a step of the parser. */
constexpr uint64_t kMinMeanChunkBytes = 16;
constexpr size_t kMaxChunkExtensionBytes = 256;

} // namespace

RequestParser::RequestParser(uint32_t aMaxFields)
  : maxFields(aMaxFields)
{
}

const HttpRequest&
RequestParser::get() const
{
  return this->request;
}

HttpRequest
RequestParser::Release()
{
  return std::move(this->request);
}

size_t
RequestParser::FieldBytes() const
{
  return this->fieldTextBytes + this->fields * kFieldOverhead;
}

size_t
RequestParser::BodyBytes() const
{
  return this->request.body().capacity();
}

void
RequestParser::on_request_impl(http::verb aMethod,
                               View aMethodText,
                               View aTarget,
                               int aVersion,
                               ErrorCode& aError)
{
  this->request.target(aTarget);
  if (aMethod == http::verb::unknown) {
    this->request.method_string(aMethodText);
  } else {
    this->request.method(aMethod);
  }
  this->request.version(static_cast<unsigned>(aVersion));
  this->fieldTextBytes += aTarget.size();
  aError = {};
}

void
RequestParser::on_response_impl(int, View, int, ErrorCode&)
{
}

void
RequestParser::on_field_impl(http::field aName,
                             View aNameText,
                             View aValue,
                             ErrorCode& aError)
{
  if (this->fields >= this->maxFields) {
    aError = http::error::header_limit;
    return;
  }
  ++this->fields;
  this->fieldTextBytes += aNameText.size() + aValue.size();
  this->request.insert(aName, aNameText, aValue);
  aError = {};
}

void
RequestParser::on_header_impl(ErrorCode& aError)
{
  // Beast takes a request whose last coding is not "chunked" for one without a
  // body, and removes no other coding.
  aError = {};
  if (HasUnknownCoding(this->request)) {
    aError = http::error::bad_transfer_encoding;
  }
}

void
RequestParser::on_body_init_impl(const boost::optional<uint64_t>& aLength,
                                 ErrorCode& aError)
{
  if (aLength) {
    this->request.body().reserve(static_cast<size_t>(*aLength));
  }
  aError = {};
}

size_t
RequestParser::on_body_impl(View aBody, ErrorCode& aError)
{
  this->request.body().append(aBody.data(), aBody.size());
  aError = {};
  return aBody.size();
}

void
RequestParser::on_chunk_header_impl(uint64_t,
                                    View aExtensions,
                                    ErrorCode& aError)
{
  ++this->chunks;
  bool tooSmall =
    this->chunks > kFreeChunks &&
    this->request.body().size() < this->chunks * kMinMeanChunkBytes;
  aError = {};
  if (tooSmall || aExtensions.size() > kMaxChunkExtensionBytes) {
    aError = http::error::bad_chunk;
  }
}

size_t
RequestParser::on_chunk_body_impl(uint64_t, View aBody, ErrorCode& aError)
{
  return this->on_body_impl(aBody, aError);
}

void
RequestParser::on_finish_impl(ErrorCode& aError)
{
  aError = {};
}

} // namespace fescuetiller
