#pragma once

#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace fescuetiller {

/** Label names with their values, in the order in which they are written. */
using Labels = std::vector<std::pair<std::string, std::string>>;

/** Writes metrics in the Prometheus text format. */
class PrometheusWriter
{
public:
  explicit PrometheusWriter(std::ostream& aOut);

  /**
   * Writes the HELP and TYPE lines of a metric.
   * @param aType "counter", "gauge" or "histogram".
   */
  void Describe(const std::string& aName,
                const std::string& aType,
                const std::string& aHelp);

  /** Writes one sample of a metric. */
  void Write(const std::string& aName, const Labels& aLabels, double aValue);

private:
  std::ostream& out;
};

/** Escapes backslashes, quotes and line breaks in a label's value. */
std::string
EscapeLabel(const std::string& aValue);

} // namespace fescuetiller
