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
 * written when all responses to earlier requests are. Until then, another one
 * can take its place; it is kept as a whole if it is short, and a longer one
 * waits with the beginning of its body. Does no I/O.
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

  /** Drops what is known of the response. Not once it is begun. */
  void Discard();
  /** Sets the complete response, in place of one that was started. */
  void SetWhole(HttpResponse aResponse);
  /** Starts a response, in place of one that was started before. */
  void Start(ResponseHeaders aHeaders);
  /** @param aNext Called when the chunk is written. */
  void SetChunk(asio::const_buffer aChunk, std::function<void()> aNext);
  /** Keeps a copy of a chunk of a response whose turn has not come.
   * @return Whether there is room for it. */
  bool Hold(asio::const_buffer aChunk);
  void End();
  void Abort(ConnectionEnd aEnd);

  /** How much of the response is known. */
  UnansweredRequest::Response Known() const;
  /** Why the connection is to be closed, if that is the next step. */
  ConnectionEnd AbortedBy() const;
  Step NextStep() const;
  /** Whether a part of it has been written or is being written, so that no
   * other response can take its place. */
  bool IsBegun() const;
  /** Whether it is known whole. */
  bool IsComplete() const;
  /** Whether the body ends where the connection does, since neither a length
   * nor chunks tell. */
  bool EndsWithConnection() const;
  /** Bytes of the body that the response holds now. */
  size_t HeldBytes() const;

  /** Begins or continues to write it. Completes the headers. */
  void Begin(bool aKeepAlive);
  HttpResponse& Whole();
  /** The serializer of a response in chunks, set to the next step. */
  Serializer& Prepare();
  /** The chunk has been written. @return Requests the next one; empty if the
   * chunk was held. */
  std::function<void()> TakeChunkCallback();

private:
  std::optional<HttpResponse> whole;
  std::unique_ptr<Streamed> streamed;
  std::unique_ptr<Serializer> serializer;
  std::string held; ///< Beginning of the body, if it had to wait.
  asio::const_buffer chunk;
  std::function<void()> next; ///< Set while a chunk waits or is written.
  bool begun = false;
  bool ended = false;
  std::optional<ConnectionEnd> aborted;
};

} // namespace fescuetiller
