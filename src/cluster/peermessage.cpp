#include "cluster/peermessage.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include <nlohmann/json.hpp>

#include "model/jsonobject.h"
#include "model/nesting.h"

namespace fescuetiller {

namespace {

using nlohmann::json;

constexpr int kLastKind = static_cast<int>(PeerMessage::Kind::Crashes);
constexpr uint64_t kLastRelay =
  static_cast<uint64_t>(PeerMessage::Relay::Requested);
/** Position of PeerMessage::relay. */
constexpr size_t kRelayIndex = 14;
/** Age above which a configuration counts as not confirmed. */
constexpr Duration kMaxConfigurationAge = std::chrono::seconds(60);

/** Largest number of crash records that a message may hold. */
constexpr size_t kMaxCrashes = 64;

/** Depth of the arrays of a message: the message, its lists, their entries and
 * lists in these. */
constexpr size_t kMaxDepth = 4;
/** Largest time that a message may state, either way. */
constexpr int64_t kMaxMilliseconds = 1000000000000;

/** Returns a row version whose era is possible. */
RowVersion
ReadVersion(const json& aValue)
{
  constexpr RowVersion kMax = MakeRowVersion(kMaxStoreEra + 1, 0) - 1;
  return ToUnsigned(aValue, "version", kMax);
}

uint32_t
ReadSmallNumber(const json& aValue, const char* aName)
{
  return static_cast<uint32_t>(
    ToUnsigned(aValue, aName, std::numeric_limits<uint32_t>::max()));
}

int64_t
ReadInteger(const json& aValue, int64_t aLeast, int64_t aMost)
{
  bool isSmall = aValue.is_number_integer() &&
                 (!aValue.is_number_unsigned() ||
                  aValue.get<uint64_t>() <= static_cast<uint64_t>(aMost));
  if (!isSmall || aValue.get<int64_t>() < aLeast ||
      aValue.get<int64_t>() > aMost) {
    throw JsonMismatch{ "an integer is out of range" };
  }
  return aValue.get<int64_t>();
}

double
ReadLoad(const json& aValue)
{
  if (!aValue.is_number() || !std::isfinite(aValue.get<double>()) ||
      aValue.get<double>() < 0) {
    throw JsonMismatch{ "a load is not a non-negative number" };
  }
  return aValue.get<double>();
}

/** Parses an age in milliseconds; nothing if it is no valid one. */
std::optional<Duration>
ParseAge(const json& aValue)
{
  constexpr auto kMax =
    std::chrono::duration_cast<std::chrono::milliseconds>(kMaxConfigurationAge)
      .count();
  if (!aValue.is_number_unsigned() || aValue.get<uint64_t>() > kMax) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(aValue.get<int64_t>());
}

/** Returns nothing for a value of a later release. */
std::optional<PeerMessage::Relay>
ReadRelay(const json& aValue)
{
  if (!aValue.is_number_unsigned() || aValue.get<uint64_t>() > kLastRelay) {
    return std::nullopt;
  }
  return static_cast<PeerMessage::Relay>(aValue.get<int>());
}

/** Throws if they are malformed. */
std::vector<StoreRow>
ReadRows(const json& aValue)
{
  std::vector<StoreRow> rows;
  for (const auto& row : aValue) {
    rows.push_back({ { row.at(0).get<std::string>(),
                       row.at(1).get<std::string>(),
                       row.at(2).get<std::string>() },
                     row.at(3).get<std::string>(),
                     ReadVersion(row.at(4)),
                     row.at(5).get<bool>() });
  }
  return rows;
}

/** Throws if they are malformed. */
EvacuationOrders
ReadEvacuations(const json& aValue)
{
  EvacuationOrders orders;
  if (aValue.is_null()) {
    return orders;
  }
  orders.version = ReadVersion(aValue.at(0));
  for (const auto& zone : aValue.at(1)) {
    orders.zones.insert(zone.get<std::string>());
  }
  orders.truncated = aValue.at(2).get<bool>();
  return orders;
}

/** Returns the orders with as many zones as there is room for. */
json
ToJson(const EvacuationOrders& aOrders, size_t aMaxZoneBytes)
{
  constexpr size_t kOverheadBytes = 3; // Of a text of up to 65535 bytes.
  std::vector<std::string> zones(aOrders.zones.begin(), aOrders.zones.end());
  std::stable_sort(
    zones.begin(), zones.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.size() < aRight.size();
    });
  json listed = json::array();
  size_t bytes = 0;
  for (const auto& zone : zones) {
    bytes += zone.size() + kOverheadBytes;
    if (bytes > aMaxZoneBytes) {
      break;
    }
    listed.push_back(zone);
  }
  bool truncated = aOrders.truncated || listed.size() < zones.size();
  return { aOrders.version, listed, truncated };
}

/** Parses crash records. Throws if they are malformed. */
std::vector<CrashRecord>
ParseCrashes(const json& aValue)
{
  std::vector<CrashRecord> crashes;
  for (const auto& entry : aValue) {
    if (crashes.size() == kMaxCrashes) {
      break;
    }
    constexpr uint32_t kMaxAge = std::numeric_limits<uint32_t>::max();
    auto age = std::min<uint64_t>(ToUnsigned(entry.at(2), "age"), kMaxAge);
    std::vector<uint64_t> servers;
    for (const auto& server : entry.at(3)) {
      servers.push_back(ToUnsigned(server, "server"));
    }
    crashes.push_back({ ToUnsigned(entry.at(0), "fingerprint"),
                        ReadSmallNumber(entry.at(1), "generation"),
                        std::move(servers),
                        ReadSmallNumber(entry.at(4), "trials"),
                        std::chrono::milliseconds(age) });
  }
  return crashes;
}

} // namespace

