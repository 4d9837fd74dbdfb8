#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/base.h"

namespace fescuetiller {

/** One "key = value" line of an INI file, and where it stands. */
struct IniEntry
{
  std::string file;
  int line = 0;
  std::string section;
  std::string key;
  std::string value;

  /** Error that names the place, what was read and what is allowed. */
  Error MakeError(const std::string& aAllowed) const;
};

/** One section in the order of the file; its entry has no key. */
struct IniSection
{
  IniEntry header;
  std::vector<IniEntry> entries;

  /** The error of a key that must be there. */
  Error MissingKeyError(const std::string& aKey) const;
};

/**
 * Splits an INI text into sections. A key outside a section, a line that is
 * neither, and a section or key that stands twice are errors.
 */
Result<std::vector<IniSection>>
ParseIni(const std::string& aText, const std::string& aFile);

Result<std::string>
ReadTextFile(const std::string& aFile);

Result<uint64_t>
ParseNumber(const IniEntry& aEntry, uint64_t aLeast, uint64_t aMost);

/** A number strictly between two bounds. */
Result<double>
ParseFraction(const IniEntry& aEntry, double aAbove, double aBelow);

/** "true" or "false". */
Result<bool>
ParseBool(const IniEntry& aEntry);

/** Whether a text may name a service, class, member or availability zone. */
bool
IsValidName(const std::string& aText);

constexpr const char* kNameRule =
  "must be 1 to 64 letters, digits, '.', '-' or '_'";

/** Names joined by ", ", for error messages. */
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

/** Fills one field of an aggregate from an entry. */
template<typename Aggregate>
using IniSetter = std::function<Result<void>(const IniEntry&, Aggregate&)>;

/** Setters of one section by key. */
template<typename Aggregate>
using IniSetters = std::map<std::string, IniSetter<Aggregate>>;

/** Runs the setter of each entry; unknown keys are errors. */
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
