#pragma once

#include <string>

namespace fescuetiller {

/** Whether a text is an IP address and a port that one can send to, such as
 * 10.1.0.38:8145. */
bool
IsAddress(const std::string& aText);

} // namespace fescuetiller
