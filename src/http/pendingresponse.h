#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "http/messages.h"
#include "http/unansweredrequest.h"

namespace fescuetiller {

class Exchange;

/**
 * The response to one request of a connection, as far as it is known. It is
 * written when all responses to earlier requests are; until then, a complete
 * response is kept, and a longer one waits with its first chunk. Does no I/O.
 */
class PendingResponse
{
public:
  using Streamed = http::response<http::buffer_body>;
  using Serializer = http::response_serializer<http::buffer_body>;

  /** What is to be written next. */
  enum class Step
  {
    Wait,  ///< Nothing is known yet.
    Whole, ///< The complete response.
    Chunk, ///< Headers, if they are not written yet, and a part of the body.
    End,   ///< The end of the body.
    Abort, ///< Nothing further: the connection is closed.
  };

  std::weak_ptr<Exchange> exchange; ///< Expires if nobody responds any more.
  std::string requestId;            ///< For reports.
  Time receivedAt;                  ///< When the headers of its request were.
  std::optional<Time> knownSince;   ///< When it, or its headers, became known.
  bool headRequest = false;         ///< The request's method is HEAD.
  /** The client does not know chunked bodies (HTTP/1.0). */
  bool mustNotChunk = false;
  size_t waitedBytes = 0;  ///< Size when it began to wait; 0 if it did not.
  size_t requestBytes = 0; ///< What its request holds in the account.
  size_t heldBytes = 0;    ///< What the response itself holds there.

  void SetWhole(HttpResponse aResponse);
  void Start(ResponseHeaders aHeaders);
  /** @param aNext Called when the chunk is written. */
  void SetChunk(asio::const_buffer aChunk, std::function<void()> aNext);
  void End();
  void Abort(ConnectionEnd aEnd);

  /** How much of the response is known. */
  UnansweredRequest::Response Known() const;
  /** Why the connection is to be closed, if that is the next step. */
  ConnectionEnd AbortedBy() const;
  Step NextStep() const;
  /** Whether the body ends where the connection does, since neither a length
   * nor chunks tell. */
  bool EndsWithConnection() const;
  /** Bytes of the body that the response holds now. */
  size_t HeldBytes() const;

  /** Completes the headers of the response that is written next. */
  void SetKeepAlive(bool aKeepAlive);
  HttpResponse& Whole();
  /** The serializer of a response in chunks, set to the next step. */
  Serializer& Prepare();
  /** Takes the callback of the chunk that has been written. */
  std::function<void()> TakeChunkCallback();

private:
  std::optional<HttpResponse> whole;
  std::unique_ptr<Streamed> streamed;
  std::unique_ptr<Serializer> serializer;
  asio::const_buffer chunk;
  std::function<void()> next; ///< Set while a chunk waits or is written.
  bool ended = false;
  std::optional<ConnectionEnd> aborted;
};

} // namespace fescuetiller
