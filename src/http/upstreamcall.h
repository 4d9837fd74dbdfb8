#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "http/connectionpool.h"
#include "http/messages.h"
#include "http/responseparser.h"

namespace fescuetiller {

/** Timeouts and options of a call. */
struct CallOptions
{
  Duration connectTimeout = std::chrono::milliseconds(500);
  Duration timeout = std::chrono::seconds(1); ///< For the whole call.
  /** If set, a long response that has begun may exceed the timeout as long as
   * no more than this time passes between its chunks. */
  std::optional<Duration> stallTimeout;
  /** How long sent data may stay unacknowledged before the connection fails
   * (TCP_USER_TIMEOUT). */
  Duration ackTimeout = std::chrono::milliseconds(1000);
  /** How long the connection may be idle and still be reused. A shorter timeout
   * in the peer's Keep-Alive header takes precedence. */
  Duration idleTimeout = std::chrono::seconds(4);
  /** Name of a header that the peer copies from the request to its response. A
   * response with another value belongs to another request and is skipped.
   * Empty to accept every response. */
  std::string correlationField;
  /** Whether the peer may send a response more than once, also without the
   * correlation field. Then a response without the field is only accepted as
   * the first one on a new connection, and a request is not sent over a
   * connection that has carried one with the same value of the field. */
  bool mayRepeatResponses = false;
  /** Whether the peer may begin to process a request before it has all of it.
   */
  bool mayProcessPart = false;
  /** Called when the connection is open, immediately before the request is
   * written, which may be long after the start of the call. May still change
   * the headers. If it returns false, the request is not sent. */
  std::function<bool(HttpRequest&)> beforeSend;
};

/**
 * Sends a request over a pooled or new connection and passes the response to a
 * receiver. Cancelling closes the connection, so that the peer can stop
 * processing the request.
 */
class UpstreamCall : public std::enable_shared_from_this<UpstreamCall>
{
public:
  /** Starts a call. The receiver is kept alive until the call ends or is
   * cancelled, and is never called before Start has returned. */
  static std::shared_ptr<UpstreamCall> Start(
    ConnectionPool& aPool,
    const Tcp::endpoint& aPeer,
    HttpRequest aRequest,
    CallOptions aOptions,
    std::shared_ptr<ResponseReceiver> aReceiver);

  /** Closes the connection; the receiver is not called again. */
  void Cancel();
  /** How far the call has come. */
  CallStage Stage() const;

private:
  UpstreamCall(ConnectionPool& aPool,
               const Tcp::endpoint& aPeer,
               HttpRequest aRequest,
               CallOptions aOptions,
               std::shared_ptr<ResponseReceiver> aReceiver);

  void Connect();
  void ArmTimer(Duration aTimeout, const char* aOperation);
  /** Sends the request unless the call's timeout has passed. */
  void Send();
  void WriteRequest();
  /** @param aSize Number of bytes that were written. */
  void OnWriteFailed(const boost::system::error_code& aError, size_t aSize);
  /** Whether the response is read while the request is still being written. */
  bool ReadsWhileWriting() const;
  /** Whether the end of a response that ends with its connection may be due to
   * a failure of the connection. */
  bool IsEndLost() const;
  void ReadHeaders();
  void OnHeaders();
  /** Reads and discards a response to another request. */
  void SkipResponse();
  void ReadWholeBody();
  void ReadBody(bool aMore, std::function<void(size_t)> aRead);
  void ReadChunk();
  void Complete();
  void ReturnConnection();
  void Fail(const std::string& aOperation,
            const boost::system::error_code& aError,
            const std::string& aMessage = "");
  /** Value of the correlation field. */
  std::string_view RequestId() const;
  /** Whether the headers that were read are those of the response to the
   * request. */
  bool IsResponseToRequest() const;
  /** Whether the headers may consist of those of two responses, the first of
   * which was broken off. */
  bool MayBeTwoResponses() const;
  /** Whether the response has no body, by its status, but states one. */
  bool MayHaveUnreadBody() const;
  /** Whether the connection may carry further requests. */
  bool IsReusable() const;
  /** Reports data that may not belong to the request. */
  void ReportUnexpected(UnexpectedData::Kind aKind,
                        bool aAccepted,
                        const std::string& aReason = "") const;
  void PrepareParser();
  HttpResponse TakeResponse();

  ConnectionPool& pool;
  Tcp::endpoint peer;
  HttpRequest request;
  CallOptions options;
  std::shared_ptr<ResponseReceiver> receiver;
  asio::steady_timer timer;
  std::unique_ptr<Connection> connection;
  std::unique_ptr<ResponseParser> parser;
  std::string body;     ///< Buffer for the whole body or one chunk.
  size_t bodyBytes = 0; ///< Bytes of a whole body.
  Time startedAt;
  CallStage stage = CallStage::NotSent;
  bool requestWritten = false;
  boost::system::error_code writeError; ///< Why the request was not written.
  bool withdrawn = false;               ///< The request may no longer be sent.
  size_t skippedBytes = 0; ///< Of the bodies of responses to other requests.
  size_t interimResponses = 0;
  bool streaming = false; ///< The response is passed on in chunks.
  bool ended = false;
};

} // namespace fescuetiller
