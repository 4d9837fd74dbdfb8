#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace fescuetiller {

/** Settings of a daemon, as its INI file gives them. */
struct NodeSettings
{
  std::string name;
  std::string ip;
  std::string zone;
  std::string service;       ///< Of the backend server beside the daemon.
  std::string server;        ///< Address of that backend server.
  std::string clientAddress; ///< Takes requests of clients.
  std::string callerAddress; ///< Serves the own interface; empty: nowhere.
  std::string peerAddress;   ///< Takes requests of other daemons.
  std::string readinessAddress;
  std::string serverCallAddress; ///< Takes the backend server's heartbeats.
  std::string metricsAddress;    ///< Serves metrics; empty: nowhere.
  uint16_t firstPort = 0;        ///< Ports for talk among daemons.
  uint16_t lastPort = 0;
  std::string storeAddress;
  /** Usual time between heartbeats of the backend server. */
  Duration heartbeat = std::chrono::milliseconds(1000);
  Duration maxGrantTime = std::chrono::seconds(10);
  Duration drainTime = std::chrono::seconds(2);
  Duration stopTime = std::chrono::seconds(6);
  double retryRatio = 0.2; ///< Retries of all daemons for each request.

  friend bool operator==(const NodeSettings& aLeft, const NodeSettings& aRight);
};

/** Unknown keys, missing keys and wrong values are errors that name the line.
 */
Result<NodeSettings>
ParseNodeSettings(const std::string& aText, const std::string& aFile);

Result<NodeSettings>
ReadNodeSettings(const std::string& aFile);

} // namespace fescuetiller
