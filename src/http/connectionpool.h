#pragma once

#include <map>
#include <memory>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>

#include "http/messages.h"

namespace fescuetiller {

/** An open connection to a peer, and what was read beyond the last answer. */
struct Connection
{
  explicit Connection(asio::io_context& aContext);

  Tcp::socket socket;
  boost::beast::flat_buffer buffer;
  Time idleUntil;
  bool reused = false;
};

/**
 * Idle connections by peer. A connection on which anything has arrived while it
 * was idle, its end included, is not given out again. Not thread-safe.
 */
class ConnectionPool
{
public:
  explicit ConnectionPool(asio::io_context& aContext);

  /** An open idle connection to the peer, or nullptr. */
  std::unique_ptr<Connection> Take(const Tcp::endpoint& aPeer, Time aNow);

  void Put(const Tcp::endpoint& aPeer, std::unique_ptr<Connection> aConnection);

  /** Closes what has been idle for too long. */
  void CloseExpired(Time aNow);

  asio::io_context& Context();

  uint64_t opened = 0; ///< Connections opened so far.

private:
  asio::io_context& context;
  std::map<Tcp::endpoint, std::vector<std::unique_ptr<Connection>>> idle;
};

} // namespace fescuetiller
