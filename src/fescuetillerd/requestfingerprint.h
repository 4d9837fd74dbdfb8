#pragma once

#include <string_view>

#include "http/http.h"
#include "model/model.h"

namespace fescuetiller {

/** Computes the fingerprint of a request.
 * @param aCaller Service of the machine where the request began. */
RequestFingerprint
FingerprintOf(const HttpRequest& aRequest, std::string_view aCaller);

} // namespace fescuetiller