bool
operator==(const PeerMessage& aLeft, const PeerMessage& aRight)
{
  auto tie = [](const PeerMessage& aMessage) {
    return std::tie(aMessage.kind,
                    aMessage.from,
                    aMessage.to,
                    aMessage.member,
                    aMessage.version,
                    aMessage.sentAt,
                    aMessage.rows,
                    aMessage.load,
                    aMessage.untilHeartbeat,
                    aMessage.configuration,
                    aMessage.configurationAge,
                    aMessage.crashes,
                    aMessage.era,
                    aMessage.evacuations,
                    aMessage.relay);
  };
  return tie(aLeft) == tie(aRight);
}

std::string
Encode(const PeerMessage& aMessage)
{
  json value = { static_cast<int>(aMessage.kind),
                 aMessage.from,
                 aMessage.to,
                 aMessage.member,
                 aMessage.version,
                 aMessage.sentAt };
  json rows = json::array();
  for (const auto& row : aMessage.rows) {
    rows.push_back({ row.key.table,
                     row.key.part,
                     row.key.key,
                     row.value,
                     row.version,
                     row.removed });
  }
  value.push_back(rows);
  value.push_back(aMessage.load);
  value.push_back(ToMilliseconds(aMessage.untilHeartbeat));
  value.push_back(aMessage.configuration);
  value.push_back(aMessage.era);
  value.push_back(
    aMessage.configurationAge
      ? json(static_cast<uint64_t>(ToMilliseconds(*aMessage.configurationAge)))
      : json());
  json crashes = json::array();
  for (const auto& crash : aMessage.crashes) {
    crashes.push_back({ crash.fingerprint,
                        crash.generation,
                        static_cast<uint64_t>(ToMilliseconds(crash.age)),
                        crash.servers,
                        crash.trials });
  }
  value.push_back(crashes);
  // Of the orders without their zones, and of the field after them.
  constexpr size_t kOverheadBytes = 18;
  auto used = json::to_msgpack(value).size() + kOverheadBytes;
  bool announces =
    aMessage.evacuations.version != 0 && used <= kMaxDatagramBytes;
  if (announces) {
    value.push_back(ToJson(aMessage.evacuations, kMaxDatagramBytes - used));
  } else if (aMessage.relay) {
    value.push_back(json());
  }
  if (aMessage.relay) {
    value.push_back(static_cast<int>(*aMessage.relay));
  }
  auto bytes = json::to_msgpack(value);
  return { bytes.begin(), bytes.end() };
}

std::optional<PeerMessage>
DecodePeerMessage(const std::string& aBytes)
{
  if (!IsMessagePack(aBytes, kMaxDepth)) {
    return std::nullopt;
  }
  auto value = json::from_msgpack(aBytes, true, false);
  try {
    value.dump(); // Throws if a text is not UTF-8, which JSON cannot hold.
    if (!value.is_array()) {
      return std::nullopt;
    }
    constexpr int64_t kAnyTime = std::numeric_limits<int64_t>::max();
    return PeerMessage{
      static_cast<PeerMessage::Kind>(ReadInteger(value.at(0), 0, kLastKind)),
      value.at(1).get<std::string>(),
      value.at(2).get<std::string>(),
      value.at(3).get<std::string>(),
      ReadVersion(value.at(4)),
      ReadInteger(value.at(5), -kAnyTime, kAnyTime),
      ReadRows(value.at(6)),
      ReadLoad(value.at(7)),
      std::chrono::milliseconds(
        ReadInteger(value.at(8), -kMaxMilliseconds, kMaxMilliseconds)),
      // Earlier releases do not send the last ones.
      value.size() > 9 ? ReadVersion(value.at(9)) : 0,
      value.size() > 11 ? ParseAge(value.at(11)) : std::nullopt,
      value.size() > 12 ? ParseCrashes(value.at(12))
                        : std::vector<CrashRecord>(),
      value.size() > 10 ? ToUnsigned(value.at(10), "era", kMaxStoreEra) : 0,
      value.size() > 13 ? ReadEvacuations(value.at(13)) : EvacuationOrders(),
      value.size() > kRelayIndex ? ReadRelay(value.at(kRelayIndex))
                                 : std::nullopt
    };
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const JsonMismatch&) {
    return std::nullopt;
  }
}

} // namespace fescuetiller
