#include "config/drain.h"

#include "wire/wire.h"

namespace fescuetiller {

bool
operator==(const Drain& aLeft, const Drain& aRight)
{
  return aLeft.version == aRight.version &&
         ToRow(aLeft).value == ToRow(aRight).value;
}

RowKey
DrainKey(const std::string& aName)
{
  return { kDrainTable, aName };
}

std::string
Describe(const Drain& aDrain)
{
  return aDrain.drain ? "drained" : "serving";
}

Row
ToRow(const Drain& aDrain)
{
  wire::DrainRecord record;
  record.set_name(aDrain.name);
  record.set_drain(aDrain.drain);
  record.set_revision(aDrain.revision);
  record.set_changed_by(aDrain.changedBy);
  record.set_write_id(aDrain.writeId);
  return {
    DrainKey(aDrain.name), record.SerializeAsString(), aDrain.version, false
  };
}

std::optional<Drain>
ParseDrain(const Row& aRow)
{
  wire::DrainRecord record;
  if (aRow.deleted || !record.ParseFromString(aRow.value) ||
      record.name().empty()) {
    return std::nullopt;
  }
  Drain drain;
  drain.name = record.name();
  drain.drain = record.drain();
  drain.revision = record.revision();
  drain.changedBy = record.changed_by();
  drain.writeId = record.write_id();
  drain.version = aRow.version;
  return drain;
}

} // namespace fescuetiller
