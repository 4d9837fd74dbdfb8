#include "cluster/records.h"

#include <cstdio>
#include <limits>
#include <tuple>

#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <nlohmann/json.hpp>

#include "cluster/storeera.h"
#include "model/address.h"
#include "model/rowvalue.h"

namespace fescuetiller {

namespace {

using nlohmann::json;

constexpr const char* kMemberPrefix = "member/";
constexpr const char* kRangePrefix = "range/";
constexpr const char* kDrainPrefix = "drain/";
constexpr const char* kShutdownPrefix = "shutdown/";

bool
HasPrefix(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

MemberState
ReadState(const std::string& aText)
{
  for (auto state :
       { MemberState::Ready, MemberState::Draining, MemberState::Down }) {
    if (aText == ToString(state)) {
      return state;
    }
  }
  throw JsonMismatch{ "field 'state' is not ready, draining or down" };
}

std::string
ReadAddress(const JsonObject& aObject, const char* aName)
{
  auto address = aObject.Text(aName);
  if (!IsAddress(address)) {
    throw JsonMismatch{ std::string("field '") + aName +
                        "' is not an IP address and port" };
  }
  return address;
}

/** Returns the first key of a range; its digits are as RangeKey writes them. */
Key
ReadFirstKey(const StoreKey& aKey)
{
  auto digits = aKey.key.substr(std::string(kRangePrefix).size());
  Key first = 0;
  if (digits.find_first_not_of("0123456789") != std::string::npos ||
      !boost::conversion::try_lexical_convert(digits, first) ||
      first > kLastKey || !(RangeKey(aKey.part, first) == aKey)) {
    throw JsonMismatch{ "its key is not that of a range" };
  }
  return first;
}

/** Parses a row of one kind. */
template<typename Record>
std::optional<Record>
ParseRow(const StoreRow& aRow,
         bool aIsKind,
         Result<Record> (*aRead)(const StoreRow&))
{
  if (!aIsKind || aRow.removed) {
    return std::nullopt;
  }
  auto record = aRead(aRow);
  return record ? std::optional<Record>(std::move(*record)) : std::nullopt;
}

} // namespace

bool
operator==(const MemberRecord& aLeft, const MemberRecord& aRight)
{
  auto tie = [](const MemberRecord& aRecord) {
    return std::tie(aRecord.id,
                    aRecord.service,
                    aRecord.zone,
                    aRecord.address,
                    aRecord.udpAddress,
                    aRecord.state,
                    aRecord.guardians);
  };
  return tie(aLeft) == tie(aRight);
}

bool
operator!=(const MemberRecord& aLeft, const MemberRecord& aRight)
{
  return !(aLeft == aRight);
}

bool
operator==(const RangeRecord& aLeft, const RangeRecord& aRight)
{
  auto tie = [](const RangeRecord& aRecord) {
    return std::tie(aRecord.service,
                    aRecord.range,
                    aRecord.owner,
                    aRecord.epoch,
                    aRecord.handover);
  };
  return tie(aLeft) == tie(aRight);
}

bool
operator==(const DrainRecord& aLeft, const DrainRecord& aRight)
{
  auto tie = [](const DrainRecord& aRecord) {
    return std::tie(aRecord.service,
                    aRecord.address,
                    aRecord.drain,
                    aRecord.revision,
                    aRecord.changedBy);
  };
  return tie(aLeft) == tie(aRight);
}

bool
operator==(const ShutdownRecord& aLeft, const ShutdownRecord& aRight)
{
  return aLeft.service == aRight.service && aLeft.address == aRight.address &&
         aLeft.servers == aRight.servers;
}

StoreKey
MemberKey(const std::string& aService, const MemberId& aId)
{
  return { kClusterTable, aService, kMemberPrefix + aId };
}

StoreKey
RangeKey(const std::string& aService, Key aFirst)
{
  char digits[16];
  std::snprintf(digits, sizeof(digits), "%05u", aFirst);
  return { kClusterTable, aService, std::string(kRangePrefix) + digits };
}

StoreKey
DrainKey(const std::string& aService, const std::string& aAddress)
{
  return { kClusterTable, aService, kDrainPrefix + aAddress };
}

StoreKey
ShutdownKey(const std::string& aService, const std::string& aAddress)
{
  return { kClusterTable, aService, kShutdownPrefix + aAddress };
}

StoreKey
ClaimsClosedKey(const std::string& aService)
{
  return { kClusterTable, aService, "claims-closed" };
}

StoreKey
LeaseKey(const std::string& aService, const MemberId& aId)
{
  return { kLeaseTable, aService, aId };
}

StoreRow
ToRow(const MemberRecord& aRecord)
{
  json value = { { "zone", aRecord.zone },
                 { "address", aRecord.address },
                 { "beacon", aRecord.udpAddress },
                 { "state", ToString(aRecord.state) },
                 { "guardians", aRecord.guardians } };
  return { MemberKey(aRecord.service, aRecord.id), value.dump(), 0, false };
}

StoreRow
ToRow(const RangeRecord& aRecord)
{
  json value = { { "last", aRecord.range.last },
                 { "owner", aRecord.owner },
                 { "epoch", aRecord.epoch },
                 { "handover", aRecord.handover } };
  return {
    RangeKey(aRecord.service, aRecord.range.first), value.dump(), 0, false
  };
}

StoreRow
ToRow(const DrainRecord& aRecord)
{
  json value = { { "drain", aRecord.drain },
                 { "revision", aRecord.revision },
                 { "changed-by", aRecord.changedBy } };
  return { DrainKey(aRecord.service, aRecord.address), value.dump(), 0, false };
}

StoreRow
ToRow(const ShutdownRecord& aRecord)
{
  json servers = json::array();
  for (const auto& server : aRecord.servers) {
    servers.push_back({ { "id", server.id }, { "born", server.startedAt } });
  }
  json value = { { "servers", servers } };
  return {
    ShutdownKey(aRecord.service, aRecord.address), value.dump(), 0, false
  };
}

bool
IsMemberKey(const StoreKey& aKey)
{
  return aKey.table == kClusterTable && HasPrefix(aKey.key, kMemberPrefix);
}

bool
IsRangeKey(const StoreKey& aKey)
{
  return aKey.table == kClusterTable && HasPrefix(aKey.key, kRangePrefix);
}

bool
IsDrainKey(const StoreKey& aKey)
{
  return aKey.table == kClusterTable && HasPrefix(aKey.key, kDrainPrefix);
}

bool
IsShutdownKey(const StoreKey& aKey)
{
  return aKey.table == kClusterTable && HasPrefix(aKey.key, kShutdownPrefix);
}

Result<MemberRecord>
ReadMember(const StoreRow& aRow)
{
  return ReadRowValue<MemberRecord>(aRow, [&](const JsonObject& aValue) {
    MemberRecord record;
    record.id = aRow.key.key.substr(std::string(kMemberPrefix).size());
    if (record.id.empty()) {
      throw JsonMismatch{ "its key has no id" };
    }
    record.service = aRow.key.part;
    record.zone = aValue.Text("zone");
    record.address = ReadAddress(aValue, "address");
    record.udpAddress = ReadAddress(aValue, "beacon");
    record.guardians = aValue.Texts("guardians");
    record.state = ReadState(aValue.Text("state"));
    return record;
  });
}

Result<RangeRecord>
ReadRange(const StoreRow& aRow)
{
  return ReadRowValue<RangeRecord>(aRow, [&](const JsonObject& aValue) {
    RangeRecord record;
    record.service = aRow.key.part;
    record.range.first = ReadFirstKey(aRow.key);
    record.range.last = static_cast<Key>(aValue.Number("last", kLastKey));
    if (record.range.first > record.range.last) {
      throw JsonMismatch{ "the range ends before it starts" };
    }
    record.owner = aValue.Text("owner");
    record.epoch = aValue.Number("epoch", kMaxEpoch - 1);
    if (record.epoch < FirstEpoch(EraOf(aRow.version))) {
      throw JsonMismatch{ "field 'epoch' is lower than any of this era" };
    }
    record.handover = aValue.Text("handover");
    return record;
  });
}

Result<DrainRecord>
ReadDrain(const StoreRow& aRow)
{
  return ReadRowValue<DrainRecord>(aRow, [&](const JsonObject& aValue) {
    // The next revision must fit into the type.
    constexpr uint64_t kMaxRevision = std::numeric_limits<uint64_t>::max() - 1;
    DrainRecord record;
    record.service = aRow.key.part;
    record.address = aRow.key.key.substr(std::string(kDrainPrefix).size());
    record.drain = aValue.Flag("drain");
    record.revision = aValue.Number("revision", kMaxRevision);
    record.changedBy = aValue.Text("changed-by");
    return record;
  });
}

Result<ShutdownRecord>
ReadShutdown(const StoreRow& aRow)
{
  return ReadRowValue<ShutdownRecord>(aRow, [&](const JsonObject& aValue) {
    ShutdownRecord record;
    record.service = aRow.key.part;
    record.address = aRow.key.key.substr(std::string(kShutdownPrefix).size());
    const auto& servers = aValue.Get("servers");
    if (!servers.is_array()) {
      throw JsonMismatch{ "field 'servers' is not a list" };
    }
    for (const auto& entry : servers) {
      JsonObject server(entry);
      constexpr uint64_t kMaxTime = std::numeric_limits<int64_t>::max();
      record.servers.push_back(
        { server.Text("id"),
          static_cast<int64_t>(server.Number("born", kMaxTime)) });
    }
    return record;
  });
}

std::optional<MemberRecord>
ParseMember(const StoreRow& aRow)
{
  return ParseRow(aRow, IsMemberKey(aRow.key), ReadMember);
}

std::optional<RangeRecord>
ParseRange(const StoreRow& aRow)
{
  return ParseRow(aRow, IsRangeKey(aRow.key), ReadRange);
}

std::optional<DrainRecord>
ParseDrain(const StoreRow& aRow)
{
  return ParseRow(aRow, IsDrainKey(aRow.key), ReadDrain);
}

const char*
ToString(MemberState aState)
{
  switch (aState) {
    case MemberState::Ready:
      return "ready";
    case MemberState::Draining:
      return "draining";
    case MemberState::Down:
      return "down";
  }
  return "unknown";
}

size_t
AcknowledgementsNeeded(size_t aGuardians)
{
  return (aGuardians + 1) / 2;
}

size_t
ConsentsNeeded(size_t aGuardians)
{
  return aGuardians - AcknowledgementsNeeded(aGuardians) + 1;
}

} // namespace fescuetiller
