#include "platform/storecodec.h"

#include <algorithm>

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include "http/urlquery.h"
#include "platform/base64.h"
#include "platform/jsonvalue.h"

namespace fescuetiller {

namespace {

using nlohmann::json;

constexpr const char* kOperation = "call store";
constexpr const char* kReadPath = "/v1/rows-get";
constexpr unsigned kOk = 200;
constexpr unsigned kGone = 410;
constexpr unsigned kPreconditionFailed = 412;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;
constexpr uint64_t kMaxVersionNumber = (uint64_t(1) << kVersionNumberBits) - 1;

json
ToJson(const StoreKey& aKey)
{
  return { { "table", aKey.table },
           { "part", aKey.part },
           { "key", aKey.key } };
}

RowVersion
ReadVersion(const JsonObject& aObject, StoreEra aEra)
{
  return MakeRowVersion(aEra, aObject.Number("ver", kMaxVersionNumber));
}

StoreRow
ParseRow(const json& aValue, StoreEra aEra)
{
  JsonObject object(aValue);
  StoreRow row;
  row.key = { object.Text("table"),
              object.Has("part") ? object.Text("part") : "",
              object.Text("key") };
  row.removed = object.Has("removed") && object.Get("removed") != json(false);
  if (object.Has("ver")) {
    row.version = ReadVersion(object, aEra);
  }
  if (!row.removed && object.Has("value")) {
    // A value that another writer spoilt is empty, so that its reader refuses
    // this row alone.
    const auto& value = object.Get("value");
    row.value = value.is_string()
                  ? DecodeBase64(value.get<std::string>()).value_or("")
                  : "";
  }
  return row;
}

std::vector<StoreRow>
ParseRowList(const JsonObject& aBody, StoreEra aEra)
{
  std::vector<StoreRow> rows;
  if (!aBody.Has("rows")) {
    return rows;
  }
  for (const auto& row : aBody.Get("rows")) {
    rows.push_back(ParseRow(row, aEra));
  }
  return rows;
}

Error
MakeStatusError(unsigned aStatus, ErrorCode aCode)
{
  return { aCode, kOperation, "store", "status " + std::to_string(aStatus) };
}

Error
MakeParseError(const std::string& aMessage)
{
  return { ErrorCode::Unknown, kOperation, "store", aMessage };
}

} // namespace

StoreRequest
EncodeTransaction(const StoreTransaction& aTransaction)
{
  json conditions = json::array();
  for (const auto& condition : aTransaction.conditions) {
    auto entry = ToJson(condition.key);
    entry["ver"] = NumberOf(condition.version);
    conditions.push_back(entry);
  }
  json sets = json::array();
  for (const auto& row : aTransaction.sets) {
    auto entry = ToJson(row.key);
    entry["value"] = EncodeBase64(row.value);
    sets.push_back(entry);
  }
  json removes = json::array();
  for (const auto& key : aTransaction.removes) {
    removes.push_back(ToJson(key));
  }
  json body = { { "expected-rev", conditions },
                { "set-keys", sets },
                { "remove", removes } };
  return { "POST", "/v1/rows-tx", body.dump() };
}

StoreRequest
EncodeReadRequest(const std::string& aTable,
                  const std::string& aPart,
                  const std::string& aFrom)
{
  std::string target = std::string(kReadPath) +
                       "?table=" + PercentEncode(aTable) +
                       "&part=" + PercentEncode(aPart);
  if (!aFrom.empty()) {
    target += "&from=" + PercentEncode(aFrom);
  }
  return { "GET", target, "" };
}

StoreRequest
EncodeWatchRequest(const std::string& aTable, RowVersion aAfter, Duration aWait)
{
  return { "GET",
           "/v1/rows-feed?table=" + PercentEncode(aTable) +
             "&after=" + std::to_string(NumberOf(aAfter)) +
             "&wait-ms=" + std::to_string(ToMilliseconds(aWait)),
           "" };
}

std::optional<StoreKey>
ParseReadRequest(const std::string& aMethod, const std::string& aTarget)
{
  if (aMethod != "GET" || aTarget.substr(0, aTarget.find('?')) != kReadPath) {
    return std::nullopt;
  }
  auto query = ParseQuery(aTarget);
  return StoreKey{ query["table"], query["part"], query["from"] };
}

std::string
EncodeRows(const StoreRows& aRows)
{
  json rows = json::array();
  for (const auto& row : aRows.rows) {
    auto entry = ToJson(row.key);
    entry["value"] = EncodeBase64(row.value);
    entry["ver"] = row.version;
    rows.push_back(std::move(entry));
  }
  json body = { { "rows", rows },
                { "ver", aRows.version },
                { "has-more", aRows.hasMore } };
  return body.dump();
}

Result<StoreOutcome>
ParseOutcome(unsigned aStatus, const std::string& aBody, StoreEra aEra)
{
  if (aStatus == kServiceUnavailable || aStatus == kTooManyRequests) {
    return tl::unexpected(MakeStatusError(aStatus, ErrorCode::Unavailable));
  }
  if (aStatus != kOk && aStatus != kPreconditionFailed) {
    auto code = aStatus >= 500 ? ErrorCode::Unknown : ErrorCode::Refused;
    return tl::unexpected(MakeStatusError(aStatus, code));
  }
  auto parsed = ParseJson(aBody, kOperation, "store");
  if (!parsed) {
    return tl::unexpected(MakeParseError(parsed.error().message));
  }
  try {
    JsonObject body(*parsed);
    StoreOutcome outcome;
    outcome.committed = aStatus == kOk;
    outcome.version = body.Has("ver") ? ReadVersion(body, aEra) : 0;
    outcome.current = ParseRowList(body, aEra);
    return outcome;
  } catch (const JsonMismatch& mismatch) {
    return tl::unexpected(MakeParseError(mismatch.message));
  }
}

Result<StoreRows>
ParseRows(unsigned aStatus, const std::string& aBody, StoreEra aEra)
{
  if (aStatus == kGone) {
    return tl::unexpected(MakeStatusError(aStatus, ErrorCode::Expired));
  }
  if (aStatus != kOk) {
    return tl::unexpected(MakeStatusError(aStatus, ErrorCode::Unavailable));
  }
  auto parsed = ParseJson(aBody, kOperation, "store");
  if (!parsed) {
    return tl::unexpected(MakeParseError(parsed.error().message));
  }
  try {
    JsonObject body(*parsed);
    StoreRows rows;
    rows.rows = ParseRowList(body, aEra);
    rows.version = ReadVersion(body, aEra);
    rows.hasMore = body.Has("has-more") && body.Flag("has-more");
    return rows;
  } catch (const JsonMismatch& mismatch) {
    return tl::unexpected(MakeParseError(mismatch.message));
  }
}

Result<StoreEra>
ParseStoreEra(const std::string& aText)
{
  StoreEra era = 0;
  if (!aText.empty() &&
      (aText.find_first_not_of("0123456789") != std::string::npos ||
       !boost::conversion::try_lexical_convert(aText, era) ||
       era > kMaxStoreEra)) {
    return tl::unexpected(MakeParseError("invalid era \"" + aText + "\""));
  }
  return era;
}

} // namespace fescuetiller
