#pragma once

#include <optional>

#include <nlohmann/json.hpp>

#include "model/storerow.h"

namespace fescuetiller {

/** Parses a row whose value is a JSON object. Returns nothing if the row was
 * removed, or if the value is not an object with members of the right types.
 * @param aParse Converts the object; may return nothing itself. */
template<typename Record, typename Function>
std::optional<Record>
ParseRowValue(const StoreRow& aRow, Function aParse)
{
  if (aRow.removed) {
    return std::nullopt;
  }
  auto value = nlohmann::json::parse(aRow.value, nullptr, false);
  if (!value.is_object()) {
    return std::nullopt;
  }
  try {
    return aParse(value);
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace fescuetiller
