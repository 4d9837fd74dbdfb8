#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace fescuetiller {

/** Decides whether a request may be sent again if its outcome is unknown. */
enum class RequestKind
{
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once for each client attempt.
  Download,      ///< Idempotent, with a large response.
};

/** Weighted destination of a route's requests. */
struct Destination
{
  std::string service;
  uint32_t weight = 1; ///< Share relative to the route's other destinations.

  friend bool operator==(const Destination& aLeft, const Destination& aRight);
};

/** How requests that match one host and path prefix are routed. */
struct Route
{
  std::string name;
  std::string host;
  std::string prefix;
  RequestKind kind = RequestKind::NonIdempotent;
  Duration timeout = Duration(0);       ///< Longest time for a whole request.
  Duration targetLatency = Duration(0); ///< Response time to aim for.
  uint32_t priority = 0;                ///< 0 is the highest priority.
  uint32_t attempts = 1; ///< Most backend servers that one request is sent to.
  std::vector<Destination> destinations;

  friend bool operator==(const Route& aLeft, const Route& aRight);
};

/** A group of backend servers that serve the same requests. */
struct Service
{
  std::string name;
  std::string healthPath;
  uint32_t maxConnections = 0;
  bool ownsKeys = false; ///< Each key belongs to one of its backend servers.
  /** How long a backend server is cold after it has started. */
  Duration warmUp = Duration(0);
  /** Requests per second that a cold backend server tolerates; empty: no limit
   * is stated. */
  std::optional<double> coldRequestsPerSecond;

  friend bool operator==(const Service& aLeft, const Service& aRight);
};

/** Limits on the size of client requests and on the time they may take. */
struct ClientLimits
{
  uint32_t maxHeaderBytes = 16 * 1024;
  uint64_t maxBodyBytes = 1024 * 1024;
  Duration headerTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(15);

  friend bool operator==(const ClientLimits& aLeft, const ClientLimits& aRight);
};

/** One version of the operator's configuration. */
struct Configuration
{
  uint64_t version = 0;
  std::map<std::string, Route> routes;     ///< By name.
  std::map<std::string, Service> services; ///< By name.
  ClientLimits limits;

  /** Returns nullptr for an unknown service. */
  const Service* FindService(const std::string& aName) const;

  friend bool operator==(const Configuration& aLeft,
                         const Configuration& aRight);
};

} // namespace fescuetiller
