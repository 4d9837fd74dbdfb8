#pragma once

#include <cstddef>
#include <string>

namespace fescuetiller {

/** Header field with the size of the body that a client of the stand-ins
 * expects; without it the body is as short as possible. */
constexpr const char* kBodyBytesField = "X-Body-Bytes";
/** Header field with the time in milliseconds that a request takes at the
 * server; without it the server draws one. */
constexpr const char* kWorkTimeField = "X-Work-Ms";

/** Makes the body of the answer to a request. It names the request all over, so
 * that any part of it shows which request it belongs to.
 * @param aLeastBytes Size, unless the shortest body is larger. */
std::string
AnswerBody(const std::string& aRequestId, size_t aLeastBytes = 0);

} // namespace fescuetiller
