#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "http/messages.h"
#include "http/serversession.h"

namespace fescuetiller {

/**
 * Accepts connections on one address and passes their requests to a handler.
 * Not thread-safe: everything runs on the context's thread.
 */
class HttpServer
{
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  HttpServer(asio::io_context& aContext, Handler aHandler);

  Result<void> Listen(const Tcp::endpoint& aAddress);
  /** The same for an address as text; an empty one is not listened on. */
  Result<void> Listen(const std::string& aAddress);

  /** Bounds for requests that arrive from now on. */
  void SetLimits(const SessionLimits& aLimits);

  /** Answers say from now on that the connection closes. */
  void AnnounceClose();

  /** Takes no new connections and closes those without a request; the others
   * close after their answers. */
  void StopAccepting();

  /** Whether a request waits for its answer or an answer is being written. */
  bool HasPendingResponses() const;

  /** Closes every connection, also those on which a part of a request came. */
  void CloseAll();

  /** Closes connections that idle or send too slowly. */
  void CloseTimedOut(Time aNow);

  Tcp::endpoint Address() const;

private:
  void Accept();

  asio::io_context& context;
  Handler handler;
  Tcp::acceptor acceptor;
  SessionLimits limits;
  std::set<std::shared_ptr<ServerSession>> sessions;
};

} // namespace fescuetiller
