#include "platform/heartbeatcodec.h"

#include <limits>

#include "platform/jsonvalue.h"

namespace fescuetiller {

namespace {

using nlohmann::json;

constexpr const char* kOperation = "read heartbeat";
constexpr const char* kPathPrefix = "/v1/instances/";
constexpr uint64_t kMaxSlots = 100000;

KeyRange
ParseRange(const json& aRow, size_t aColumns)
{
  if (!aRow.is_array() || aRow.size() != aColumns) {
    throw JsonMismatch{ "a range is not a list of three values" };
  }
  auto first = ToUnsigned(aRow[0], "from", kLastKey);
  auto last = ToUnsigned(aRow[1], "to", kLastKey);
  if (first > last) {
    throw JsonMismatch{ "a range ends before it starts" };
  }
  return { static_cast<Key>(first), static_cast<Key>(last) };
}

const json&
GetList(const JsonObject& aObject, const char* aName)
{
  static const json kEmpty = json::array();
  const auto& rows = aObject.Has(aName) ? aObject.Get(aName) : kEmpty;
  if (!rows.is_array()) {
    throw JsonMismatch{ std::string("field '") + aName + "' is not a list" };
  }
  return rows;
}

bool
ParseDraining(const std::string& aState)
{
  if (aState != "ready" && aState != "draining") {
    throw JsonMismatch{ "field 'state' is neither ready nor draining" };
  }
  return aState == "draining";
}

} // namespace

bool
operator==(const ServerCall& aLeft, const ServerCall& aRight)
{
  return aLeft.kind == aRight.kind && aLeft.serverId == aRight.serverId;
}

std::optional<ServerCall>
ParseServerCall(const std::string& aMethod, const std::string& aPath)
{
  const std::string start = kPathPrefix;
  auto end = aPath.rfind('/');
  if (aMethod != "POST" || aPath.compare(0, start.size(), start) != 0 ||
      end <= start.size()) {
    return std::nullopt;
  }
  ServerCall call;
  call.serverId = aPath.substr(start.size(), end - start.size());
  std::string action = aPath.substr(end + 1);
  if (action == "heartbeat") {
    call.kind = ServerCall::Kind::Heartbeat;
  } else if (action == "deregister") {
    call.kind = ServerCall::Kind::Deregister;
  } else {
    return std::nullopt;
  }
  return call;
}

Result<ServerReport>
ParseHeartbeat(const std::string& aServerId, const std::string& aBody)
{
  auto parsed = ParseJson(aBody, kOperation, aServerId);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  try {
    JsonObject body(*parsed);
    ServerReport report;
    report.incarnation.id = aServerId;
    // Deployments that never reuse an id omit the start time.
    constexpr uint64_t kMaxTime = std::numeric_limits<int64_t>::max();
    report.incarnation.startedAt =
      body.Has("born") ? static_cast<int64_t>(body.Number("born", kMaxTime))
                       : 0;
    report.service = body.Text("service");
    report.address = body.Text("address");
    report.zone = body.Text("zone");
    report.slots = static_cast<uint32_t>(body.Number("slots", kMaxSlots));
    if (report.slots == 0) {
      throw JsonMismatch{ "field 'slots' is 0" };
    }
    report.draining = ParseDraining(body.Text("state"));
    report.remainingWarmUp = ReadTime(body, "cold");
    body.Text("version"); // Throws without it: the call is of another writer.
    report.sequence = body.Number("seq");
    for (const auto& row : GetList(body, "holds")) {
      report.grantedRanges.push_back(
        { ParseRange(row, 3), ToUnsigned(row[2], "fence") });
    }
    for (const auto& row : GetList(body, "freed")) {
      auto range = ParseRange(row, 3);
      report.releasedRanges.push_back(
        { range, row[2].is_string() ? row[2].get<std::string>() : "" });
    }
    return report;
  } catch (const JsonMismatch& mismatch) {
    return tl::unexpected(
      Error{ ErrorCode::Invalid, kOperation, aServerId, mismatch.message });
  }
}

std::string
EncodeHeartbeatReply(const HeartbeatReply& aReply)
{
  json body = json::object();
  if (aReply.grants) {
    json rows = json::array();
    for (const auto& grant : aReply.grants->ranges) {
      rows.push_back(
        { grant.range.first, grant.range.last, grant.fence, grant.handover });
    }
    body["holds"] = rows;
    body["hold_time"] = FormatDuration(aReply.grants->validFor);
  }
  return body.dump();
}

} // namespace fescuetiller
