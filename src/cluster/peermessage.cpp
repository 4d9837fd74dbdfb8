#include "cluster/peermessage.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include <nlohmann/json.hpp>

namespace fescuetiller {

namespace {

using nlohmann::json;

constexpr int kLastKind = static_cast<int>(PeerMessage::Kind::Crashes);
/** Age above which a configuration counts as not confirmed. */
constexpr Duration kMaxConfigurationAge = std::chrono::seconds(60);

/** Largest number of crash records that a message may hold. */
constexpr size_t kMaxCrashes = 64;

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
    auto age = std::min<uint64_t>(entry.at(2).get<uint64_t>(), kMaxAge);
    crashes.push_back({ entry.at(0).get<RequestFingerprint>(),
                        entry.at(1).get<uint32_t>(),
                        entry.at(3).get<std::vector<uint64_t>>(),
                        entry.at(4).get<uint32_t>(),
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
                    aMessage.era);
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
  auto bytes = json::to_msgpack(value);
  return { bytes.begin(), bytes.end() };
}

std::optional<PeerMessage>
DecodePeerMessage(const std::string& aBytes)
{
  auto value = json::from_msgpack(aBytes, true, false);
  try {
    value.dump(); // Throws if a text is not UTF-8, which JSON cannot hold.
    auto kind = value.at(0).get<int>();
    if (!value.is_array() || kind < 0 || kind > kLastKind) {
      return std::nullopt;
    }
    std::vector<StoreRow> rows;
    for (const auto& row : value.at(6)) {
      rows.push_back({ { row.at(0).get<std::string>(),
                         row.at(1).get<std::string>(),
                         row.at(2).get<std::string>() },
                       row.at(3).get<std::string>(),
                       row.at(4).get<RowVersion>(),
                       row.at(5).get<bool>() });
    }
    return PeerMessage{ static_cast<PeerMessage::Kind>(kind),
                        value.at(1).get<std::string>(),
                        value.at(2).get<std::string>(),
                        value.at(3).get<std::string>(),
                        value.at(4).get<RowVersion>(),
                        value.at(5).get<int64_t>(),
                        std::move(rows),
                        value.at(7).get<double>(),
                        std::chrono::milliseconds(value.at(8).get<int64_t>()),
                        // Earlier releases do not send the last four.
                        value.size() > 9 ? value.at(9).get<RowVersion>() : 0,
                        value.size() > 11 ? ParseAge(value.at(11))
                                          : std::nullopt,
                        value.size() > 12 ? ParseCrashes(value.at(12))
                                          : std::vector<CrashRecord>(),
                        value.size() > 10 ? value.at(10).get<StoreEra>() : 0 };
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace fescuetiller
