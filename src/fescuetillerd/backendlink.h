#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "ownership/ownership.h"
#include "requests/requests.h"
#include "wire/wire.h"

namespace httplib {
class Client;
}

namespace fescuetiller {

/**
 * Connections to the backend server beside this daemon. Connections are
 * reused; one that failed is closed and never reused. Thread-safe.
 */
class BackendLink
{
public:
  /** Points the link at a backend server; closes connections to another. */
  void Connect(const std::string& aAddress);
  void Disconnect();

  /** Runs one request; never sends it twice. */
  Outcome Run(const Request& aRequest, const Fence& aFence);

  Result<void> SendGrants(const wire::Grants& aGrants);
  Result<wire::Health> ReadHealth();

private:
  using Connection = std::unique_ptr<httplib::Client>;

  std::string Address() const;
  Connection Take(const std::string& aAddress);
  void Return(const std::string& aAddress, Connection aConnection);

  mutable std::mutex mutex;
  std::string address;
  std::vector<Connection> idle;
};

} // namespace fescuetiller
