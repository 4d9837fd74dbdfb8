#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace fescuetiller {

/** Rows of text printed in aligned columns. */
class TextTable
{
public:
  explicit TextTable(std::vector<std::string> aHeadings);

  void Add(std::vector<std::string> aRow);

  void Print(std::ostream& aOut) const;

private:
  std::vector<std::vector<std::string>> rows;
};

/** A number without needless digits. */
std::string
ToText(double aNumber);

/** "yes" or "no". */
std::string
YesNo(bool aValue);

} // namespace fescuetiller
