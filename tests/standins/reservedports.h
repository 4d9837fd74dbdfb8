#pragma once

#include <vector>

#include "http/http.h"

namespace fescuetiller {

/** The address of a TCP port on the loopback interface; 0: any free port. */
Tcp::endpoint
Loopback(uint16_t aPort);

/**
 * Free TCP ports on the loopback interface. They stay bound, without listening,
 * so that neither another call nor another process takes them before a daemon
 * listens on them.
 */
class ReservedPorts
{
public:
  explicit ReservedPorts(asio::io_context& aContext);

  Tcp::endpoint Reserve();

private:
  asio::io_context& context;
  std::vector<Tcp::acceptor> sockets;
};

} // namespace fescuetiller
