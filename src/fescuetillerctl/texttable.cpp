#include "fescuetillerctl/texttable.h"

#include <algorithm>
#include <sstream>

namespace fescuetiller {

TextTable::TextTable(std::vector<std::string> aHeadings)
{
  this->rows.push_back(std::move(aHeadings));
}

void
TextTable::Add(std::vector<std::string> aRow)
{
  aRow.resize(this->rows[0].size());
  this->rows.push_back(std::move(aRow));
}

void
TextTable::Print(std::ostream& aOut) const
{
  size_t last = this->rows[0].size() - 1;
  std::vector<size_t> widths(last + 1, 0);
  for (const auto& row : this->rows) {
    for (size_t column = 0; column <= last; ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  for (const auto& row : this->rows) {
    for (size_t column = 0; column < last; ++column) {
      std::string padding(widths[column] - row[column].size() + 2, ' ');
      aOut << row[column] << padding;
    }
    aOut << row[last] << "\n";
  }
}

std::string
FormatNumber(double aNumber)
{
  std::ostringstream text;
  text << aNumber;
  return text.str();
}

std::string
YesNo(bool aValue)
{
  return aValue ? "yes" : "no";
}

} // namespace fescuetiller
