#include "fescuetillerd/configurationsharing.h"

#include <nlohmann/json.hpp>

#include "model/nesting.h"
#include "platform/platform.h"

namespace fescuetiller {

namespace {

using nlohmann::json;

/** Timeout of a load. Other daemons are asked before it passes. */
constexpr Duration kLoadTimeout = std::chrono::milliseconds(2000);
/** Size limit for a configuration: the largest response of the store. */
constexpr size_t kMaxConfigurationBytes = 4 * 1024 * 1024;

} // namespace

ConfigurationSharing::ConfigurationSharing(ConnectionPool& aPool,
                                           EventLog& aLog,
                                           Hooks aHooks)
  : pool(aPool)
  , log(aLog)
  , hooks(std::move(aHooks))
{
}

void
ConfigurationSharing::OnAnnouncement(Time aNow,
                                     RowVersion aVersion,
                                     const Tcp::endpoint& aPeer)
{
  auto own = this->hooks.seen();
  if (!this->lag.OnAnnouncement(aNow, aVersion, own)) {
    return;
  }
  auto address = ToString(aPeer);
  this->log.Write({ "configuration-behind",
                    { { "row_version", std::to_string(own) },
                      { "announced", std::to_string(aVersion) },
                      { "peer", address } } });
  HttpRequest request(http::verb::get, kSharedConfigurationPath, 11);
  request.set(http::field::host, address);
  CallOptions options;
  options.timeout = kLoadTimeout;
  // Packets to a busy link wait; a new attempt would wait as long.
  options.connectTimeout = kLoadTimeout;
  options.ackTimeout = kLoadTimeout;
  Fetch(this->pool,
        aPeer,
        std::move(request),
        options,
        [this, address](const Result<HttpResponse>& aResponse) {
          this->lag.OnLoadEnded();
          this->OnResponse(address, aResponse);
        });
}

void
ConfigurationSharing::OnResponse(const std::string& aPeer,
                                 const Result<HttpResponse>& aResponse)
{
  std::string error;
  if (!aResponse) {
    error = ToString(aResponse.error());
  } else if (aResponse->result_int() != 200) {
    error = "status " + std::to_string(aResponse->result_int());
  } else if (auto row = DecodeSharedRow(aResponse->body()); !row) {
    error = ToString(row.error());
  } else {
    this->hooks.onRow(*row, aPeer);
    return;
  }
  this->log.Write(
    { "configuration-load-failed", { { "peer", aPeer }, { "error", error } } });
}

HttpResponse
ConfigurationSharing::Serve()
{
  const auto& row = this->hooks.current();
  if (row.version == 0) {
    return TextResponse(503, "no configuration yet\n");
  }
  if (this->encodedVersion != row.version) {
    this->encoded = EncodeSharedRow(row);
    this->encodedVersion = row.version;
  }
  auto response = TextResponse(200, this->encoded);
  response.set(http::field::content_type, "application/octet-stream");
  return response;
}

std::string
EncodeSharedRow(const StoreRow& aRow)
{
  auto bytes = json::to_msgpack(json{ aRow.version, aRow.value });
  return Deflate({ bytes.begin(), bytes.end() });
}

Result<StoreRow>
DecodeSharedRow(const std::string& aBytes)
{
  auto bytes = Inflate(aBytes, kMaxConfigurationBytes);
  if (!bytes) {
    return tl::unexpected(bytes.error());
  }
  bool isFlat = IsMessagePack(*bytes, 1);
  auto value = isFlat ? json::from_msgpack(*bytes, true, false) : json();
  if (!value.is_array() || value.size() != 2 ||
      !value[0].is_number_unsigned() || !value[1].is_string() ||
      EraOf(value[0].get<RowVersion>()) > kMaxStoreEra) {
    return tl::unexpected(Error{ ErrorCode::Invalid,
                                 "read configuration",
                                 "peer",
                                 "not a version and a configuration" });
  }
  return StoreRow{ ConfigurationKey(),
                   value[1].get<std::string>(),
                   value[0].get<RowVersion>(),
                   false };
}

} // namespace fescuetiller
