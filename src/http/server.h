#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "http/messages.h"
#include "http/serversession.h"

namespace fescuetiller {

/**
 * HTTP server that accepts connections on one address and passes the requests
 * to a handler. Not thread-safe: everything runs on the context's thread.
 */
class HttpServer
{
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  HttpServer(asio::io_context& aContext, Handler aHandler);

  SessionRules rules;

  /** Lets the connections share an account with those of other servers of the
   * thread. Without it, the server has one of its own.
   * @param aName Name of the listening address. */
  void SetMemory(std::shared_ptr<ConnectionMemory> aMemory, std::string aName);

  Result<void> Listen(const Tcp::endpoint& aAddress);
  /** Listens on an address in text form; does nothing if it is empty. */
  Result<void> Listen(const std::string& aAddress);

  /** Sets the limits for requests that arrive later. */
  void SetLimits(const SessionLimits& aLimits);

  /** Closes each connection after its next response, which announces that. */
  void AnnounceClose();

  /** Accepts no new connections but those that clients have already made, and
   * closes connections without a request. The others are closed after their
   * responses.
   */
  void StopAccepting();

  /** Like StopAccepting, but sends a final response over the connections
   * without a request, and over those that clients still make. They stay open
   * until the clients close them. Only for clients that take it as the response
   * to a request that crosses it. */
  void DismissClients(const HttpResponse& aFinalResponse);

  /** Whether clients have not closed all connections over which the final
   * response, or a response that closes the connection, was sent. */
  bool HasDismissedClients() const;

  /** Whether a request has not been read or has no response yet, or a response
   * is being written. */
  bool HasPendingResponses() const;

  /** Whether a part of a request has been read, and the rest is missing. */
  bool HasPartialRequests() const;

  /** Makes the kernel ignore attempts to connect from now on. Connections that
   * clients have made, or are just making, are still accepted. */
  void IgnoreNewConnections();

  /** Closes all connections, even those that received a part of a request. */
  void CloseConnections();

  /** Closes all connections and accepts no new ones. */
  void CloseAll();

  /** Closes connections that exceeded the idle timeout or the timeout for
   * receiving a request, and drops closed sessions. */
  void CloseTimedOut(Time aNow);

  /** The local address, with the port that was assigned. */
  Tcp::endpoint Address() const;

private:
  void Accept();
  /** Accepts the connections that clients have already made.
   * @return Whether no more of them wait. */
  bool AcceptPending();
  void StartSession(Tcp::socket aSocket);

  asio::io_context& context;
  Handler handler;
  Tcp::acceptor acceptor;
  asio::steady_timer acceptTimer;
  std::shared_ptr<ConnectionMemory> memory;
  std::string name;
  SessionLimits limits;
  std::set<std::shared_ptr<ServerSession>> sessions;
  /** Response to the clients of new connections, if clients are dismissed. */
  std::optional<HttpResponse> finalResponse;
};

} // namespace fescuetiller
