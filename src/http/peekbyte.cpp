#include "http/peekbyte.h"

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

} // namespace fescuetiller
