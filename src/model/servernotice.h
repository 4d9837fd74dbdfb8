#pragma once

#include <optional>

#include "model/serverreport.h"

namespace fescuetiller {

/** What one incarnation of a backend server has announced about itself. */
struct ServerNotice
{
  ServerIncarnation server;
  /** Requests per second that it accepts; empty if it states no limit. */
  std::optional<double> requestLimit;
  /** Time since it announced its shutdown; empty if it did not. */
  std::optional<Duration> leavingFor;

  friend bool operator==(const ServerNotice& aLeft, const ServerNotice& aRight);
};

} // namespace fescuetiller
