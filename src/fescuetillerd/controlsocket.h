#pragma once

#include <atomic>
#include <optional>
#include <string>
#include <variant>

#include "gossip/gossip.h"
#include "ownership/ownership.h"

namespace fescuetiller {

/** What one datagram may hold. */
using ControlMessage = std::variant<Renewal, RenewalAck, GossipMessage>;

/** Everything that arrived since the last call, by who handles it. */
struct ReceivedMessages
{
  std::vector<Input> ownership;
  std::vector<GossipReceived> gossip;
};

/** UDP socket for lease renewals and gossip. Used by the control thread alone.
 */
class ControlSocket
{
public:
  ControlSocket() = default;
  ControlSocket(const ControlSocket&) = delete;
  ControlSocket& operator=(const ControlSocket&) = delete;
  ~ControlSocket();

  Result<uint16_t> Open(const std::string& aIp, uint16_t aPort);

  /** Waits up to aWait for the first datagram, then takes all that wait.
   * Malformed ones are counted and dropped. */
  ReceivedMessages Receive(Duration aWait);

  void Send(const SendRenewal& aMessage);
  void Send(const SendAck& aMessage);
  void Send(const SendGossip& aMessage);

  uint64_t Malformed() const;

private:
  void SendTo(const std::string& aAddress, const std::string& aBytes);
  bool ReceiveOne(ReceivedMessages& aReceived);

  int descriptor = -1;
  std::atomic<uint64_t> malformed{ 0 };
};

/** One control datagram, or nothing when it is malformed. */
std::optional<ControlMessage>
ParseDatagram(const std::string& aBytes);

} // namespace fescuetiller
