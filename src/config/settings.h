#pragma once

#include <map>
#include <string>
#include <vector>

#include "ini/ini.h"
#include "ownership/leasesettings.h"
#include "placement/placementsettings.h"

namespace fescuetiller {

/** As written in settings. */
const char*
ToString(PlacementGoal aGoal);

/** What callers may send, as read from [limits]. */
struct Limits
{
  uint32_t maxBodyBytes = 4 * 1024 * 1024;
  Duration readTimeout = std::chrono::seconds(5);
  Duration writeTimeout = std::chrono::seconds(5);
  Duration keepAliveTimeout = std::chrono::seconds(5);
  uint32_t requestsPerConnection = 100;
  uint32_t callerThreads = 128;
};

/** Everything a daemon reads from its INI file. */
struct Settings
{
  std::string name;
  std::string zone;
  std::string listenIp = "127.0.0.1"; ///< Also for the other ports, if empty.
  std::string operatorIp;
  std::string peerIp; ///< Also of the control port.
  std::string backendIp;
  uint16_t callerPort = 0;   ///< 0: any free port, as for the others.
  uint16_t backendPort = 0;  ///< For the backend server beside the daemon.
  uint16_t operatorPort = 0; ///< For fescuetillerctl and metrics.
  uint16_t peerPort = 0;     ///< gRPC, for other daemons.
  uint16_t controlPort = 0;  ///< UDP, for other daemons.
  std::string portsFile;     ///< Where the bound ports are written; may be "".
  std::string platformAddress;
  Duration platformTimeout = std::chrono::milliseconds(500);
  std::map<std::string, uint32_t> partitions; ///< For each service.
  Duration defaultDeadline = std::chrono::seconds(10);
  Duration stopTimeout = std::chrono::seconds(30);
  LeaseSettings lease;
  PlacementGoal weighMost = PlacementGoal::UnavailableTime;
  Limits limits;
  /** Control addresses of daemons to learn from when none is known yet. */
  std::vector<std::string> seeds;
};

/** Reads settings; an error names file, line, key, value and what is allowed.
 */
Result<Settings>
ParseSettings(const std::string& aText, const std::string& aFile);

Result<Settings>
ReadSettings(const std::string& aFile);

} // namespace fescuetiller
