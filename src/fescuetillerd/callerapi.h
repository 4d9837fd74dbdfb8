#pragma once

#include <string>

#include "http/http.h"
#include "model/model.h"

namespace fescuetiller {

/** Field of an answer to a caller: "done", "not-run" or "unknown". */
constexpr const char* kOutcomeField = "X-Outcome";

/**
 * The router's own interface for callers that name service, class and key and
 * know nothing of hosts and prefixes: POST /v1/request/SERVICE/CLASS?key=KEY.
 * Turns it into the request that the configuration's route asks for, so that
 * both take the same path from there.
 * @return An error of code Invalid tells what is wrong with the request; one of
 * code Refused that there is no such class.
 */
Result<HttpRequest>
ParseCallerRequest(const HttpRequest& aRequest,
                   const Configuration& aConfiguration);

/** Adds the outcome to the head of an answer. @param aOutcome As in the log. */
void
AddOutcome(http::fields& aFields, const std::string& aOutcome);

} // namespace fescuetiller
