#pragma once

#include <atomic>
#include <optional>
#include <string>

#include "ownership/ownership.h"

namespace fescuetiller {

/** UDP socket for lease renewals. Used by the control thread alone. */
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
  std::vector<Input> Receive(Duration aWait);

  void Send(const SendRenewal& aMessage);
  void Send(const SendAck& aMessage);

  uint64_t Malformed() const;

private:
  void SendTo(const std::string& aAddress, const std::string& aBytes);
  std::optional<Input> ReceiveOne();

  int descriptor = -1;
  std::atomic<uint64_t> malformed{ 0 };
};

/** One control datagram, or nothing when it is malformed. */
std::optional<Input>
ParseDatagram(const std::string& aBytes);

} // namespace fescuetiller
