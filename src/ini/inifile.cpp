#include "ini/inifile.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <fstream>
#include <sstream>

#include <boost/algorithm/string/trim.hpp>
#include <boost/lexical_cast.hpp>
#include <boost/property_tree/ini_parser.hpp>

namespace fescuetiller {

namespace {

constexpr size_t kMaxNameLength = 64;
constexpr size_t kMaxFileBytes = 1024 * 1024;
constexpr const char* kStep = "read settings";

/** Lines of all sections ("[name]") and keys ("[name]key"). */
std::map<std::string, int>
FindLines(const std::string& aText)
{
  std::map<std::string, int> places;
  std::istringstream lines(aText);
  std::string line;
  std::string section;
  for (int number = 1; std::getline(lines, line); ++number) {
    boost::trim(line);
    if (line.empty() || line[0] == ';' || line[0] == '#') {
      continue;
    }
    if (line[0] == '[') {
      section =
        "[" + boost::trim_copy(line.substr(1, line.find(']') - 1)) + "]";
      places.emplace(section, number);
      continue;
    }
    std::string key = boost::trim_copy(line.substr(0, line.find('=')));
    places.emplace(section + key, number);
  }
  return places;
}

Error
WrongFile(const std::string& aPlace, const std::string& aText)
{
  return { ErrorCode::Invalid, kStep, aPlace, aText };
}

} // namespace

Error
IniEntry::MakeError(const std::string& aAllowed) const
{
  std::string read = "[" + this->section + "]";
  if (!this->key.empty()) {
    read += " " + this->key + " = \"" + this->value + "\"";
  }
  std::string at = this->line > 0 ? ":" + std::to_string(this->line) : "";
  return WrongFile(this->file + at, read + ": " + aAllowed);
}

Error
IniSection::MissingKeyError(const std::string& aKey) const
{
  return WrongFile(this->header.file + ":" + std::to_string(this->header.line),
                   "[" + this->header.section + "] " + aKey + " is missing");
}

Result<std::vector<IniSection>>
ParseIni(const std::string& aText, const std::string& aFile)
{
  if (aText.size() > kMaxFileBytes) {
    return tl::unexpected(WrongFile(aFile, "must be at most 1 MiB"));
  }
  boost::property_tree::ptree tree;
  std::istringstream stream(aText);
  try {
    boost::property_tree::read_ini(stream, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    return tl::unexpected(
      WrongFile(aFile + ":" + std::to_string(error.line()), error.message()));
  }
  auto lines = FindLines(aText);
  std::vector<IniSection> sections;
  for (const auto& [name, keys] : tree) {
    IniEntry header{ aFile, lines["[" + name + "]"], name, "", "" };
    if (keys.empty()) {
      header.line = lines[name];
      return tl::unexpected(WrongFile(aFile + ":" + std::to_string(header.line),
                                      name + " = \"" + keys.data() +
                                        "\": a key must stand in a section"));
    }
    IniSection section{ header, {} };
    std::string prefix = "[" + name + "]";
    for (const auto& [key, value] : keys) {
      int line = lines[prefix + key];
      section.entries.push_back({ aFile, line, name, key, value.data() });
    }
    sections.push_back(section);
  }
  return sections;
}

Result<std::string>
ReadTextFile(const std::string& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return tl::unexpected(WrongFile(aFile, "cannot open the file"));
  }
  std::string text(kMaxFileBytes + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<size_t>(stream.gcount()));
  return text;
}

Result<uint64_t>
ParseNumber(const IniEntry& aEntry, uint64_t aLeast, uint64_t aMost)
{
  uint64_t number = 0;
  bool parsed = boost::conversion::try_lexical_convert(aEntry.value, number);
  bool digits = std::all_of(aEntry.value.begin(),
                            aEntry.value.end(),
                            [](unsigned char aChar) { return isdigit(aChar); });
  if (!parsed || !digits || number < aLeast || number > aMost) {
    return tl::unexpected(aEntry.MakeError("must be a whole number from " +
                                           std::to_string(aLeast) + " to " +
                                           std::to_string(aMost)));
  }
  return number;
}

Result<double>
ParseFraction(const IniEntry& aEntry, double aAbove, double aBelow)
{
  double number = 0;
  bool parsed = boost::conversion::try_lexical_convert(aEntry.value, number);
  if (!parsed || !std::isfinite(number) || number <= aAbove ||
      number >= aBelow) {
    std::ostringstream allowed;
    allowed << "must be a number above " << aAbove << " and below " << aBelow;
    return tl::unexpected(aEntry.MakeError(allowed.str()));
  }
  return number;
}

Result<bool>
ParseBool(const IniEntry& aEntry)
{
  if (aEntry.value != "true" && aEntry.value != "false") {
    return tl::unexpected(aEntry.MakeError("must be true or false"));
  }
  return aEntry.value == "true";
}

bool
IsValidName(const std::string& aText)
{
  constexpr const char* kAllowed = "abcdefghijklmnopqrstuvwxyz"
                                   "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                   "0123456789.-_";
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         aText.find_first_not_of(kAllowed) == std::string::npos;
}

} // namespace fescuetiller
