#include "fescuetillerd/nodesettings.h"

#include <tuple>

#include "ini/ini.h"
#include "platform/jsonvalue.h"

namespace fescuetiller {

namespace {

using Setters = IniSetters<NodeSettings>;

constexpr uint64_t kLastPort = 65535;

IniSetter<NodeSettings>
Text(std::string NodeSettings::*aMember)
{
  return
    [aMember](const IniEntry& aEntry, NodeSettings& aSettings) -> Result<void> {
      aSettings.*aMember = aEntry.value;
      return {};
    };
}

IniSetter<NodeSettings>
Time(Duration NodeSettings::*aMember)
{
  return
    [aMember](const IniEntry& aEntry, NodeSettings& aSettings) -> Result<void> {
      auto time = ParseDuration(aEntry.value, aEntry.key);
      if (!time) {
        return tl::unexpected(aEntry.MakeError(time.error().message));
      }
      aSettings.*aMember = *time;
      return {};
    };
}

IniSetter<NodeSettings>
Port(uint16_t NodeSettings::*aMember)
{
  return
    [aMember](const IniEntry& aEntry, NodeSettings& aSettings) -> Result<void> {
      auto port = ParseNumber(aEntry, 1, kLastPort);
      if (!port) {
        return tl::unexpected(port.error());
      }
      aSettings.*aMember = static_cast<uint16_t>(*port);
      return {};
    };
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
Sections()
{
  static const std::map<std::string, Setters> kSections = {
    { "node",
      { { "name", Text(&NodeSettings::name) },
        { "ip", Text(&NodeSettings::ip) },
        { "zone", Text(&NodeSettings::zone) },
        { "service", Text(&NodeSettings::service) },
        { "server", Text(&NodeSettings::server) } } },
    { "listen",
      { { "clients", Text(&NodeSettings::clientAddress) },
        { "callers", Text(&NodeSettings::callerAddress) },
        { "peers", Text(&NodeSettings::peerAddress) },
        { "ready", Text(&NodeSettings::readinessAddress) },
        { "server-calls", Text(&NodeSettings::serverCallAddress) },
        { "metrics", Text(&NodeSettings::metricsAddress) },
        { "first-port", Port(&NodeSettings::firstPort) },
        { "last-port", Port(&NodeSettings::lastPort) } } },
    { "platform", { { "store", Text(&NodeSettings::storeAddress) } } },
    { "bounds",
      { { "heartbeat", Time(&NodeSettings::heartbeat) },
        { "longest-hold", Time(&NodeSettings::maxGrantTime) },
        { "drain-time", Time(&NodeSettings::drainTime) },
        { "stop-time", Time(&NodeSettings::stopTime) },
        { "retry-ratio", SetRetryRatio } } },
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
                                   std::string("no value for ") + name });
    }
  }
  if (aSettings.firstPort == 0 || aSettings.lastPort < aSettings.firstPort) {
    return tl::unexpected(Error{ ErrorCode::Invalid,
                                 "read settings",
                                 aFile,
                                 "listen: first-port must not be above "
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
                    aSettings.retryRatio);
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
    auto known = Sections().find(section.header.section);
    if (known == Sections().end()) {
      return tl::unexpected(section.header.MakeError(
        "unknown section; allowed: " + JoinKeys(Sections())));
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
