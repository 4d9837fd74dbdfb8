#pragma once

#include <functional>
#include <memory>

#include <boost/beast/core/flat_buffer.hpp>

#include "http/messages.h"

namespace fescuetiller {

/** Bounds on what a client may send and how long it may take. */
struct SessionLimits
{
  uint32_t maxHeaderBytes = 16 * 1024;
  uint64_t maxBodyBytes = 1024 * 1024;
  Duration headerTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(60);
  bool closing = false; ///< Each answer ends its connection.
};

class ServerSession;

/**
 * One request and the way to answer it: whole, or as a head and pieces. When
 * the client leaves before the answer is whole, onClientDisconnect is called
 * once. An exchange that is dropped without an answer closes its connection.
 */
class Exchange
{
public:
  Exchange(HttpRequest aRequest, std::weak_ptr<ServerSession> aSession);
  ~Exchange();

  HttpRequest request;
  Time receivedAt;
  std::function<void()> onClientDisconnect; ///< Cleared before it is called.
  /** Adds fields to the answer's head; gets the outcome as the log names it. */
  std::function<void(http::fields&, const std::string&)> onResponseHeaders;

  void Respond(HttpResponse aResponse);
  void StartResponse(ResponseHeaders aHeaders);
  /** @param aNext Called once the piece is written. */
  void WriteChunk(asio::const_buffer aChunk, std::function<void()> aNext);
  void EndResponse();
  /** Closes the connection, so that an answer that was begun is seen as
   * incomplete. */
  void Abort();

  bool HasStartedResponse() const;

private:
  friend class ServerSession;

  std::weak_ptr<ServerSession> session;
  bool answered = false; ///< The answer was begun.
  bool gone = false;
};

/** A client's connection: reads a request, waits for its answer, goes on. */
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  ServerSession(Tcp::socket aSocket,
                const Handler& aHandler,
                const SessionLimits& aLimits);

  void Start();
  void CloseIfTimedOut(Time aNow);
  bool IsClosed() const;
  /** Whether a request waits for its answer or the answer is being written. */
  bool IsBusy() const;
  void Close();
  /** Closes the connection unless a part of a request has come. */
  void CloseIfIdle();

  void Respond(HttpResponse aResponse);
  void StartResponse(ResponseHeaders aHeaders);
  void WriteChunk(asio::const_buffer aChunk, std::function<void()> aNext);
  void EndResponse();

private:
  enum class State
  {
    Idle,    ///< Nothing of the next request has come.
    Reading, ///< A part of a request has come.
    Busy,    ///< A request waits for its answer.
    Closed,
  };
  using Parser = http::request_parser<http::string_body>;
  using Streaming = http::response<http::buffer_body>;

  void Watch();
  void OnReadable();
  void ReadHeader();
  void ReadBody();
  void OnRequest();
  void Refuse(const boost::system::error_code& aError);
  void SendContinue();
  void FinishAnswer(bool aKeepAlive);
  void ClientGone();

  Tcp::socket socket;
  const Handler& handler;
  const SessionLimits& limits;
  boost::beast::flat_buffer buffer;
  std::unique_ptr<Parser> parser;
  std::weak_ptr<Exchange> exchange;
  std::unique_ptr<HttpResponse> whole;
  std::unique_ptr<Streaming> stream;
  std::unique_ptr<http::response_serializer<http::buffer_body>> serializer;
  State state = State::Idle;
  Time since; ///< Start of the state.
  bool watching = false;
  bool pipelined = false;
  bool keepAlive = true;
  bool headRequest = false;
};

} // namespace fescuetiller
