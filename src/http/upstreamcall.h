#pragma once

#include <memory>

#include "http/connectionpool.h"
#include "http/messages.h"

namespace fescuetiller {

/** Bounds of one call. */
struct CallOptions
{
  Duration connectTimeout = std::chrono::milliseconds(500);
  Duration timeout = std::chrono::seconds(1); ///< For the whole call.
  /** How long the peer may leave sent bytes unacknowledged. */
  Duration ackTimeout = std::chrono::milliseconds(1000);
  /** How long the connection may idle before it is used again, unless the
   * peer's Keep-Alive says less. */
  Duration idleTimeout = std::chrono::seconds(4);
  /** Response field that must repeat the request's value; responses with
   * another value belong to other requests and are skipped. */
  std::string correlationField;
};

/**
 * Sends one request over a pooled or new connection and passes the answer on.
 * Cancelling closes the connection, which tells the peer to stop working.
 */
class UpstreamCall : public std::enable_shared_from_this<UpstreamCall>
{
public:
  /** Starts a call. The receiver lives until the call ends or is cancelled. */
  static std::shared_ptr<UpstreamCall> Start(
    ConnectionPool& aPool,
    const Tcp::endpoint& aPeer,
    HttpRequest aRequest,
    CallOptions aOptions,
    std::shared_ptr<ResponseReceiver> aReceiver);

  void Cancel();

private:
  using Parser = http::response_parser<http::buffer_body>;

  UpstreamCall(ConnectionPool& aPool,
               const Tcp::endpoint& aPeer,
               HttpRequest aRequest,
               CallOptions aOptions,
               std::shared_ptr<ResponseReceiver> aReceiver);

  void Connect();
  void ArmTimer(Duration aTimeout, const char* aStep);
  /** Sends the request if there is time left. */
  void Send();
  void Write();
  void ReadHead();
  void OnHeaders();
  void ReadWhole();
  void ReadBody(bool aMore, std::function<void(size_t)> aRead);
  void ReadPiece();
  void Complete();
  void Release();
  void Fail(const std::string& aStep,
            const boost::system::error_code& aError,
            const std::string& aMessage = "");
  bool Matches() const;
  void PrepareParser();
  HttpResponse TakeWhole();

  ConnectionPool& pool;
  Tcp::endpoint peer;
  HttpRequest request;
  CallOptions options;
  std::shared_ptr<ResponseReceiver> receiver;
  asio::steady_timer timer;
  std::unique_ptr<Connection> connection;
  std::unique_ptr<Parser> parser;
  std::string body;
  size_t bodyBytes = 0;
  Time startedAt;
  CallStage stage = CallStage::NotSent;
  bool written = false;
  bool skipping = false; ///< The response belongs to another request.
  bool streaming = false;
  bool ended = false;
};

} // namespace fescuetiller
