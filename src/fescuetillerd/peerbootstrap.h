#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/cluster.h"
#include "fescuetillerd/eventlog.h"
#include "platform/platform.h"

namespace fescuetiller {

/**
 * Loads configuration and cluster rows from another daemon until this one has
 * read them from the store. Daemons respond to reads as the store does, from
 * the rows that they know. Thus a daemon that starts during a store outage can
 * route requests, but it cannot own keys.
 */
class PeerBootstrap
{
public:
  struct Hooks
  {
    /** Whether the rows have not been read from the store yet. */
    std::function<bool()> isNeeded;
    std::function<void(const StoreRows&)> onConfiguration;
    /** Services of the configuration that was loaded. */
    std::function<std::vector<std::string>()> services;
    std::function<void(const StoreRows&)> onCluster;
  };

  PeerBootstrap(ConnectionPool& aPool, EventLog& aLog, Hooks aHooks);

  /** Loads from the daemon at this address, which has just sent a message, if
   * that is needed and due. */
  void OnPeerContact(Time aNow, const Tcp::endpoint& aPeer);

  /** Whether everything has been loaded at least once. */
  bool HasLoaded() const;

private:
  void Finish(const std::string& aPeer, const std::string& aError);

  ConnectionPool& pool;
  EventLog& log;
  Hooks hooks;
  std::unique_ptr<StoreClient> source; ///< Peer of the current or last load.
  bool loading = false;
  bool loaded = false; ///< At least one load was complete.
  Time nextAttemptAt;
};

} // namespace fescuetiller
