#pragma once

#include <optional>

#include <nlohmann/json.hpp>

#include "base/base.h"
#include "model/jsonobject.h"
#include "model/storerow.h"

namespace fescuetiller {

/** Reads a row whose value is a JSON object. The error names table, partition,
 * key and reason.
 * @param aRead Converts the object; throws JsonMismatch if it is invalid. */
template<typename Record, typename Function>
Result<Record>
ReadRowValue(const StoreRow& aRow, Function aRead)
{
  auto value = nlohmann::json::parse(aRow.value, nullptr, false);
  try {
    return aRead(JsonObject(value));
  } catch (const JsonMismatch& mismatch) {
    return tl::unexpected(Error{
      ErrorCode::Invalid, "read row", ToString(aRow.key), mismatch.message });
  }
}

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
