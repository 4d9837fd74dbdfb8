#pragma once

#include <string>

#include "model/model.h"

namespace fescuetiller {

/** Key of the store's row with the current version of the configuration. */
const StoreKey&
ConfigurationKey();

/** Parses the operator's configuration. A service that needs a protocol other
 * than HTTP/1.1 without TLS is an error; unknown fields are ignored. */
Result<Configuration>
ParseConfiguration(const std::string& aText);

} // namespace fescuetiller
