#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/base.h"

namespace fescuetiller {

/** One "key = value" line of an INI file, with its place in the file. */
struct IniEntry
{
  std::string file;
  int line = 0; ///< Counted from 1; 0 when it is not known.
  std::string section;
  std::string key;
  std::string value;

  /** Creates an error with the place, the value that was read and the values
   * that are allowed. */
  Error MakeError(const std::string& aAllowed) const;
};

/** One section of an INI file. */
struct IniSection
{
  IniEntry header;               ///< The "[section]" line; it has no key.
  std::vector<IniEntry> entries; ///< In the order of the file.

  /** Creates an error for a required key that is missing. */
  Error MissingKeyError(const std::string& aKey) const;
};

/**
 * Parses an INI text. Errors are a key outside a section, a line that is
 * neither a section nor an entry, and a duplicate section or key.
 */
Result<std::vector<IniSection>>
ParseIni(const std::string& aText, const std::string& aFile);

/** Reads a text file. Of a file above the size limit of ParseIni() only so much
 * is read that ParseIni() refuses it. */
Result<std::string>
ReadTextFile(const std::string& aFile);

/** Parses a whole number from aMin to aMax. */
Result<uint64_t>
ParseNumber(const IniEntry& aEntry, uint64_t aMin, uint64_t aMax);

/** Parses a number strictly between two bounds. */
Result<double>
ParseFraction(const IniEntry& aEntry, double aAbove, double aBelow);

/** Parses "true" or "false". */
Result<bool>
ParseBool(const IniEntry& aEntry);

/** Whether a text is allowed as the name of a service, class, member or
 * availability zone. */
bool
IsValidName(const std::string& aText);

constexpr const char* kNameRule =
  "must be 1 to 64 letters, digits, '.', '-' or '_'";

/** Joins the keys of a map with ", ", for error messages. */
template<typename Map>
std::string
JoinKeys(const Map& aMap)
{
  std::string names;
  for (const auto& [name, unused] : aMap) {
    names += (names.empty() ? "" : ", ") + name;
  }
  return names;
}

/** Sets one field of an aggregate from an entry. */
template<typename Aggregate>
using IniSetter = std::function<Result<void>(const IniEntry&, Aggregate&)>;

/** The setters of one section, by key. */
template<typename Aggregate>
using IniSetters = std::map<std::string, IniSetter<Aggregate>>;

/** Runs the setter of each entry of a section; unknown keys are errors. */
template<typename Aggregate>
Result<void>
ApplySetters(const IniSection& aSection,
             const IniSetters<Aggregate>& aSetters,
             Aggregate& aAggregate)
{
  for (const auto& entry : aSection.entries) {
    auto setter = aSetters.find(entry.key);
    if (setter == aSetters.end()) {
      return tl::unexpected(
        entry.MakeError("unknown key; allowed: " + JoinKeys(aSetters)));
    }
    auto set = setter->second(entry, aAggregate);
    if (!set) {
      return set;
    }
  }
  return {};
}

} // namespace fescuetiller
