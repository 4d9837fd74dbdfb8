#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace fescuetiller {

/** Settings of a daemon, read from its INI file. */
struct NodeSettings
{
  std::string name;    ///< Identifies the daemon in its log lines.
  std::string ip;      ///< Address for messages among daemons.
  std::string zone;    ///< Availability zone.
  std::string service; ///< Service of the backend server on this instance.
  std::string server;  ///< Address of that backend server.
  std::string clientAddress; ///< Listens for requests of clients.
  /** Listens for requests to the router's own interface (see callerapi.h), if
   * set. */
  std::string callerAddress;
  std::string peerAddress;       ///< Listens for requests of other daemons.
  std::string readinessAddress;  ///< Serves the readiness check.
  std::string serverCallAddress; ///< Listens for heartbeats.
  std::string metricsAddress;    ///< Serves metrics, if set.
  /** Ports on ip for messages among daemons; only the first one is used, for
   * TCP and UDP. */
  uint16_t firstPort = 0;
  uint16_t lastPort = 0;
  std::string storeAddress;
  /** Usual interval of the backend server's heartbeats. */
  Duration heartbeat = std::chrono::milliseconds(1000);
  /** Longest grant that the backend server accepts. */
  Duration maxGrantTime = std::chrono::seconds(10);
  /** Time after its deregistration in which the backend server may still get
   * requests. */
  Duration drainTime = std::chrono::seconds(2);
  /** Longest time from a stop signal to the exit of the daemon. */
  Duration stopTime = std::chrono::seconds(6);
  double retryRatio = 0.2; ///< Retries per request, over all daemons.
  /** Requests that a cold server may get in a second: what it tolerates times
   * the factor, plus the margin. */
  double coldFactor = 1;
  uint32_t coldMargin = 0;
  /** Time from the order to evacuate a zone until its servers get no more
   * requests. */
  Duration evacuationTime = std::chrono::seconds(5);
  /** Memory of the machine for this process, in MiB; 0: not stated. */
  uint32_t memoryMegabytes = 0;
  uint32_t maxDescriptors = 0; ///< Open files and sockets; 0: not stated.
  /** Time of a caller that sending a KiB to another zone is worth; empty: not
   * stated. */
  std::optional<Duration> transferCost;

  friend bool operator==(const NodeSettings& aLeft, const NodeSettings& aRight);
};

/** Parses the text of a settings file. Unknown keys, missing keys and invalid
 * values are errors that name the key or line. */
Result<NodeSettings>
ParseNodeSettings(const std::string& aText, const std::string& aFile);

Result<NodeSettings>
ReadNodeSettings(const std::string& aFile);

} // namespace fescuetiller
