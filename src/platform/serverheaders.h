#pragma once

#include <optional>
#include <string>

#include "base/base.h"
#include "model/serverload.h"

namespace fescuetiller {

/** Parses the rate of requests, per second, that a backend server states in a
 * response that it accepts from all daemons together.
 * @param aText Empty if the response has no such field.
 * @param aServerId The server, for the error.
 * @return No value if the server states no limit. */
Result<std::optional<double>>
ParseRequestLimit(const std::string& aText, const std::string& aServerId);

/** Parses the load that a backend server states in a response, such as
 * "3,0,5" or "3,0,5,140".
 * @param aText Empty if the response has no such field.
 * @param aServerId The server, for the error.
 * @return No value if the server states no load. */
Result<std::optional<ServerLoad>>
ParseServerLoad(const std::string& aText, const std::string& aServerId);

/** Parses for how long a backend server states to stay cold.
 * @param aText Empty if the response has no such field.
 * @param aServerId The server, for the error.
 * @return No value if the server states nothing; 0 if it is warm. */
Result<std::optional<Duration>>
ParseColdTime(const std::string& aText, const std::string& aServerId);

} // namespace fescuetiller
