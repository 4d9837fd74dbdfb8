#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "base/base.h"
#include "model/jsonobject.h"

namespace fescuetiller {

/** Parses a JSON text. @param aOperation What is being read, for the error. */
Result<nlohmann::json>
ParseJson(const std::string& aText,
          const std::string& aOperation,
          const std::string& aPeer);

/** Reads a member that is a string of a number and its unit: "1500ms" or
 * "2.5s". Throws JsonMismatch. */
Duration
ReadTime(const JsonObject& aObject, const char* aName);

Result<Duration>
ParseDuration(const std::string& aText, const std::string& aOperation);

std::string
FormatDuration(Duration aDuration);

} // namespace fescuetiller
