#include "http/socketstate.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace fescuetiller {

ssize_t
PeekByte(Tcp::socket& aSocket)
{
  char byte = 0;
  return ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

ssize_t
ReadAvailable(Tcp::socket& aSocket, const asio::mutable_buffer& aBuffer)
{
  return ::recv(
    aSocket.native_handle(), aBuffer.data(), aBuffer.size(), MSG_DONTWAIT);
}

uint64_t
BytesInFlight(Tcp::socket& aSocket)
{
  int bytes = 0;
  bool known = ::ioctl(aSocket.native_handle(), SIOCOUTQ, &bytes) == 0;
  return known && bytes > 0 ? static_cast<uint64_t>(bytes) : 0;
}

} // namespace fescuetiller
