#pragma once

#include <optional>
#include <string>

#include "model/model.h"

namespace fescuetiller {

/** Key of the row by which operators order the evacuation of a zone. Its part
 * of the store is that of the configuration, and it sorts after it. */
StoreKey
EvacuationKey(const std::string& aZone);

/** Returns the zone of such a row, whatever its value is; nothing if the key is
 * another one. */
std::optional<std::string>
ParseEvacuationKey(const StoreKey& aKey);

} // namespace fescuetiller
