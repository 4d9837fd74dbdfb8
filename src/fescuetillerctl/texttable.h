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

/** Formats a number with at most six significant digits and without trailing
 * zeros. */
std::string
FormatNumber(double aNumber);

/** "yes" or "no". */
std::string
YesNo(bool aValue);

} // namespace fescuetiller
