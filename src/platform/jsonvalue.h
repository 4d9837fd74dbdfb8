#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "base/base.h"

namespace fescuetiller {

/** Parses a JSON text. @param aOperation What is being read, for the error. */
Result<nlohmann::json>
ParseJson(const std::string& aText,
          const std::string& aOperation,
          const std::string& aPeer);

/** Thrown and caught within a parse function, which adds operation and peer. */
struct JsonMismatch
{
  std::string message;
};

/** Typed access to the members of a JSON object; throws JsonMismatch for a
 * member that is missing or has another type. */
class JsonObject
{
public:
  explicit JsonObject(const nlohmann::json& aValue);

  bool Has(const char* aName) const;
  const nlohmann::json& Get(const char* aName) const;
  std::string Text(const char* aName) const;
  uint64_t Number(const char* aName) const;
  bool Flag(const char* aName) const;
  /** Parses a string of a number and its unit: "1500ms" or "2.5s". */
  Duration Time(const char* aName) const;

private:
  const nlohmann::json& value;
};

/** Converts a non-negative integer. @param aName Its field, for the error. */
uint64_t
ToUnsigned(const nlohmann::json& aValue, const char* aName);

Result<Duration>
ParseDuration(const std::string& aText, const std::string& aOperation);

std::string
FormatDuration(Duration aDuration);

} // namespace fescuetiller
