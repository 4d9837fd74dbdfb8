#pragma once

#include <optional>
#include <string>

#include "model/model.h"

namespace fescuetiller {

/** Call of a backend server to the daemon on the same instance. */
struct ServerCall
{
  enum class Kind
  {
    Heartbeat,
    Deregister, ///< The server still serves for a while, then shuts down.
  };

  Kind kind = Kind::Heartbeat;
  std::string serverId;

  friend bool operator==(const ServerCall& aLeft, const ServerCall& aRight);
};

/** Returns nothing if method and path do not denote such a call. */
std::optional<ServerCall>
ParseServerCall(const std::string& aMethod, const std::string& aPath);

/** Parses the body of a heartbeat; a missing or invalid field is an error. */
Result<ServerReport>
ParseHeartbeat(const std::string& aServerId, const std::string& aBody);

std::string
EncodeHeartbeatReply(const HeartbeatReply& aReply);

} // namespace fescuetiller
