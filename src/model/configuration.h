#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/base.h"

namespace fescuetiller {

/** What may be done with a request whose outcome is not known. */
enum class RequestKind
{
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once for each client attempt.
  Download,      ///< Idempotent, with a large response.
};

/** Share of a route's requests that goes to one service. */
struct Destination
{
  std::string service;
  uint32_t weight = 1;

  friend bool operator==(const Destination& aLeft, const Destination& aRight);
};

/** Where requests of one host and path prefix go, and what is asked of them. */
struct Route
{
  std::string name;
  std::string host;
  std::string prefix;
  RequestKind kind = RequestKind::NonIdempotent;
  Duration timeout = Duration(0);
  Duration targetLatency = Duration(0);
  uint32_t priority = 0; ///< 0 is the most urgent.
  uint32_t attempts = 1; ///< Backend servers that one request may be sent to.
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

  friend bool operator==(const Service& aLeft, const Service& aRight);
};

/** Bounds on what a client may send and how long it may take. */
struct ClientLimits
{
  uint32_t maxHeaderBytes = 16 * 1024;
  uint64_t maxBodyBytes = 1024 * 1024;
  Duration headerTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(15);

  friend bool operator==(const ClientLimits& aLeft, const ClientLimits& aRight);
};

/** One version of everything that the operator configures. */
struct Configuration
{
  uint64_t version = 0;
  std::map<std::string, Route> routes;
  std::map<std::string, Service> services;
  ClientLimits limits;

  /** nullptr for an unknown service. */
  const Service* FindService(const std::string& aName) const;

  friend bool operator==(const Configuration& aLeft,
                         const Configuration& aRight);
};

} // namespace fescuetiller
