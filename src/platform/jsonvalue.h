#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "base/base.h"

namespace fescuetiller {

/** Reads a JSON text. @param aStep What is being read, for the error. */
Result<nlohmann::json>
ParseJson(const std::string& aText,
          const std::string& aStep,
          const std::string& aPeer);

/** Thrown and caught within a parse function; carries no peer yet. */
struct JsonMismatch
{
  std::string message;
};

/** Typed members of a JSON object; a missing member or one of another type
 * throws JsonMismatch. */
class JsonObject
{
public:
  explicit JsonObject(const nlohmann::json& aValue);

  bool Has(const char* aName) const;
  const nlohmann::json& Get(const char* aName) const;
  std::string Text(const char* aName) const;
  uint64_t Number(const char* aName) const;
  bool Flag(const char* aName) const;
  /** A number and its unit: "1500ms" or "2.5s". */
  Duration Time(const char* aName) const;

private:
  const nlohmann::json& value;
};

/** Whole number of a JSON value that is not negative. */
uint64_t
NumberOf(const nlohmann::json& aValue, const char* aName);

Result<Duration>
ParseDuration(const std::string& aText, const std::string& aStep);

std::string
FormatDuration(Duration aDuration);

} // namespace fescuetiller
