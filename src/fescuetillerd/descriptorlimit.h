#pragma once

#include <cstdint>

#include "fescuetillerd/nodesettings.h"

namespace fescuetiller {

/** Number of files and sockets that the process may open: what the settings
 * state, and no more than the system allows. */
uint32_t
DescriptorLimit(const NodeSettings& aSettings);

} // namespace fescuetiller
