#include "config/settings.h"

#include <fstream>
#include <functional>
#include <sstream>

#include <boost/lexical_cast.hpp>
#include <boost/property_tree/ini_parser.hpp>

namespace fescuetiller {

namespace {

constexpr uint32_t kMaxPartitions = 1U << 20U;

/** Line on which a key stands, for error messages; 0 when it is missing. */
int
LineOf(const std::string& aText,
       const std::string& aSection,
       const std::string& aKey)
{
  std::istringstream lines(aText);
  std::string line;
  bool inSection = false;
  for (int number = 1; std::getline(lines, line); ++number) {
    if (!line.empty() && line[0] == '[') {
      inSection = line.find("[" + aSection + "]") == 0;
      if (inSection && aKey.empty()) {
        return number;
      }
      continue;
    }
    std::string name = line.substr(0, line.find('='));
    name.erase(name.find_last_not_of(" \t") + 1);
    if (inSection && name == aKey) {
      return number;
    }
  }
  return 0;
}

/** Where one value stands and how to report that it is wrong. */
struct Entry
{
  const std::string& text;
  const std::string& file;
  std::string section;
  std::string key;
  std::string value;

  Error Wrong(const std::string& aAllowed) const
  {
    int line = LineOf(this->text, this->section, this->key);
    std::string place =
      this->file + (line > 0 ? ":" + std::to_string(line) : "");
    return { ErrorCode::Invalid,
             "read settings",
             place,
             "[" + this->section + "] " + this->key + " = \"" + this->value +
               "\": " + aAllowed };
  }
};

using Setter = std::function<Result<void>(const Entry&, Settings&)>;

Result<uint64_t>
ParseNumber(const Entry& aEntry, uint64_t aLeast, uint64_t aMost)
{
  uint64_t number = 0;
  bool parsed = boost::conversion::try_lexical_convert(aEntry.value, number);
  bool negative = !aEntry.value.empty() && aEntry.value[0] == '-';
  if (!parsed || negative || number < aLeast || number > aMost) {
    return tl::unexpected(aEntry.Wrong("must be a whole number from " +
                                       std::to_string(aLeast) + " to " +
                                       std::to_string(aMost)));
  }
  return number;
}

Setter
Text(std::string Settings::*aField)
{
  return [aField](const Entry& aEntry, Settings& aSettings) -> Result<void> {
    if (aEntry.value.empty()) {
      return tl::unexpected(aEntry.Wrong("must not be empty"));
    }
    aSettings.*aField = aEntry.value;
    return {};
  };
}

template<typename T>
Setter
Number(T Settings::*aField, uint64_t aLeast, uint64_t aMost)
{
  return [=](const Entry& aEntry, Settings& aSettings) -> Result<void> {
    auto number = ParseNumber(aEntry, aLeast, aMost);
    if (!number) {
      return tl::unexpected(number.error());
    }
    aSettings.*aField = static_cast<T>(*number);
    return {};
  };
}

Setter
Milliseconds(Duration Settings::*aField, uint64_t aLeast, uint64_t aMost)
{
  return [=](const Entry& aEntry, Settings& aSettings) -> Result<void> {
    auto number = ParseNumber(aEntry, aLeast, aMost);
    if (!number) {
      return tl::unexpected(number.error());
    }
    aSettings.*aField = std::chrono::milliseconds(*number);
    return {};
  };
}

const std::map<std::string, std::map<std::string, Setter>>&
Setters()
{
  constexpr uint64_t kMaxPort = 65535;
  constexpr uint64_t kMaxMilliseconds = 3600000;
  constexpr uint64_t kMaxBytes = 64 * 1024 * 1024;
  static const std::map<std::string, std::map<std::string, Setter>> kSetters = {
    { "daemon",
      {
        { "name", Text(&Settings::name) },
        { "zone", Text(&Settings::zone) },
        { "listen_ip", Text(&Settings::listenIp) },
        { "caller_port", Number(&Settings::callerPort, 0, kMaxPort) },
        { "backend_port", Number(&Settings::backendPort, 0, kMaxPort) },
        { "operator_port", Number(&Settings::operatorPort, 0, kMaxPort) },
        { "peer_port", Number(&Settings::peerPort, 0, kMaxPort) },
        { "control_port", Number(&Settings::controlPort, 0, kMaxPort) },
        { "ports_file", Text(&Settings::portsFile) },
        { "default_deadline_ms",
          Milliseconds(&Settings::defaultDeadline, 1, kMaxMilliseconds) },
        { "stop_timeout_ms",
          Milliseconds(&Settings::stopTimeout, 1, kMaxMilliseconds) },
        { "max_body_bytes", Number(&Settings::maxBodyBytes, 1, kMaxBytes) },
      } },
    { "platform",
      {
        { "address", Text(&Settings::platformAddress) },
        { "timeout_ms",
          Milliseconds(&Settings::platformTimeout, 1, kMaxMilliseconds) },
      } },
  };
  return kSetters;
}

Result<void>
SetServiceEntry(const Entry& aEntry, Settings& aSettings)
{
  if (aEntry.key != "partitions") {
    return tl::unexpected(aEntry.Wrong("unknown key; allowed: partitions"));
  }
  auto number = ParseNumber(aEntry, 1, kMaxPartitions);
  if (!number) {
    return tl::unexpected(number.error());
  }
  std::string service = aEntry.section.substr(std::string("service ").size());
  aSettings.partitions[service] = static_cast<uint32_t>(*number);
  return {};
}

Result<void>
SetEntry(const Entry& aEntry, Settings& aSettings)
{
  if (aEntry.section.rfind("service ", 0) == 0) {
    return SetServiceEntry(aEntry, aSettings);
  }
  auto section = Setters().find(aEntry.section);
  if (section == Setters().end()) {
    return tl::unexpected(aEntry.Wrong(
      "unknown section; allowed: [daemon], [platform], [service NAME]"));
  }
  auto setter = section->second.find(aEntry.key);
  if (setter == section->second.end()) {
    std::string allowed;
    for (const auto& [key, unused] : section->second) {
      allowed += (allowed.empty() ? "" : ", ") + key;
    }
    return tl::unexpected(aEntry.Wrong("unknown key; allowed: " + allowed));
  }
  return setter->second(aEntry, aSettings);
}

Result<void>
CheckRequired(const Settings& aSettings, const std::string& aFile)
{
  auto missing = [&](const std::string& aName) {
    return tl::unexpected(Error{
      ErrorCode::Invalid, "read settings", aFile, aName + " is missing" });
  };
  if (aSettings.name.empty()) {
    return missing("[daemon] name");
  }
  if (aSettings.zone.empty()) {
    return missing("[daemon] zone");
  }
  if (aSettings.platformAddress.empty()) {
    return missing("[platform] address");
  }
  if (aSettings.partitions.empty()) {
    return missing("[service NAME] partitions");
  }
  return {};
}

} // namespace

Result<Settings>
ParseSettings(const std::string& aText, const std::string& aFile)
{
  boost::property_tree::ptree tree;
  std::istringstream stream(aText);
  try {
    boost::property_tree::read_ini(stream, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    return tl::unexpected(Error{ ErrorCode::Invalid,
                                 "read settings",
                                 aFile + ":" + std::to_string(error.line()),
                                 error.message() });
  }
  Settings settings;
  for (const auto& [section, keys] : tree) {
    if (keys.empty()) {
      Entry entry{ aText, aFile, section, "", keys.data() };
      return tl::unexpected(entry.Wrong("a key must stand in a section"));
    }
    for (const auto& [key, value] : keys) {
      Entry entry{ aText, aFile, section, key, value.data() };
      auto set = SetEntry(entry, settings);
      if (!set) {
        return tl::unexpected(set.error());
      }
    }
  }
  auto complete = CheckRequired(settings, aFile);
  if (!complete) {
    return tl::unexpected(complete.error());
  }
  return settings;
}

Result<Settings>
ReadSettings(const std::string& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return tl::unexpected(Error{
      ErrorCode::Invalid, "read settings", aFile, "cannot open the file" });
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseSettings(text.str(), aFile);
}

} // namespace fescuetiller
