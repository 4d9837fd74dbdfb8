#pragma once

#include <optional>

#include <nlohmann/json.hpp>

#include "model/storerow.h"

namespace fescuetiller {

/** Reads a row whose value is a JSON object. Nothing for a removed row, for a
 * value that is no object, and for one with members missing or of another type.
 * @param aParse Gets the object; may return nothing itself. */
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
