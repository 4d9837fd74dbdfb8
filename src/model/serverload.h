#pragma once

#include <cstdint>
#include <optional>

namespace fescuetiller {

/** What a backend server states about its load in a response. */
struct ServerLoad
{
  uint32_t running = 0; ///< Requests that it runs.
  uint32_t waiting = 0; ///< Requests that wait for a slot at the server.
  uint32_t slots = 0;
  /** How long work takes at this moment; 1: as usual. Empty if not stated. */
  std::optional<double> slowness;
};

} // namespace fescuetiller
