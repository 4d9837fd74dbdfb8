#include "config/classfile.h"

#include "ini/ini.h"

namespace fescuetiller {

namespace {

constexpr const char* kClassPrefix = "class ";
constexpr uint64_t kMaxLatencyMs =
  kMaxTargetLatency / std::chrono::milliseconds(1);

Result<void>
SetLatency(const IniEntry& aEntry, ClassFileEntry& aClass)
{
  auto number = ParseNumber(aEntry, 1, kMaxLatencyMs);
  if (!number) {
    return tl::unexpected(number.error());
  }
  aClass.target.latency = std::chrono::milliseconds(*number);
  return {};
}

Result<void>
SetPercentile(const IniEntry& aEntry, ClassFileEntry& aClass)
{
  auto number = ParseFraction(aEntry, 0, 100);
  if (!number) {
    return tl::unexpected(number.error());
  }
  aClass.target.percentile = *number;
  return {};
}

Result<void>
SetShare(const IniEntry& aEntry, ClassFileEntry& aClass)
{
  auto number = ParseFraction(aEntry, 0, 1);
  bool all = aEntry.value == "1" || aEntry.value == "1.0";
  if (!number && !all) {
    return tl::unexpected(
      aEntry.Wrong("must be a number above 0 and at most 1"));
  }
  aClass.target.share = all ? 1 : *number;
  return {};
}

Result<void>
SetIdempotent(const IniEntry& aEntry, ClassFileEntry& aClass)
{
  auto value = ParseBool(aEntry);
  if (!value) {
    return tl::unexpected(value.error());
  }
  aClass.target.idempotent = *value;
  return {};
}

Result<void>
SetBasedOn(const IniEntry& aEntry, ClassFileEntry& aClass)
{
  auto number = ParseNumber(aEntry, 0, UINT32_MAX);
  if (!number) {
    return tl::unexpected(number.error());
  }
  aClass.basedOn = *number;
  return {};
}

Result<ClassFileEntry>
ParseSection(const IniSection& aSection)
{
  static const IniSetters<ClassFileEntry> kSetters = {
    { "latency_ms", SetLatency }, { "percentile", SetPercentile },
    { "share", SetShare },        { "idempotent", SetIdempotent },
    { "revision", SetBasedOn },
  };
  const std::string& title = aSection.place.section;
  size_t slash = title.find('/');
  size_t start = std::string(kClassPrefix).size();
  if (title.rfind(kClassPrefix, 0) != 0 || slash == std::string::npos) {
    return tl::unexpected(
      aSection.place.Wrong("unknown section; allowed: class SERVICE/CLASS"));
  }
  ClassFileEntry entry;
  entry.line = aSection.place.line;
  entry.target.service = title.substr(start, slash - start);
  entry.target.name = title.substr(slash + 1);
  auto set = SetAll(aSection, kSetters, entry);
  if (!set) {
    return tl::unexpected(set.error());
  }
  if (entry.target.latency == Duration(0)) {
    return tl::unexpected(aSection.Missing("latency_ms"));
  }
  auto checked = Check(entry.target);
  if (!checked) {
    return tl::unexpected(aSection.place.Wrong(checked.error().message));
  }
  return entry;
}

} // namespace

Result<std::vector<ClassFileEntry>>
ParseClassFile(const std::string& aText, const std::string& aFile)
{
  auto sections = ParseIni(aText, aFile);
  if (!sections) {
    return tl::unexpected(sections.error());
  }
  std::vector<ClassFileEntry> entries;
  for (const auto& section : *sections) {
    auto entry = ParseSection(section);
    if (!entry) {
      return tl::unexpected(entry.error());
    }
    entries.push_back(*entry);
  }
  if (entries.empty()) {
    return tl::unexpected(Error{ ErrorCode::Invalid,
                                 "read class file",
                                 aFile,
                                 "no [class SERVICE/CLASS] section" });
  }
  return entries;
}

Result<std::vector<ClassFileEntry>>
ReadClassFile(const std::string& aFile)
{
  auto text = ReadTextFile(aFile);
  if (!text) {
    return tl::unexpected(text.error());
  }
  return ParseClassFile(*text, aFile);
}

} // namespace fescuetiller
