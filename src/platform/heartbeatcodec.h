#pragma once

#include <optional>
#include <string>

#include "model/model.h"

namespace fescuetiller {

/** A call of a backend server on the daemon beside it. */
struct ServerCall
{
  enum class Kind
  {
    Heartbeat,
    Deregister, ///< The server serves on for a while and then ends.
  };

  Kind kind = Kind::Heartbeat;
  std::string serverId;

  friend bool operator==(const ServerCall& aLeft, const ServerCall& aRight);
};

/** Nothing when the method and path name no such call. */
std::optional<ServerCall>
ParseServerCall(const std::string& aMethod, const std::string& aPath);

/** Reads the body of a heartbeat; any missing or wrong field is an error. */
Result<ServerReport>
ParseHeartbeat(const std::string& aServerId, const std::string& aBody);

std::string
EncodeHeartbeatReply(const HeartbeatReply& aReply);

} // namespace fescuetiller
