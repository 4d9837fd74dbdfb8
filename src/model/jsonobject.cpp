#include "model/jsonobject.h"

#include <algorithm>

namespace fescuetiller {

namespace {

JsonMismatch
MakeMismatch(const char* aName, const std::string& aProblem)
{
  return { std::string("field '") + aName + "' " + aProblem };
}

} // namespace

JsonObject::JsonObject(const nlohmann::json& aValue)
  : value(aValue)
{
  if (!aValue.is_object()) {
    throw JsonMismatch{ "not a JSON object" };
  }
}

bool
JsonObject::Has(const char* aName) const
{
  return this->value.contains(aName);
}

const nlohmann::json&
JsonObject::Get(const char* aName) const
{
  auto found = this->value.find(aName);
  if (found == this->value.end()) {
    throw MakeMismatch(aName, "is missing");
  }
  return *found;
}

std::string
JsonObject::Text(const char* aName) const
{
  const auto& member = this->Get(aName);
  if (!member.is_string()) {
    throw MakeMismatch(aName, "is not a string");
  }
  return member.get<std::string>();
}

std::vector<std::string>
JsonObject::Texts(const char* aName) const
{
  const auto& member = this->Get(aName);
  bool isList =
    member.is_array() &&
    std::all_of(member.begin(), member.end(), [](const auto& aEntry) {
      return aEntry.is_string();
    });
  if (!isList) {
    throw MakeMismatch(aName, "is not a list of strings");
  }
  return member.get<std::vector<std::string>>();
}

uint64_t
JsonObject::Number(const char* aName, uint64_t aMax) const
{
  return ToUnsigned(this->Get(aName), aName, aMax);
}

uint32_t
JsonObject::SmallNumber(const char* aName) const
{
  return static_cast<uint32_t>(
    this->Number(aName, std::numeric_limits<uint32_t>::max()));
}

bool
JsonObject::Flag(const char* aName) const
{
  const auto& member = this->Get(aName);
  if (!member.is_boolean()) {
    throw MakeMismatch(aName, "is not a boolean");
  }
  return member.get<bool>();
}

uint64_t
ToUnsigned(const nlohmann::json& aValue, const char* aName, uint64_t aMax)
{
  if (!aValue.is_number_unsigned()) {
    throw MakeMismatch(aName, "is not a non-negative integer");
  }
  auto number = aValue.get<uint64_t>();
  if (number > aMax) {
    throw MakeMismatch(aName, "is greater than " + std::to_string(aMax));
  }
  return number;
}

} // namespace fescuetiller
