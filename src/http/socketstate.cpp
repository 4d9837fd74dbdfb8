#include "http/socketstate.h"

#include <array>

#include <linux/filter.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
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

Duration
RoundTripTime(Tcp::socket& aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  bool known =
    ::getsockopt(
      aSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  return std::chrono::microseconds(known ? info.tcpi_rtt : 0);
}

void
DropConnectionAttempts(Tcp::acceptor& aAcceptor)
{
  // The program sees the TCP header. It drops segments with the flag SYN, and
  // keeps those that complete a connection.
  constexpr unsigned kFlagsOffset = 13;
  constexpr unsigned kSyn = 0x02;
  constexpr unsigned kWholeSegment = 0xFFFFFFFF;
  std::array<sock_filter, 4> code{ {
    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
    BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kSyn, 1, 0),
    BPF_STMT(BPF_RET | BPF_K, kWholeSegment),
    BPF_STMT(BPF_RET | BPF_K, 0),
  } };
  sock_fprog program{ static_cast<unsigned short>(code.size()), code.data() };
  // Without the option, connections that are made just before the close are
  // reset.
  ::setsockopt(aAcceptor.native_handle(),
               SOL_SOCKET,
               SO_ATTACH_FILTER,
               &program,
               sizeof(program));
}

} // namespace fescuetiller
