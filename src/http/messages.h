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

/** Status line and headers of a response whose body follows in chunks. */
struct ResponseHeaders
{
  http::response<http::empty_body> message;
  std::optional<uint64_t> contentLength; ///< Empty if not known in advance.
};

/** How far a call got that failed before its response was complete. */
enum class CallStage
{
  NotSent,        ///< The peer did not get enough to process the request.
  Sent,           ///< The peer may have processed the request.
  ResponseStarted ///< The headers of the response arrived, its end did not.
};

const char*
ToString(CallStage aStage);

/** Why a call failed. */
struct CallFailure
{
  CallStage stage = CallStage::NotSent;
  bool connectionRefused = false; ///< No process listens on the peer's address.
  bool timedOut = false;          ///< The connection did not fail by itself.
  bool withdrawn = false; ///< CallOptions::beforeSend did not let it be sent.
  Error error;
};

/**
 * Receives the response to a call. The sequence of calls is one of
 *   - OnCompleteResponse, for short responses,
 *   - OnHeaders, any number of OnBodyChunk, OnBodyEnd, for long ones,
 *   - OnFailure, at any time before the response is complete.
 */
class ResponseReceiver
{
public:
  virtual ~ResponseReceiver() = default;

  virtual void OnCompleteResponse(HttpResponse aResponse) = 0;
  virtual void OnHeaders(ResponseHeaders aHeaders) = 0;
  /** @param aChunk Stays valid until aNext is called.
   * @param aNext Requests the next chunk. */
  virtual void OnBodyChunk(asio::const_buffer aChunk,
                           std::function<void()> aNext) = 0;
  virtual void OnBodyEnd() = 0;
  virtual void OnFailure(const CallFailure& aFailure) = 0;
};

/** Removes the headers that must not be forwarded because they concern a single
 * connection, including those that the Connection header lists. */
void
RemoveHopByHopFields(http::fields& aFields);

/** Whether responses with a status never have a body. */
bool
HasNoBody(http::status aStatus);

/** Whether a message has a transfer coding other than a single "chunked", so
 * that its body is unknown. */
bool
HasUnknownCoding(const http::fields& aFields);

/** Makes a response with a plain text body. */
HttpResponse
TextResponse(unsigned aStatus, const std::string& aText);

/** Makes a response with a JSON body. */
HttpResponse
JsonResponse(unsigned aStatus, const std::string& aText);

/** Parses an IP address and port such as "10.1.0.38:8145". */
Result<Tcp::endpoint>
ParseEndpoint(const std::string& aText);

std::string
ToString(const Tcp::endpoint& aEndpoint);

} // namespace fescuetiller
