#include "fescuetillerd/nodesettings.h"

#include <tuple>

#include "ini/ini.h"
#include "platform/jsonvalue.h"

namespace fescuetiller {

namespace {

using Setters = IniSetters<NodeSettings>;

constexpr uint64_t kMaxPort = 65535;
constexpr double kMaxColdFactor = 100;
constexpr uint64_t kMaxColdMargin = 100000;
constexpr uint64_t kMinMemoryMegabytes = 32;
constexpr uint64_t kMaxMemoryMegabytes = 1024 * 1024;
/** Below this, a daemon cannot keep a connection to each of a few others. */
constexpr uint64_t kMinDescriptors = 256;
constexpr uint64_t kMaxDescriptors = 16 * 1024 * 1024;

IniSetter<NodeSettings>
TextSetter(std::string NodeSettings::*aMember)
{
  return
    [aMember](const IniEntry& aEntry, NodeSettings& aSettings) -> Result<void> {
      aSettings.*aMember = aEntry.value;
      return {};
    };
}

IniSetter<NodeSettings>
DurationSetter(Duration NodeSettings::*aMember)
{
  return
    [aMember](const IniEntry& aEntry, NodeSettings& aSettings) -> Result<void> {
      auto duration = ParseDuration(aEntry.value, aEntry.key);
      if (!duration) {
        return tl::unexpected(aEntry.MakeError(duration.error().message));
      }
      aSettings.*aMember = *duration;
      return {};
    };
}

IniSetter<NodeSettings>
PortSetter(uint16_t NodeSettings::*aMember)
{
  return
    [aMember](const IniEntry& aEntry, NodeSettings& aSettings) -> Result<void> {
      auto port = ParseNumber(aEntry, 1, kMaxPort);
      if (!port) {
        return tl::unexpected(port.error());
      }
      aSettings.*aMember = static_cast<uint16_t>(*port);
      return {};
    };
}

IniSetter<NodeSettings>
NumberSetter(uint32_t NodeSettings::*aMember, uint64_t aMin, uint64_t aMax)
{
  return [aMember, aMin, aMax](const IniEntry& aEntry,
                               NodeSettings& aSettings) -> Result<void> {
    auto number = ParseNumber(aEntry, aMin, aMax);
    if (!number) {
      return tl::unexpected(number.error());
    }
    aSettings.*aMember = static_cast<uint32_t>(*number);
    return {};
  };
}

Result<void>
SetColdFactor(const IniEntry& aEntry, NodeSettings& aSettings)
{
  auto factor = ParseFraction(aEntry, 0, kMaxColdFactor);
  if (!factor) {
    return tl::unexpected(factor.error());
  }
  aSettings.coldFactor = *factor;
  return {};
}

Result<void>
SetTransferCost(const IniEntry& aEntry, NodeSettings& aSettings)
{
  auto cost = ParseDuration(aEntry.value, aEntry.key);
  if (!cost) {
    return tl::unexpected(aEntry.MakeError(cost.error().message));
  }
  aSettings.transferCost = *cost;
  return {};
}

Result<void>
SetRetryRatio(const IniEntry& aEntry, NodeSettings& aSettings)
{
  auto ratio = ParseFraction(aEntry, 0, 1);
  if (!ratio) {
    return tl::unexpected(ratio.error());
  }
  aSettings.retryRatio = *ratio;
  return {};
}

const std::map<std::string, Setters>&
SectionSetters()
{
  static const std::map<std::string, Setters> kSections = {
    { "node",
      { { "name", TextSetter(&NodeSettings::name) },
        { "ip", TextSetter(&NodeSettings::ip) },
        { "zone", TextSetter(&NodeSettings::zone) },
        { "service", TextSetter(&NodeSettings::service) },
        { "server", TextSetter(&NodeSettings::server) } } },
    { "listen",
      { { "clients", TextSetter(&NodeSettings::clientAddress) },
        { "callers", TextSetter(&NodeSettings::callerAddress) },
        { "peers", TextSetter(&NodeSettings::peerAddress) },
        { "ready", TextSetter(&NodeSettings::readinessAddress) },
        { "server-calls", TextSetter(&NodeSettings::serverCallAddress) },
        { "metrics", TextSetter(&NodeSettings::metricsAddress) },
        { "first-port", PortSetter(&NodeSettings::firstPort) },
        { "last-port", PortSetter(&NodeSettings::lastPort) } } },
    { "platform", { { "store", TextSetter(&NodeSettings::storeAddress) } } },
    { "bounds",
      { { "heartbeat", DurationSetter(&NodeSettings::heartbeat) },
        { "longest-hold", DurationSetter(&NodeSettings::maxGrantTime) },
        { "drain-time", DurationSetter(&NodeSettings::drainTime) },
        { "stop-time", DurationSetter(&NodeSettings::stopTime) },
        { "retry-ratio", SetRetryRatio },
        { "cold-factor", SetColdFactor },
        { "cold-margin",
          NumberSetter(&NodeSettings::coldMargin, 0, kMaxColdMargin) },
        { "evacuation-time",
          DurationSetter(&NodeSettings::evacuationTime) } } },
    { "limits",
      { { "memory",
          NumberSetter(&NodeSettings::memoryMegabytes,
                       kMinMemoryMegabytes,
                       kMaxMemoryMegabytes) },
        { "descriptors",
          NumberSetter(&NodeSettings::maxDescriptors,
                       kMinDescriptors,
                       kMaxDescriptors) } } },
    { "zones", { { "transfer-cost", SetTransferCost } } },
  };
  return kSections;
}

Result<void>
CheckRequired(const NodeSettings& aSettings, const std::string& aFile)
{
  const std::vector<std::pair<const char*, std::string>> required = {
    { "node: name", aSettings.name },
    { "node: ip", aSettings.ip },
    { "node: service", aSettings.service },
    { "node: server", aSettings.server },
    { "listen: clients", aSettings.clientAddress },
    { "listen: peers", aSettings.peerAddress },
    { "listen: ready", aSettings.readinessAddress },
    { "listen: server-calls", aSettings.serverCallAddress },
    { "platform: store", aSettings.storeAddress },
  };
  for (const auto& [name, value] : required) {
    if (value.empty()) {
      return tl::unexpected(Error{ ErrorCode::Invalid,
                                   "read settings",
                                   aFile,
                                   std::string("missing value for ") + name });
    }
  }
  if (aSettings.firstPort == 0 || aSettings.lastPort < aSettings.firstPort) {
    return tl::unexpected(Error{ ErrorCode::Invalid,
                                 "read settings",
                                 aFile,
                                 "listen: first-port must not be greater than "
                                 "last-port" });
  }
  return {};
}

} // namespace

bool
operator==(const NodeSettings& aLeft, const NodeSettings& aRight)
{
  auto tie = [](const NodeSettings& aSettings) {
    return std::tie(aSettings.name,
                    aSettings.ip,
                    aSettings.zone,
                    aSettings.service,
                    aSettings.server,
                    aSettings.clientAddress,
                    aSettings.callerAddress,
                    aSettings.peerAddress,
                    aSettings.readinessAddress,
                    aSettings.serverCallAddress,
                    aSettings.metricsAddress,
                    aSettings.firstPort,
                    aSettings.lastPort,
                    aSettings.storeAddress,
                    aSettings.heartbeat,
                    aSettings.maxGrantTime,
                    aSettings.drainTime,
                    aSettings.stopTime,
                    aSettings.retryRatio,
                    aSettings.coldFactor,
                    aSettings.coldMargin,
                    aSettings.evacuationTime,
                    aSettings.memoryMegabytes,
                    aSettings.maxDescriptors,
                    aSettings.transferCost);
  };
  return tie(aLeft) == tie(aRight);
}

Result<NodeSettings>
ParseNodeSettings(const std::string& aText, const std::string& aFile)
{
  auto sections = ParseIni(aText, aFile);
  if (!sections) {
    return tl::unexpected(sections.error());
  }
  NodeSettings settings;
  for (const auto& section : *sections) {
    auto known = SectionSetters().find(section.header.section);
    if (known == SectionSetters().end()) {
      return tl::unexpected(section.header.MakeError(
        "unknown section; allowed: " + JoinKeys(SectionSetters())));
    }
    auto set = ApplySetters(section, known->second, settings);
    if (!set) {
      return tl::unexpected(set.error());
    }
  }
  auto complete = CheckRequired(settings, aFile);
  if (!complete) {
    return tl::unexpected(complete.error());
  }
  return settings;
}

Result<NodeSettings>
ReadNodeSettings(const std::string& aFile)
{
  auto text = ReadTextFile(aFile);
  if (!text) {
    return tl::unexpected(text.error());
  }
  return ParseNodeSettings(*text, aFile);
}

} // namespace fescuetiller
