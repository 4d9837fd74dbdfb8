#include "metrics/prometheus.h"

#include <limits>

namespace fescuetiller {

PrometheusWriter::PrometheusWriter(std::ostream& aOut)
  : out(aOut)
{
  this->out.precision(std::numeric_limits<double>::digits10);
}

void
PrometheusWriter::Describe(const std::string& aName,
                           const std::string& aType,
                           const std::string& aHelp)
{
  this->out << "# HELP " << aName << " " << aHelp << "\n"
            << "# TYPE " << aName << " " << aType << "\n";
}

void
PrometheusWriter::Write(const std::string& aName,
                        const Labels& aLabels,
                        double aValue)
{
  this->out << aName;
  for (size_t index = 0; index < aLabels.size(); ++index) {
    const auto& [name, value] = aLabels[index];
    this->out << (index == 0 ? "{" : ",") << name << "=\"" << EscapeLabel(value)
              << "\"";
  }
  this->out << (aLabels.empty() ? " " : "} ") << aValue << "\n";
}

std::string
EscapeLabel(const std::string& aValue)
{
  std::string escaped;
  for (char character : aValue) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '\\' || character == '"') {
      escaped += '\\';
    }
    escaped += character;
  }
  return escaped;
}

} // namespace fescuetiller
