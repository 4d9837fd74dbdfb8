#include "standins/slowlink.h"

namespace fescuetiller {

using boost::system::error_code;

namespace {

/** Most bytes that are forwarded at a time. */
constexpr size_t kPieceBytes = 4096;
/** Receive buffer of a connection to the server if the link is shared. */
constexpr int kSharedBufferBytes = 4096;

} // namespace

/** The two sockets of a connection. It ends when either of them is closed. */
struct SlowLink::Relay
{
  explicit Relay(asio::io_context& aContext)
    : client(aContext)
    , server(aContext)
    , timer(aContext)
  {
  }

  void Close()
  {
    error_code ignored; // The relay ends in any case.
    this->client.close(ignored);
    this->server.close(ignored);
  }

  Tcp::socket client;
  Tcp::socket server;
  asio::steady_timer timer; ///< Delays bytes to the client.
  bool silenced = false;    ///< Bytes that arrive are discarded.
  std::vector<char> toClient = std::vector<char>(kPieceBytes);
  std::vector<char> toServer = std::vector<char>(kPieceBytes);
};

SlowLink::SlowLink(asio::io_context& aContext, const Tcp::endpoint& aServer)
  : context(aContext)
  , server(aServer)
  , acceptor(aContext)
{
}

Result<void>
SlowLink::Listen()
{
  try {
    this->acceptor =
      Tcp::acceptor(this->context, { asio::ip::address_v4::loopback(), 0 });
  } catch (const boost::system::system_error& error) {
    return tl::unexpected(
      Error{ ErrorCode::Unavailable, "listen", "loopback", error.what() });
  }
  this->Accept();
  return {};
}

Tcp::endpoint
SlowLink::Address() const
{
  return this->acceptor.local_endpoint();
}

void
SlowLink::SetBytesPerSecond(size_t aRate)
{
  this->bytesPerSecond = aRate;
}

void
SlowLink::ShareLimit()
{
  this->shared = true;
}

Duration
SlowLink::DelayOf(size_t aBytes)
{
  auto carried =
    Duration(std::chrono::seconds(1)) * aBytes / this->bytesPerSecond;
  if (!this->shared) {
    return carried;
  }
  auto now = BootClock::now();
  this->freeAt = std::max(this->freeAt, now) + carried;
  return this->freeAt - now;
}

void
SlowLink::SilenceConnections()
{
  for (const auto& entry : this->relays) {
    if (auto relay = entry.lock()) {
      relay->silenced = true;
    }
  }
}

void
SlowLink::Accept()
{
  auto relay = std::make_shared<Relay>(this->context);
  this->acceptor.async_accept(
    relay->client, [this, relay](error_code aAcceptError) {
      if (aAcceptError) {
        return;
      }
      this->relays.push_back(relay);
      this->Accept();
      if (this->shared) {
        error_code ignored; // The link only holds more.
        relay->server.open(this->server.protocol(), ignored);
        relay->server.set_option(
          asio::socket_base::receive_buffer_size(kSharedBufferBytes), ignored);
      }
      relay->server.async_connect(
        this->server, [this, relay](error_code aError) {
          if (aError) {
            relay->Close();
            return;
          }
          this->Forward(relay, relay->client, relay->server, relay->toServer);
          this->Forward(relay, relay->server, relay->client, relay->toClient);
        });
    });
}

void
SlowLink::Forward(const std::shared_ptr<Relay>& aRelay,
                  Tcp::socket& aFrom,
                  Tcp::socket& aTo,
                  std::vector<char>& aBuffer)
{
  aFrom.async_read_some(
    asio::buffer(aBuffer),
    [this, relay = aRelay, &aFrom, &aTo, &aBuffer](error_code aReadError,
                                                   size_t aSize) {
      if (aReadError) {
        relay->Close();
        return;
      }
      if (relay->silenced) {
        this->Forward(relay, aFrom, aTo, aBuffer);
        return;
      }
      auto write = [this, relay, aSize, &aFrom, &aTo, &aBuffer] {
        asio::async_write(aTo,
                          asio::buffer(aBuffer.data(), aSize),
                          [this, relay, &aFrom, &aTo, &aBuffer](
                            error_code aWriteError, size_t) {
                            if (aWriteError) {
                              relay->Close();
                              return;
                            }
                            this->Forward(relay, aFrom, aTo, aBuffer);
                          });
      };
      if (this->bytesPerSecond == 0 || &aTo != &relay->client) {
        write();
        return;
      }
      relay->timer.expires_after(this->DelayOf(aSize));
      relay->timer.async_wait([write](error_code aError) {
        if (!aError) {
          write();
        }
      });
    });
}

} // namespace fescuetiller
