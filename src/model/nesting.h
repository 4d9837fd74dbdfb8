#pragma once

#include <cstddef>
#include <string>

namespace fescuetiller {

/** Whether bytes are one MessagePack value whose arrays and objects are nested
 * at most aMaxDepth deep. Deeper ones must not be decoded, since that uses the
 * stack for each level. */
bool
IsMessagePack(const std::string& aBytes, size_t aMaxDepth);

} // namespace fescuetiller
