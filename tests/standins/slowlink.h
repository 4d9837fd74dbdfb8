#pragma once

#include "http/http.h"

namespace fescuetiller {

/**
 * TCP relay that limits how fast bytes from the server reach the client, like a
 * link that other traffic fills. The limit applies to each connection. Open
 * connections can be silenced while new ones work.
 */
class SlowLink
{
public:
  /** @param aServer Where connections are relayed to. */
  SlowLink(asio::io_context& aContext, const Tcp::endpoint& aServer);

  /** Listens on a free port of the loopback interface. */
  Result<void> Listen();
  Tcp::endpoint Address() const;

  /** Sets the limit; 0: no limit. */
  void SetBytesPerSecond(size_t aRate);

  /** From now on, the limit applies to all new connections together, and the
   * link holds little of what it has not carried yet. */
  void ShareLimit();

  /** Discards what arrives over the present connections, and keeps them open.
   */
  void SilenceConnections();

private:
  struct Relay;

  void Accept();
  /** Time until a piece has been carried. */
  Duration DelayOf(size_t aBytes);
  /** Reads some bytes from one socket and writes them to the other. */
  void Forward(const std::shared_ptr<Relay>& aRelay,
               Tcp::socket& aFrom,
               Tcp::socket& aTo,
               std::vector<char>& aBuffer);

  asio::io_context& context;
  Tcp::endpoint server;
  Tcp::acceptor acceptor;
  size_t bytesPerSecond = 0;
  bool shared = false;
  Time freeAt; ///< When the shared link has carried what it holds.
  std::vector<std::weak_ptr<Relay>> relays;
};

} // namespace fescuetiller
