#include "config/classtarget.h"

#include <sstream>

#include "ini/ini.h"

namespace fescuetiller {

bool
operator==(const ClassTarget& aLeft, const ClassTarget& aRight)
{
  return aLeft.version == aRight.version &&
         ToRow(aLeft).value == ToRow(aRight).value;
}

RowKey
ClassKey(const std::string& aService, const std::string& aName)
{
  return { kClassTable, aService + "/" + aName };
}

wire::ClassRecord
ToWire(const ClassTarget& aTarget)
{
  wire::ClassRecord record;
  record.set_name(aTarget.name);
  record.set_service(aTarget.service);
  record.set_latency_ms(static_cast<uint32_t>(ToMilliseconds(aTarget.latency)));
  record.set_percentile(aTarget.percentile);
  record.set_share(aTarget.share);
  record.set_idempotent(aTarget.idempotent);
  record.set_revision(aTarget.revision);
  record.set_removed(aTarget.removed);
  record.set_changed_by(aTarget.changedBy);
  record.set_write_id(aTarget.writeId);
  return record;
}

std::string
Describe(const ClassTarget& aTarget)
{
  if (aTarget.removed) {
    return "removed";
  }
  std::ostringstream text;
  text << "latency_ms=" << ToMilliseconds(aTarget.latency)
       << " percentile=" << aTarget.percentile << " share=" << aTarget.share
       << " idempotent=" << (aTarget.idempotent ? "true" : "false");
  return text.str();
}

Row
ToRow(const ClassTarget& aTarget)
{
  return { ClassKey(aTarget.service, aTarget.name),
           ToWire(aTarget).SerializeAsString(),
           aTarget.version,
           false };
}

std::optional<ClassTarget>
ParseClassTarget(const Row& aRow)
{
  wire::ClassRecord record;
  if (aRow.deleted || !record.ParseFromString(aRow.value) ||
      record.name().empty()) {
    return std::nullopt;
  }
  ClassTarget target;
  target.service = record.service();
  target.name = record.name();
  target.latency = std::chrono::milliseconds(record.latency_ms());
  target.percentile = record.percentile();
  target.share = record.share();
  target.idempotent = record.idempotent();
  target.revision = record.revision();
  target.removed = record.removed();
  target.changedBy = record.changed_by();
  target.writeId = record.write_id();
  target.version = aRow.version;
  return target;
}

Result<void>
Check(const ClassTarget& aTarget)
{
  auto wrong = [&](const std::string& aText) {
    return tl::unexpected(Error{ ErrorCode::Invalid,
                                 "check class target",
                                 aTarget.service + "/" + aTarget.name,
                                 aText });
  };
  if (!IsName(aTarget.service)) {
    return wrong(std::string("the service's name ") + kNameRule);
  }
  if (!IsName(aTarget.name)) {
    return wrong(std::string("the class's name ") + kNameRule);
  }
  if (aTarget.latency <= Duration(0) || aTarget.latency > kMaxTargetLatency) {
    return wrong("latency_ms must be from 1 to 3600000");
  }
  if (!(aTarget.percentile > 0 && aTarget.percentile < 100)) {
    return wrong("percentile must lie between 0 and 100");
  }
  if (!(aTarget.share > 0 && aTarget.share <= 1)) {
    return wrong("share must lie above 0 and be at most 1");
  }
  return {};
}

bool
ClassTable::Apply(const Row& aRow)
{
  auto target = ParseClassTarget(aRow);
  if (aRow.key.table != kClassTable || !target) {
    return false;
  }
  auto& known = this->targets[{ target->service, target->name }];
  if (known.version >= target->version) {
    return false;
  }
  known = *target;
  return true;
}

std::optional<ClassTarget>
ClassTable::Find(const std::string& aService, const std::string& aName) const
{
  auto found = this->targets.find({ aService, aName });
  if (found == this->targets.end() || found->second.removed) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<ClassTarget>
ClassTable::All() const
{
  std::vector<ClassTarget> all;
  for (const auto& [name, target] : this->targets) {
    all.push_back(target);
  }
  return all;
}

} // namespace fescuetiller
