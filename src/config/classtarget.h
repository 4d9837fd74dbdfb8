#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tableservice/tableservice.h"
#include "wire/wire.h"

namespace fescuetiller {

constexpr const char* kClassTable = "class";
constexpr Duration kMaxTargetLatency = std::chrono::hours(1);

/** What operators ask of one class of work. */
struct ClassTarget
{
  std::string service;
  std::string name;
  /** Answer time that the percentile must stay under. */
  Duration latency = std::chrono::milliseconds(0);
  double percentile = 99;  ///< 0 to 100, exclusive.
  double share = 0.99;     ///< Share that must get through, 0 to 1.
  bool idempotent = false; ///< Whether a request may run more than once.
  uint64_t revision = 0;   ///< Grows by one with each accepted change.
  bool removed = false;
  std::string changedBy;
  std::string writeId;
  RowVersion version = 0;

  friend bool operator==(const ClassTarget& aLeft, const ClassTarget& aRight);
};

RowKey
ClassKey(const std::string& aService, const std::string& aName);

wire::ClassRecord
ToWire(const ClassTarget& aTarget);

/** What is asked for, on one line, as the audit trail keeps it. */
std::string
Describe(const ClassTarget& aTarget);

Row
ToRow(const ClassTarget& aTarget);

/** Nothing when the row is malformed. */
std::optional<ClassTarget>
ParseClassTarget(const Row& aRow);

/** Names the first field out of its range. */
Result<void>
Check(const ClassTarget& aTarget);

/** Targets as this daemon knows them; an older one never replaces a newer. */
class ClassTable
{
public:
  /** @return Whether the row was newer than what was known. */
  bool Apply(const Row& aRow);

  /** Nothing when the class does not exist or was removed. */
  std::optional<ClassTarget> Find(const std::string& aService,
                                  const std::string& aName) const;

  std::vector<ClassTarget> All() const;

private:
  std::map<std::pair<std::string, std::string>, ClassTarget> targets;
};

} // namespace fescuetiller
