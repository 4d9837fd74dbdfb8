#pragma once

#include <memory>
#include <string>
#include <thread>

#include "base/base.h"

namespace httplib {
class Server;
}

namespace fescuetiller {

/** An HTTP server on a thread of its own; handlers are set before Start. */
class HttpServer
{
public:
  explicit HttpServer(size_t aThreads);
  ~HttpServer();

  httplib::Server& Handlers();

  /** Binds and starts. @param aPort 0: any free port. @return The port. */
  Result<uint16_t> Start(const std::string& aIp, uint16_t aPort);

  /** Stops accepting, then waits for the requests that are running. */
  void Stop();

private:
  std::unique_ptr<httplib::Server> server;
  std::thread thread;
};

} // namespace fescuetiller
