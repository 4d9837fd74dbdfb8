#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/http.h"

namespace fescuetiller {

/** One status check of the backend server: a request whose response states how
 * long the server is cold, and its load. Runs on the traffic thread. */
class StatusCheck : public std::enable_shared_from_this<StatusCheck>
{
public:
  /** Called immediately before the check is sent.
   * @return Whether it still may be. */
  std::function<bool()> beforeSend;
  /** Called once at the end, with nullptr if the server has not responded. */
  std::function<void(const HttpResponse*)> onEnd;

  /** Sends the check over a connection of the pool, or a new one.
   * @param aPath The service's path for health checks.
   * @param aServerId The only server that may respond. */
  void Start(ConnectionPool& aPool,
             const Tcp::endpoint& aServer,
             const std::string& aPath,
             const std::string& aServerId,
             const std::string& aRequestId);
};

} // namespace fescuetiller
