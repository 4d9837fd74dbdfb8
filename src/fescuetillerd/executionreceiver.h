#pragma once

#include "http/http.h"

namespace fescuetiller {

/**
 * Receives the response to a request that a daemon runs on its server. If the
 * server breaks off a response of which nothing was passed on, a complete
 * response that says so takes its place.
 */
class ExecutionReceiver : public ResponseReceiver
{
public:
  /** Whether a part of the response was passed on, so that another one cannot
   * take its place. */
  virtual bool HasPassedOn() const = 0;
};

} // namespace fescuetiller
