#pragma once

#include <optional>
#include <string>

#include "tableservice/tableservice.h"

namespace fescuetiller {

constexpr const char* kDrainTable = "drain";

/** Whether operators want the member of a name drained. It outlives the
 * member's process, so that a restarted one drains again. */
struct Drain
{
  std::string name;
  bool drain = false;
  uint64_t revision = 0; ///< Grows by one with each accepted change.
  std::string changedBy;
  std::string writeId;
  RowVersion version = 0;

  friend bool operator==(const Drain& aLeft, const Drain& aRight);
};

RowKey
DrainKey(const std::string& aName);

/** What is asked for, as the audit trail keeps it. */
std::string
Describe(const Drain& aDrain);

Row
ToRow(const Drain& aDrain);

/** Nothing when the row is deleted or malformed. */
std::optional<Drain>
ParseDrain(const Row& aRow);

} // namespace fescuetiller
