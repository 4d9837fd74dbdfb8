#include "config/settings.h"

#include <arpa/inet.h>

#include <boost/algorithm/string.hpp>

namespace fescuetiller {

namespace {

constexpr uint32_t kMaxPartitions = 1U << 20U;
constexpr uint64_t kMaxPort = 65535;
constexpr uint64_t kMaxMilliseconds = 3600000;
constexpr uint64_t kMaxBytes = 64 * 1024 * 1024;
constexpr uint64_t kMaxThreads = 4096;
constexpr const char* kServicePrefix = "service ";

using Setter = IniSetter<Settings>;

/** Sets a field once its text was read; what is read decides the field. */
template<typename Field, typename Value>
Result<void>
Assign(Field& aField, const Result<Value>& aValue)
{
  if (!aValue) {
    return tl::unexpected(aValue.error());
  }
  aField = static_cast<Field>(*aValue);
  return {};
}

Result<void>
Assign(Duration& aField, const Result<uint64_t>& aValue)
{
  if (!aValue) {
    return tl::unexpected(aValue.error());
  }
  aField = std::chrono::milliseconds(*aValue);
  return {};
}

template<typename Field>
Setter
Number(Field Settings::*aField, uint64_t aLeast, uint64_t aMost)
{
  return [=](const IniEntry& aEntry, Settings& aSettings) {
    return Assign(aSettings.*aField, ParseNumber(aEntry, aLeast, aMost));
  };
}

template<typename Group, typename Field>
Setter
Number(Group Settings::*aGroup,
       Field Group::*aField,
       uint64_t aLeast,
       uint64_t aMost)
{
  return [=](const IniEntry& aEntry, Settings& aSettings) {
    return Assign(aSettings.*aGroup.*aField,
                  ParseNumber(aEntry, aLeast, aMost));
  };
}

using TextRule = bool (*)(const std::string&);

Setter
Text(std::string Settings::*aField, TextRule aRule, const char* aAllowed)
{
  return [=](const IniEntry& aEntry, Settings& aSettings) -> Result<void> {
    if (!aRule(aEntry.value)) {
      return tl::unexpected(aEntry.Wrong(aAllowed));
    }
    aSettings.*aField = aEntry.value;
    return {};
  };
}

bool
IsIp(const std::string& aText)
{
  in_addr parsed{};
  return inet_pton(AF_INET, aText.c_str(), &parsed) == 1;
}

bool
IsAddress(const std::string& aText)
{
  size_t colon = aText.rfind(':');
  if (colon == std::string::npos || !IsIp(aText.substr(0, colon))) {
    return false;
  }
  IniEntry port;
  port.value = aText.substr(colon + 1);
  return ParseNumber(port, 1, kMaxPort).has_value();
}

/** Reads addresses that commas separate. */
Setter
Addresses(std::vector<std::string> Settings::*aField)
{
  return [=](const IniEntry& aEntry, Settings& aSettings) -> Result<void> {
    std::vector<std::string> addresses;
    boost::split(
      addresses, aEntry.value, [](char aSign) { return aSign == ','; });
    for (auto& address : addresses) {
      boost::trim(address);
      if (!IsAddress(address)) {
        return tl::unexpected(aEntry.Wrong(
          "must be IPv4 addresses and ports with commas between them"));
      }
    }
    aSettings.*aField = addresses;
    return {};
  };
}

bool
IsPath(const std::string& aText)
{
  return !aText.empty();
}

Setter
Name(std::string Settings::*aField)
{
  return Text(aField, IsName, kNameRule);
}

Setter
Ip(std::string Settings::*aField)
{
  return Text(aField, IsIp, "must be an IPv4 address such as 10.0.0.1");
}

Setter
Port(uint16_t Settings::*aField)
{
  return Number(aField, 0, kMaxPort);
}

Setter
Milliseconds(Duration Settings::*aField)
{
  return Number(aField, 1, kMaxMilliseconds);
}

Setter
Milliseconds(Duration LeaseSettings::*aField)
{
  return Number(&Settings::lease, aField, 1, kMaxMilliseconds);
}

Setter
Milliseconds(Duration Limits::*aField)
{
  return Number(&Settings::limits, aField, 1, kMaxMilliseconds);
}

Result<void>
SetGoal(const IniEntry& aEntry, Settings& aSettings)
{
  for (auto goal : { PlacementGoal::UnavailableTime, PlacementGoal::Churn }) {
    if (aEntry.value == ToString(goal)) {
      aSettings.weighMost = goal;
      return {};
    }
  }
  return tl::unexpected(aEntry.Wrong("must be unavailable_time or churn"));
}

const std::map<std::string, IniSetters<Settings>>&
Sections()
{
  static const std::map<std::string, IniSetters<Settings>> kSections = {
    { "daemon",
      {
        { "name", Name(&Settings::name) },
        { "zone", Name(&Settings::zone) },
        { "listen_ip", Ip(&Settings::listenIp) },
        { "operator_ip", Ip(&Settings::operatorIp) },
        { "peer_ip", Ip(&Settings::peerIp) },
        { "backend_ip", Ip(&Settings::backendIp) },
        { "caller_port", Port(&Settings::callerPort) },
        { "backend_port", Port(&Settings::backendPort) },
        { "operator_port", Port(&Settings::operatorPort) },
        { "peer_port", Port(&Settings::peerPort) },
        { "control_port", Port(&Settings::controlPort) },
        { "ports_file",
          Text(&Settings::portsFile, IsPath, "must not be empty") },
        { "default_deadline_ms", Milliseconds(&Settings::defaultDeadline) },
        { "stop_timeout_ms", Milliseconds(&Settings::stopTimeout) },
      } },
    { "gossip", { { "seeds", Addresses(&Settings::seeds) } } },
    { "platform",
      {
        { "address",
          Text(&Settings::platformAddress,
               IsAddress,
               "must be an IPv4 address and a port, such as 10.0.0.1:80") },
        { "timeout_ms", Milliseconds(&Settings::platformTimeout) },
      } },
    { "lease",
      {
        { "lease_ms", Milliseconds(&LeaseSettings::lease) },
        { "renew_interval_ms", Milliseconds(&LeaseSettings::renewInterval) },
        { "drift_margin_ms", Milliseconds(&LeaseSettings::driftMargin) },
        { "grantor_timeout_ms", Milliseconds(&LeaseSettings::grantorTimeout) },
        { "retry_interval_ms", Milliseconds(&LeaseSettings::retryInterval) },
      } },
    { "placement", { { "weigh_most", SetGoal } } },
    { "limits",
      {
        { "max_body_bytes",
          Number(&Settings::limits, &Limits::maxBodyBytes, 1, kMaxBytes) },
        { "read_timeout_ms", Milliseconds(&Limits::readTimeout) },
        { "write_timeout_ms", Milliseconds(&Limits::writeTimeout) },
        { "keep_alive_timeout_ms", Milliseconds(&Limits::keepAliveTimeout) },
        { "requests_per_connection",
          Number(
            &Settings::limits, &Limits::requestsPerConnection, 1, UINT32_MAX) },
        { "caller_threads",
          Number(&Settings::limits, &Limits::callerThreads, 1, kMaxThreads) },
      } },
  };
  return kSections;
}

Result<void>
SetService(const IniSection& aSection, Settings& aSettings)
{
  std::string service =
    aSection.place.section.substr(std::string(kServicePrefix).size());
  if (!IsName(service)) {
    return tl::unexpected(
      aSection.place.Wrong(std::string("a service's name ") + kNameRule));
  }
  IniSetters<uint32_t> setters = {
    { "partitions",
      [](const IniEntry& aEntry, uint32_t& aCount) {
        return Assign(aCount, ParseNumber(aEntry, 1, kMaxPartitions));
      } },
  };
  return SetAll(aSection, setters, aSettings.partitions[service]);
}

Result<void>
SetSection(const IniSection& aSection, Settings& aSettings)
{
  if (aSection.place.section.rfind(kServicePrefix, 0) == 0) {
    return SetService(aSection, aSettings);
  }
  auto section = Sections().find(aSection.place.section);
  if (section == Sections().end()) {
    return tl::unexpected(aSection.place.Wrong(
      "unknown section; allowed: " + KeysOf(Sections()) + ", service NAME"));
  }
  return SetAll(aSection, section->second, aSettings);
}

/** Settings together with the sections that they were read from. */
struct Checked
{
  const Settings& settings;
  const std::vector<IniSection>& sections;
  std::string file;

