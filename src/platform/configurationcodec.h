#pragma once

#include <string>

#include "model/model.h"

namespace fescuetiller {

/** Row of the store in which the operator keeps the newest configuration. */
const StoreKey&
ConfigurationKey();

/** Reads the operator's configuration. A route that asks for what this router
 * does not speak is an error; unknown fields are ignored. */
Result<Configuration>
ParseConfiguration(const std::string& aText);

} // namespace fescuetiller
