#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "ownership/ownership.h"
#include "requests/requests.h"
#include "wire/wire.h"

namespace httplib {
class Client;
class Result;
}

namespace fescuetiller {

/**
 * Connections to the backend server beside this daemon, never more than it
 * announced. Connections are reused while they are fresh; one that failed or
 * idled for long is closed and never reused. Thread-safe.
 */
class BackendLink
{
public:
  BackendLink();
  ~BackendLink();

  /**
   * Points the link at a backend server; closes connections to another.
   * @param aChecksGrant Whether it checks grants by itself; one that does not
   * is given deadlines within the lease.
   */
  void Connect(const std::string& aAddress,
               uint32_t aConnections,
               bool aChecksGrant);
  void Disconnect();

  /** Runs one request; never sends it twice. */
  Outcome Run(const Request& aRequest, const Fence& aFence);

  /** Asks the backend server to give a request up; its Run tells whether it
   * did. */
  void Cancel(const std::string& aRequestId);

  Result<void> SendGrants(const wire::Grants& aGrants);
  Result<wire::Health> ReadHealth();

  /** Open connections, idle ones included. */
  uint32_t OpenConnections() const;

private:
  Time DispatchDeadline(const Request& aRequest, const Fence& aFence) const;

  /** What a connection is wanted for; a few are kept for control. */
  enum class Use
  {
    Request,
    Control,
  };

  /** One open connection. */
  struct Connection
  {
    std::string peer;
    uint64_t generation = 0; ///< Of Connect calls.
    std::unique_ptr<httplib::Client> client;
  };

  struct Idle
  {
    Connection connection;
    Time since;
  };

  using ControlCall = std::function<httplib::Result(httplib::Client&)>;

  std::string Address() const;
  Result<std::string> Control(const std::string& aStep,
                              const ControlCall& aCall);
  std::optional<Connection> Take(Use aUse);
  void Return(Connection aConnection);
  void Close(Connection aConnection);
  void DropStale(Time aNow);

  mutable std::mutex mutex;
  bool checksGrant = true;
  std::string address;
  uint32_t limit = 0;
  uint64_t generation = 0;
  uint32_t open = 0;
  std::deque<Idle> idle; ///< Longest idle first.
};

} // namespace fescuetiller