  /** Where a key stands; the file alone when its default is in use. */
  tl::unexpected<Error> Wrong(const std::string& aSection,
                              const std::string& aKey,
                              const std::string& aValue,
                              const std::string& aAllowed) const
  {
    IniEntry place{ this->file, 0, aSection, aKey, aValue };
    for (const auto& section : this->sections) {
      for (const auto& entry : section.entries) {
        bool found = entry.section == aSection && entry.key == aKey;
        place.line = found ? entry.line : place.line;
      }
    }
    return tl::unexpected(place.Wrong(aAllowed));
  }
};

std::string
Ms(Duration aTime)
{
  return std::to_string(ToMilliseconds(aTime));
}

/** Times that the lease protocol needs in a certain order. */
Result<void>
CheckLease(const Checked& aChecked)
{
  const LeaseSettings& lease = aChecked.settings.lease;
  auto wrong =
    [&](const std::string& aKey, Duration aRead, const std::string& aAllowed) {
      return aChecked.Wrong("lease", aKey, Ms(aRead), "must be " + aAllowed);
    };
  Duration usable = lease.lease - lease.driftMargin;
  std::string usableText = "lease_ms less drift_margin_ms (" + Ms(usable) + ")";
  if (usable <= Duration(0)) {
    return wrong("drift_margin_ms",
                 lease.driftMargin,
                 "below lease_ms (" + Ms(lease.lease) + ")");
  }
  if (2 * lease.renewInterval > usable) {
    return wrong("renew_interval_ms",
                 lease.renewInterval,
                 "at most half of " + usableText);
  }
  if (lease.grantorTimeout <= lease.renewInterval ||
      lease.grantorTimeout >= usable) {
    return wrong("grantor_timeout_ms",
                 lease.grantorTimeout,
                 "above renew_interval_ms (" + Ms(lease.renewInterval) +
                   ") and below " + usableText);
  }
  if (lease.retryInterval >= usable) {
    return wrong(
      "retry_interval_ms", lease.retryInterval, "below " + usableText);
  }
  return {};
}

/** A port that two listeners of one IP address ask for. */
Result<void>
CheckPorts(const Checked& aChecked)
{
  struct Listener
  {
    const char* key;
    std::string ip;
    uint16_t port;
  };
  const Settings& settings = aChecked.settings;
  const Listener kListeners[] = {
    { "caller_port", settings.listenIp, settings.callerPort },
    { "backend_port", settings.backendIp, settings.backendPort },
    { "operator_port", settings.operatorIp, settings.operatorPort },
    { "peer_port", settings.peerIp, settings.peerPort },
  };
  std::map<std::pair<std::string, uint16_t>, std::string> taken;
  for (const auto& listener : kListeners) {
    auto [other, added] =
      taken.emplace(std::pair(listener.ip, listener.port), listener.key);
    if (!added && listener.port != 0) {
      return aChecked.Wrong("daemon",
                            listener.key,
                            std::to_string(listener.port),
                            "must differ from " + other->second);
    }
  }
  return {};
}

Result<void>
CheckRequired(const Checked& aChecked)
{
  const Settings& settings = aChecked.settings;
  const std::pair<bool, const char*> kRequired[] = {
    { settings.name.empty(), "[daemon] name" },
    { settings.zone.empty(), "[daemon] zone" },
    { settings.platformAddress.empty(), "[platform] address" },
    { settings.partitions.empty(), "[service NAME] partitions" },
  };
  for (const auto& [missing, key] : kRequired) {
    if (missing) {
      return tl::unexpected(Error{ ErrorCode::Invalid,
                                   "read settings",
                                   aChecked.file,
                                   std::string(key) + " is missing" });
    }
  }
  return {};
}

/** Ports without an IP address of their own are bound to the callers'. */
void
DefaultIps(Settings& aSettings)
{
  for (auto* ip :
       { &aSettings.operatorIp, &aSettings.peerIp, &aSettings.backendIp }) {
    if (ip->empty()) {
      *ip = aSettings.listenIp;
    }
  }
}

} // namespace

const char*
ToString(PlacementGoal aGoal)
{
  return aGoal == PlacementGoal::Churn ? "churn" : "unavailable_time";
}

Result<Settings>
ParseSettings(const std::string& aText, const std::string& aFile)
{
  auto sections = ParseIni(aText, aFile);
  if (!sections) {
    return tl::unexpected(sections.error());
  }
  Settings settings;
  for (const auto& section : *sections) {
    auto set = SetSection(section, settings);
    if (!set) {
      return tl::unexpected(set.error());
    }
  }
  DefaultIps(settings);
  for (auto check : { CheckRequired, CheckLease, CheckPorts }) {
    auto passed = check({ settings, *sections, aFile });
    if (!passed) {
      return tl::unexpected(passed.error());
    }
  }
  return settings;
}

Result<Settings>
ReadSettings(const std::string& aFile)
{
  auto text = ReadTextFile(aFile);
  if (!text) {
    return tl::unexpected(text.error());
  }
  return ParseSettings(*text, aFile);
}

} // namespace fescuetiller
