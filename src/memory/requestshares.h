#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace fescuetiller {

/**
 * Which requests may run at the same time as others of their connection. All
 * connections with requests share a space, and so do client addresses, so that
 * a client that sends many requests ahead takes no more of the servers' queues
 * than others do. A connection may always run one request. Does no I/O; not
 * thread-safe.
 */
class RequestShares
{
public:
  explicit RequestShares(size_t aSpace);

  void OnStarted(uint64_t aConnection, const std::string& aAddress);
  void OnEnded(uint64_t aConnection, const std::string& aAddress);

  /** Whether a connection may run one more request beside those that it runs.
   */
  bool MayRunBeside(uint64_t aConnection, const std::string& aAddress) const;

  size_t RunningCount() const;

private:
  size_t space;
  std::unordered_map<uint64_t, size_t> byConnection;
  std::map<std::string, size_t> byAddress;
};

} // namespace fescuetiller
