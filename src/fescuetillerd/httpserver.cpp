#include "fescuetillerd/httpserver.h"

#include <algorithm>

#include <httplib.h>

namespace fescuetiller {

namespace {

/** Answers to requests that are malformed or too large. */
bool
IsRefusal(int aStatus)
{
  constexpr int kRefusals[] = { 400, 413, 414, 431 };
  return std::find(std::begin(kRefusals), std::end(kRefusals), aStatus) !=
         std::end(kRefusals);
}

} // namespace

HttpServer::HttpServer(size_t aThreads)
  : server(std::make_unique<httplib::Server>())
{
  this->server->new_task_queue = [aThreads] {
    return new httplib::ThreadPool(aThreads);
  };
  this->server->set_tcp_nodelay(true);
  this->server->set_logger(
    [this](const httplib::Request&, const httplib::Response& aResponse) {
      this->refused += IsRefusal(aResponse.status) ? 1 : 0;
    });
  // The library's default sets SO_REUSEPORT, which would hide a taken port.
  this->server->set_socket_options([](socket_t aSocket) {
    int yes = 1;
    setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  });
}

HttpServer::~HttpServer()
{
  this->Stop();
}

httplib::Server&
HttpServer::Handlers()
{
  return *this->server;
}

void
HttpServer::Limit(const Limits& aLimits, size_t aMaxBodyBytes)
{
  this->server->set_payload_max_length(aMaxBodyBytes);
  this->server->set_read_timeout(aLimits.readTimeout);
  this->server->set_write_timeout(aLimits.writeTimeout);
  this->server->set_keep_alive_max_count(aLimits.requestsPerConnection);
  auto keepAlive =
    std::chrono::ceil<std::chrono::seconds>(aLimits.keepAliveTimeout);
  this->server->set_keep_alive_timeout(keepAlive.count());
}

Result<uint16_t>
HttpServer::Start(const std::string& aIp, uint16_t aPort)
{
  auto port = this->Bind(aIp, aPort);
  if (port) {
    this->Listen();
  }
  return port;
}

void
HttpServer::Listen()
{
  this->thread = std::thread([this] { this->server->listen_after_bind(); });
}

uint64_t
HttpServer::Refused() const
{
  return this->refused;
}

Result<uint16_t>
HttpServer::Bind(const std::string& aIp, uint16_t aPort)
{
  int port = aPort;
  bool bound = true;
  if (aPort == 0) {
    port = this->server->bind_to_any_port(aIp);
    bound = port > 0;
  } else {
    bound = this->server->bind_to_port(aIp, aPort);
  }
  if (!bound) {
    return tl::unexpected(Error{ ErrorCode::Unavailable,
                                 "listen",
                                 aIp + ":" + std::to_string(aPort),
                                 "the port is taken or not allowed" });
  }
  return static_cast<uint16_t>(port);
}

void
HttpServer::Stop()
{
  if (this->thread.joinable()) {
    while (!this->server->is_running()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    this->server->stop();
    this->thread.join();
  }
}

} // namespace fescuetiller
