#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "config/settings.h"

namespace httplib {
class Server;
}

namespace fescuetiller {

/** An HTTP server on a thread of its own; handlers are set before Listen. */
class HttpServer
{
public:
  explicit HttpServer(size_t aThreads);
  ~HttpServer();

  httplib::Server& Handlers();

  /** Limits the size and the time of what clients send; before Bind. */
  void Limit(const Limits& aLimits, size_t aMaxBodyBytes);

  /** @param aPort 0: any free port. @return The port. */
  Result<uint16_t> Bind(const std::string& aIp, uint16_t aPort);

  /** Starts to answer. */
  void Listen();

  /** Binds and starts to answer. */
  Result<uint16_t> Start(const std::string& aIp, uint16_t aPort);

  /** Requests refused as malformed or too large. */
  uint64_t Refused() const;

  /** Stops accepting, then waits for the requests that are running. */
  void Stop();

private:
  std::unique_ptr<httplib::Server> server;
  std::atomic<uint64_t> refused{ 0 };
  std::thread thread;
};

} // namespace fescuetiller
