#include "platform/configurationcodec.h"

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include "platform/jsonvalue.h"

namespace fescuetiller {

namespace {

using nlohmann::json;

constexpr const char* kOperation = "read configuration";

uint64_t
ParseVersion(const std::string& aText)
{
  uint64_t version = 0;
  // The conversion alone would accept a sign.
  if (aText.size() < 2 || aText[0] != 'r' ||
      aText.find_first_not_of("0123456789", 1) != std::string::npos ||
      !boost::conversion::try_lexical_convert(aText.substr(1), version)) {
    throw JsonMismatch{ "field 'version' is not r and a number" };
  }
  return version;
}

RequestKind
ParseKind(const std::string& aText)
{
  if (aText == "safe") {
    return RequestKind::Idempotent;
  }
  if (aText == "unsafe") {
    return RequestKind::NonIdempotent;
  }
  if (aText == "download") {
    return RequestKind::Download;
  }
  throw JsonMismatch{ "field 'kind' is not safe, unsafe or download" };
}

std::vector<Destination>
ParseDestinations(const JsonObject& aRoute)
{
  if (!aRoute.Has("weighted-clusters")) {
    return { { aRoute.Text("service"), 1 } };
  }
  std::vector<Destination> destinations;
  const auto& entries = aRoute.Get("weighted-clusters");
  if (!entries.is_array() || entries.empty()) {
    throw JsonMismatch{ "'weighted-clusters' is not a non-empty list" };
  }
  for (const auto& entry : entries) {
    JsonObject object(entry);
    destinations.push_back(
      { object.Text("service"), object.SmallNumber("weight") });
  }
  return destinations;
}

Route
ParseRoute(const std::string& aName, const json& aValue)
{
  JsonObject object(aValue);
  Route route;
  route.name = aName;
  route.host = object.Text("host");
  route.prefix = object.Text("prefix");
  route.kind = ParseKind(object.Text("kind"));
  route.timeout = ReadTime(object, "timeout");
  route.targetLatency = object.Has("target-latency")
                          ? ReadTime(object, "target-latency")
                          : route.timeout;
  route.priority = object.Has("priority") ? object.SmallNumber("priority") : 0;
  route.attempts = object.Has("attempts") ? object.SmallNumber("attempts") : 1;
  route.destinations = ParseDestinations(object);
  return route;
}

/** Reads the rate that cold servers tolerate. @return Nothing if it is absent
 * or 0, which states no limit. */
std::optional<double>
ParseColdRate(const JsonObject& aService)
{
  if (!aService.Has("cold-per-s")) {
    return std::nullopt;
  }
  const auto& value = aService.Get("cold-per-s");
  if (!value.is_number() || value.get<double>() < 0) {
    throw JsonMismatch{ "field 'cold-per-s' is not a non-negative number" };
  }
  auto rate = value.get<double>();
  return rate > 0 ? std::optional(rate) : std::nullopt;
}

Service
ParseService(const std::string& aName, const json& aValue)
{
  JsonObject object(aValue);
  Service service;
  service.name = aName;
  service.healthPath =
    object.Has("health-check") ? object.Text("health-check") : "";
  service.maxConnections = object.SmallNumber("max-connections");
  service.ownsKeys = object.Has("sharded") && object.Flag("sharded");
  service.warmUp =
    object.Has("warmup") ? ReadTime(object, "warmup") : Duration(0);
  service.coldRequestsPerSecond = ParseColdRate(object);
  if (object.Has("protocol") && object.Text("protocol") != "h1") {
    throw JsonMismatch{ "service '" + aName +
                        "' uses a protocol other than HTTP/1.1" };
  }
  if (object.Has("tls") && object.Flag("tls")) {
    throw JsonMismatch{ "service '" + aName +
                        "' requires TLS, which is not supported" };
  }
  return service;
}

ClientLimits
ParseLimits(const JsonObject& aLimits)
{
  ClientLimits limits;
  limits.maxHeaderBytes = aLimits.SmallNumber("max-header-bytes");
  limits.maxBodyBytes = aLimits.Number("max-body-bytes");
  limits.headerTimeout = ReadTime(aLimits, "header-timeout");
  limits.idleTimeout = ReadTime(aLimits, "idle-timeout");
  return limits;
}

Configuration
ParseConfigurationObject(const JsonObject& aObject)
{
  Configuration configuration;
  configuration.version = ParseVersion(aObject.Text("version"));
  const auto& services = aObject.Get("services");
  const auto& routes = aObject.Get("routes");
  JsonObject{ services };
  JsonObject{ routes };
  for (const auto& [name, value] : services.items()) {
    configuration.services[name] = ParseService(name, value);
  }
  for (const auto& [name, value] : routes.items()) {
    configuration.routes[name] = ParseRoute(name, value);
  }
  if (aObject.Has("limits")) {
    configuration.limits = ParseLimits(JsonObject(aObject.Get("limits")));
  }
  return configuration;
}

} // namespace

const StoreKey&
ConfigurationKey()
{
  static const StoreKey kKey{ "op", "", "config" };
  return kKey;
}

Result<Configuration>
ParseConfiguration(const std::string& aText)
{
  auto parsed = ParseJson(aText, kOperation, ConfigurationKey().table);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  try {
    return ParseConfigurationObject(JsonObject(*parsed));
  } catch (const JsonMismatch& mismatch) {
    return tl::unexpected(Error{ ErrorCode::Invalid,
                                 kOperation,
                                 ConfigurationKey().table,
                                 mismatch.message });
  }
}

} // namespace fescuetiller
