#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

#include "base/base.h"

namespace fescuetiller {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/** Status line and fields of an answer whose body follows in pieces. */
struct ResponseHeaders
{
  http::response<http::empty_body> message;
  std::optional<uint64_t> contentLength; ///< Nothing: it ends when it ends.
};

/** How far a call came that brought no whole answer. */
enum class CallStage
{
  NotSent,        ///< The peer cannot have read the whole request.
  Sent,           ///< The peer may have acted on it.
  ResponseStarted ///< The head of the answer came, its end did not.
};

const char*
ToString(CallStage aStage);

struct CallFailure
{
  CallStage stage = CallStage::NotSent;
  bool connectionRefused = false; ///< Nothing listens at the peer's address.
  Error error;
};

/** Takes the answer of a call: either whole, or its head and then pieces, or
 * a failure. Nothing follows a whole answer, the end or a failure. */
class ResponseReceiver
{
public:
  virtual ~ResponseReceiver() = default;

  virtual void OnCompleteResponse(HttpResponse aResponse) = 0;
  virtual void OnHeaders(ResponseHeaders aHeaders) = 0;
  /** @param aNext Asks for the next piece; aChunk stays valid until then. */
  virtual void OnBodyChunk(asio::const_buffer aChunk,
                           std::function<void()> aNext) = 0;
  virtual void OnBodyEnd() = 0;
  virtual void OnFailure(const CallFailure& aFailure) = 0;
};

/** Removes the fields that concern one connection only. */
void
RemoveHopByHopFields(http::fields& aFields);

/** An answer with a plain text body. */
HttpResponse
TextResponse(unsigned aStatus, const std::string& aText);

HttpResponse
JsonResponse(unsigned aStatus, const std::string& aText);

/** Reads "10.1.0.38:8145". */
Result<Tcp::endpoint>
ParseEndpoint(const std::string& aText);

std::string
ToString(const Tcp::endpoint& aEndpoint);

} // namespace fescuetiller
