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

/** Maps all sections ("[name]") and keys ("[name]key") to their line numbers,
 * which the parser of Boost doesn't report. */
std::map<std::string, int>
FindLineNumbers(const std::string& aText)
{
  std::map<std::string, int> lineNumbers;
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
      lineNumbers.emplace(section, number);
      continue;
    }
    std::string key = boost::trim_copy(line.substr(0, line.find('=')));
    lineNumbers.emplace(section + key, number);
  }
  return lineNumbers;
}

Error
FileError(const std::string& aPlace, const std::string& aText)
{
  return { ErrorCode::Invalid, kStep, aPlace, aText };
}

} // namespace

Error
IniEntry::MakeError(const std::string& aAllowed) const
{
  std::string found = "[" + this->section + "]";
  if (!this->key.empty()) {
    found += " " + this->key + " = \"" + this->value + "\"";
  }
  std::string place = this->line > 0 ? ":" + std::to_string(this->line) : "";
  return FileError(this->file + place, found + ": " + aAllowed);
}

Error
IniSection::MissingKeyError(const std::string& aKey) const
{
  return FileError(this->header.file + ":" + std::to_string(this->header.line),
                   "[" + this->header.section + "] " + aKey + " is missing");
}

Result<std::vector<IniSection>>
ParseIni(const std::string& aText, const std::string& aFile)
{
  if (aText.size() > kMaxFileBytes) {
    return tl::unexpected(FileError(aFile, "must be at most 1 MiB"));
  }
  boost::property_tree::ptree tree;
  std::istringstream stream(aText);
  try {
    boost::property_tree::read_ini(stream, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    return tl::unexpected(
      FileError(aFile + ":" + std::to_string(error.line()), error.message()));
  }
  auto lines = FindLineNumbers(aText);
  std::vector<IniSection> sections;
  for (const auto& [name, keys] : tree) {
    IniEntry header{ aFile, lines["[" + name + "]"], name, "", "" };
    if (keys.empty()) {
      header.line = lines[name];
      return tl::unexpected(FileError(aFile + ":" + std::to_string(header.line),
                                      name + " = \"" + keys.data() +
                                        "\": a key must be in a section"));
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
    return tl::unexpected(FileError(aFile, "cannot open the file"));
  }
  std::string text(kMaxFileBytes + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<size_t>(stream.gcount()));
  return text;
}

Result<uint64_t>
ParseNumber(const IniEntry& aEntry, uint64_t aMin, uint64_t aMax)
{
  uint64_t number = 0;
  bool parsed = boost::conversion::try_lexical_convert(aEntry.value, number);
  bool digits = std::all_of(aEntry.value.begin(),
                            aEntry.value.end(),
                            [](unsigned char aChar) { return isdigit(aChar); });
  if (!parsed || !digits || number < aMin || number > aMax) {
    return tl::unexpected(aEntry.MakeError("must be a whole number from " +
                                           std::to_string(aMin) + " to " +
                                           std::to_string(aMax)));
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
