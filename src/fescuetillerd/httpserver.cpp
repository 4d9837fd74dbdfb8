#include "fescuetillerd/httpserver.h"

#include <httplib.h>

namespace fescuetiller {

HttpServer::HttpServer(size_t aThreads)
  : server(std::make_unique<httplib::Server>())
{
  this->server->new_task_queue = [aThreads] {
    return new httplib::ThreadPool(aThreads);
  };
  this->server->set_tcp_nodelay(true);
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

Result<uint16_t>
HttpServer::Start(const std::string& aIp, uint16_t aPort)
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
  this->thread = std::thread([this] { this->server->listen_after_bind(); });
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
