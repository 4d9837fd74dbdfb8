#include "cluster/peermessage.h"

#include <tuple>

#include <nlohmann/json.hpp>

namespace fescuetiller {

namespace {

using nlohmann::json;

constexpr int kLastKind = static_cast<int>(PeerMessage::Kind::Confirmation);
/** Age above which a configuration counts as not confirmed. */
constexpr Duration kMaxConfigurationAge = std::chrono::seconds(60);

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
                        // Earlier releases do not send the last three.
                        value.size() > 9 ? value.at(9).get<RowVersion>() : 0,
                        value.size() > 11 ? ParseAge(value.at(11))
                                          : std::nullopt,
                        value.size() > 10 ? value.at(10).get<StoreEra>() : 0 };
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace fescuetiller
