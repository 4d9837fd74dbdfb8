#include "metrics/classmetrics.h"

#include <sstream>

#include "metrics/prometheus.h"

namespace fescuetiller {

namespace {

constexpr unsigned kLatencyBins = 24;
constexpr double kLeastLatencySeconds = 0.0005;
constexpr double kMostLatencySeconds = 30;

Labels
LabelsOf(const std::pair<std::string, std::string>& aName)
{
  return { { "service", aName.first }, { "class", aName.second } };
}

Labels
With(Labels aLabels, const std::string& aName, const std::string& aValue)
{
  aLabels.emplace_back(aName, aValue);
  return aLabels;
}

std::string
ToBound(double aSeconds)
{
  constexpr int kDigits = 4;
  std::ostringstream text;
  text.precision(kDigits);
  text << aSeconds;
  return text.str();
}

/** Cumulative buckets, sum and count of one histogram. */
template<typename Histogram>
void
WriteHistogram(PrometheusWriter& aWriter,
               const std::string& aName,
               const Labels& aLabels,
               const Histogram& aHistogram,
               double aSum)
{
  namespace bh = boost::histogram;
  double total = aHistogram.at(-1);
  for (const auto& bin : bh::indexed(aHistogram)) {
    total += *bin;
    aWriter.Write(aName + "_bucket",
                  With(aLabels, "le", ToBound(bin.bin().upper())),
                  total);
  }
  total += aHistogram.at(static_cast<int>(aHistogram.axis().size()));
  aWriter.Write(aName + "_bucket", With(aLabels, "le", "+Inf"), total);
  aWriter.Write(aName + "_sum", aLabels, aSum);
  aWriter.Write(aName + "_count", aLabels, total);
}

} // namespace

ClassMetrics::Entry&
ClassMetrics::EntryOf(const ClassName& aName)
{
  auto found = this->entries.find(aName);
  if (found == this->entries.end()) {
    LatencyAxis axis(kLatencyBins, kLeastLatencySeconds, kMostLatencySeconds);
    Entry entry{ {}, Histogram(std::make_tuple(axis)), 0, {} };
    found = this->entries.emplace(aName, std::move(entry)).first;
  }
  return found->second;
}

void
ClassMetrics::Record(const std::string& aService,
                     const std::string& aClass,
                     OutcomeCode aCode,
                     Duration aLatency)
{
  this->Record(BootClock::now(), aService, aClass, aCode, aLatency);
}

void
ClassMetrics::Record(Time aNow,
                     const std::string& aService,
                     const std::string& aClass,
                     OutcomeCode aCode,
                     Duration aLatency)
{
  double seconds = std::chrono::duration<double>(aLatency).count();
  std::lock_guard<std::mutex> lock(this->mutex);
  Entry& entry = this->EntryOf({ aService, aClass });
  ++entry.outcomes[aCode];
  entry.latency(seconds);
  entry.latencySum += seconds;
  entry.unavailable.Observe(aNow, aCode == OutcomeCode::Done);
}

std::string
ClassMetrics::Text() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::ostringstream text;
  PrometheusWriter writer(text);
  const std::string kRequests = "fescuetiller_requests_total";
  writer.Describe(kRequests, "counter", "Requests that entered here.");
  for (const auto& [name, entry] : this->entries) {
    for (const auto& [code, count] : entry.outcomes) {
      writer.Write(kRequests,
                   With(LabelsOf(name), "outcome", ToString(code)),
                   static_cast<double>(count));
    }
  }
  const std::string kUnavailable =
    "fescuetiller_class_unavailable_seconds_total";
  writer.Describe(
    kUnavailable, "counter", "Time in which requests of the class failed.");
  for (const auto& [name, entry] : this->entries) {
    auto total = std::chrono::duration<double>(entry.unavailable.Total());
    writer.Write(kUnavailable, LabelsOf(name), total.count());
  }
  const std::string kLatency = "fescuetiller_latency_seconds";
  writer.Describe(kLatency, "histogram", "Time to answer a request.");
  for (const auto& [name, entry] : this->entries) {
    WriteHistogram(
      writer, kLatency, LabelsOf(name), entry.latency, entry.latencySum);
  }
  return text.str();
}

} // namespace fescuetiller
