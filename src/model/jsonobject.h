#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace fescuetiller {

/** Thrown and caught within a parse function, which adds operation and peer. */
struct JsonMismatch
{
  std::string message;
};

/** Typed access to the members of a JSON object; throws JsonMismatch for a
 * member that is missing, has another type or is out of range. */
class JsonObject
{
public:
  explicit JsonObject(const nlohmann::json& aValue);

  bool Has(const char* aName) const;
  const nlohmann::json& Get(const char* aName) const;
  std::string Text(const char* aName) const;
  std::vector<std::string> Texts(const char* aName) const;
  uint64_t Number(const char* aName,
                  uint64_t aMax = std::numeric_limits<uint64_t>::max()) const;
  /** Reads a number that fits into 32 bits. */
  uint32_t SmallNumber(const char* aName) const;
  bool Flag(const char* aName) const;

private:
  const nlohmann::json& value;
};

/** Converts a non-negative integer up to aMax. @param aName Its field, for the
 * error. */
uint64_t
ToUnsigned(const nlohmann::json& aValue,
           const char* aName,
           uint64_t aMax = std::numeric_limits<uint64_t>::max());

} // namespace fescuetiller
