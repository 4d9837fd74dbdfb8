#pragma once

#include <string>

#include "http/http.h"
#include "model/model.h"

namespace fescuetiller {

/** Header field of a response to a caller: "done", "not-run" or "unknown". */
constexpr const char* kOutcomeField = "X-Outcome";

/**
 * Parses a request to the router's own interface,
 * POST /v1/request/SERVICE/CLASS?key=KEY. Its callers name service, class and
 * key; they know no hosts or path prefixes. The request is translated into the
 * one that the class's route matches, and is then handled like any other
 * client's.
 * @return An error with code Invalid if the request is malformed, with code
 * Refused if the service has no such class.
 */
Result<HttpRequest>
ParseCallerRequest(const HttpRequest& aRequest,
                   const Configuration& aConfiguration);

/** Adds the outcome to the headers of a response.
 * @param aOutcome The outcome as it is logged. */
void
AddOutcome(http::fields& aFields, const std::string& aOutcome);

} // namespace fescuetiller
