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
 * Learns configuration and cluster from another daemon while this one has never
 * reached the store: daemons answer reads of the store with what they know. A
 * daemon that starts in an outage can route requests so; it cannot own keys.
 */
class PeerBootstrap
{
public:
  struct Hooks
  {
    std::function<bool()> isNeeded;
    std::function<void(const StoreRows&)> onConfiguration;
    /** Services of the configuration that was learned. */
    std::function<std::vector<std::string>()> services;
    std::function<void(const StoreRows&)> onCluster;
  };

  PeerBootstrap(ConnectionPool& aPool, EventLog& aLog, Hooks aHooks);

  /** Something came from another daemon at this address. */
  void OnPeerContact(Time aNow, const Tcp::endpoint& aPeer);

  /** Whether everything has been learned once. */
  bool HasLoaded() const;

private:
  void End(const std::string& aPeer, const std::string& aError);

  ConnectionPool& pool;
  EventLog& log;
  Hooks hooks;
  std::unique_ptr<StoreClient> peer; ///< Of the present or last lesson.
  bool learning = false;
  bool learned = false;
  Time nextAt;
};

} // namespace fescuetiller
