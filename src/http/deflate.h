#pragma once

#include <string>

#include "base/base.h"

namespace fescuetiller {

/** Compresses bytes in the deflate format (RFC 1951). */
std::string
Deflate(const std::string& aBytes);

/** Decompresses bytes that Deflate has made.
 * @param aMaxBytes Size limit for the result; exceeding it is an error. */
Result<std::string>
Inflate(const std::string& aBytes, size_t aMaxBytes);

} // namespace fescuetiller
