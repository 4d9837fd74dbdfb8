#include "fescuetillerd/controlsocket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "wire/wire.h"

namespace fescuetiller {

namespace {

constexpr size_t kMaxDatagramBytes = 65507;
constexpr size_t kMaxDatagramsAtOnce = 256;

std::optional<sockaddr_in>
ParseAddress(const std::string& aAddress)
{
  size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  std::string ip = aAddress.substr(0, colon);
  if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  char* end = nullptr;
  const char* port = aAddress.c_str() + colon + 1;
  uint64_t number = std::strtoul(port, &end, 10);
  if (end == port || *end != '\0' || number == 0 || number > UINT16_MAX) {
    return std::nullopt;
  }
  address.sin_port = htons(static_cast<uint16_t>(number));
  return address;
}

std::string
FormatAddress(const sockaddr_in& aAddress)
{
  char ip[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &aAddress.sin_addr, ip, sizeof ip);
  return std::string(ip) + ":" + std::to_string(ntohs(aAddress.sin_port));
}

} // namespace

std::optional<ControlMessage>
ParseDatagram(const std::string& aBytes)
{
  wire::Datagram datagram;
  if (!datagram.ParseFromString(aBytes)) {
    return std::nullopt;
  }
  if (datagram.has_renewal()) {
    const auto& renewal = datagram.renewal();
    return Renewal{ renewal.holder(), renewal.grantor(), renewal.sequence() };
  }
  if (datagram.has_ack()) {
    const auto& ack = datagram.ack();
    return RenewalAck{ ack.holder(), ack.grantor(), ack.sequence() };
  }
  if (datagram.has_gossip()) {
    return FromWire(datagram.gossip());
  }
  return std::nullopt;
}

ControlSocket::~ControlSocket()
{
  if (this->descriptor >= 0) {
    close(this->descriptor);
  }
}

Result<uint16_t>
ControlSocket::Open(const std::string& aIp, uint16_t aPort)
{
  std::string place = aIp + ":" + std::to_string(aPort);
  auto failed = [&] {
    return tl::unexpected(Error{ ErrorCode::Unavailable,
                                 "listen for control datagrams",
                                 place,
                                 std::strerror(errno) });
  };
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  if (inet_pton(AF_INET, aIp.c_str(), &address.sin_addr) != 1) {
    errno = EINVAL;
    return failed();
  }
  this->descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
  socklen_t size = sizeof address;
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  if (this->descriptor < 0 || bind(this->descriptor, raw, size) != 0 ||
      getsockname(this->descriptor, raw, &size) != 0) {
    return failed();
  }
  return ntohs(address.sin_port);
}

bool
ControlSocket::ReceiveOne(ReceivedMessages& aReceived)
{
  thread_local std::string buffer(kMaxDatagramBytes, '\0');
  sockaddr_in from{};
  socklen_t fromSize = sizeof from;
  ssize_t size = recvfrom(this->descriptor,
                          buffer.data(),
                          buffer.size(),
                          0,
                          reinterpret_cast<sockaddr*>(&from),
                          &fromSize);
  if (size < 0) {
    return false;
  }
  auto message = ParseDatagram(buffer.substr(0, static_cast<size_t>(size)));
  if (!message) {
    ++this->malformed;
    return true;
  }
  if (auto* gossip = std::get_if<GossipMessage>(&*message)) {
    aReceived.gossip.push_back({ FormatAddress(from), std::move(*gossip) });
  } else if (auto* renewal = std::get_if<Renewal>(&*message)) {
    aReceived.ownership.emplace_back(*renewal);
  } else {
    aReceived.ownership.emplace_back(std::get<RenewalAck>(*message));
  }
  return true;
}

ReceivedMessages
ControlSocket::Receive(Duration aWait)
{
  pollfd waiting{ this->descriptor, POLLIN, 0 };
  poll(&waiting, 1, static_cast<int>(ToMilliseconds(aWait)));
  ReceivedMessages received;
  for (size_t count = 0; count < kMaxDatagramsAtOnce; ++count) {
    if (!this->ReceiveOne(received)) {
      break;
    }
  }
  return received;
}

void
ControlSocket::SendTo(const std::string& aAddress, const std::string& aBytes)
{
  auto address = ParseAddress(aAddress);
  if (!address) {
    return;
  }
  sendto(this->descriptor,
         aBytes.data(),
         aBytes.size(),
         0,
         reinterpret_cast<const sockaddr*>(&*address),
         sizeof *address);
}

void
ControlSocket::Send(const SendRenewal& aMessage)
{
  wire::Datagram datagram;
  datagram.mutable_renewal()->set_holder(aMessage.renewal.holder);
  datagram.mutable_renewal()->set_grantor(aMessage.renewal.grantor);
  datagram.mutable_renewal()->set_sequence(aMessage.renewal.sequence);
  this->SendTo(aMessage.address, datagram.SerializeAsString());
}

void
ControlSocket::Send(const SendAck& aMessage)
{
  wire::Datagram datagram;
  datagram.mutable_ack()->set_holder(aMessage.ack.holder);
  datagram.mutable_ack()->set_grantor(aMessage.ack.grantor);
  datagram.mutable_ack()->set_sequence(aMessage.ack.sequence);
  this->SendTo(aMessage.address, datagram.SerializeAsString());
}

void
ControlSocket::Send(const SendGossip& aMessage)
{
  wire::Datagram datagram;
  *datagram.mutable_gossip() = ToWire(aMessage.message);
  this->SendTo(aMessage.to, datagram.SerializeAsString());
}

uint64_t
ControlSocket::Malformed() const
{
  return this->malformed;
}

} // namespace fescuetiller
