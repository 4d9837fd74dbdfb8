#include "standins/reservedports.h"

namespace fescuetiller {

Tcp::endpoint
Loopback(uint16_t aPort)
{
  return { asio::ip::address_v4::loopback(), aPort };
}

ReservedPorts::ReservedPorts(asio::io_context& aContext)
  : context(aContext)
{
}

Tcp::endpoint
ReservedPorts::Reserve()
{
  auto& socket = this->sockets.emplace_back(this->context);
  socket.open(Tcp::v4());
  socket.set_option(asio::socket_base::reuse_address(true));
  socket.bind(Loopback(0));
  return socket.local_endpoint();
}

} // namespace fescuetiller
