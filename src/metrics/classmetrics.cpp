#include "metrics/classmetrics.h"

#include <sstream>

namespace fescuetiller {

namespace {

constexpr unsigned kLatencyBins = 24;
constexpr double kLeastLatencySeconds = 0.0005;
constexpr double kMostLatencySeconds = 30;

std::string
Labels(const std::pair<std::string, std::string>& aName)
{
  return "service=\"" + aName.first + "\",class=\"" + aName.second + "\"";
}

} // namespace

void
ClassMetrics::Record(const std::string& aService,
                     const std::string& aClass,
                     OutcomeCode aCode,
                     Duration aLatency)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto found = this->entries.find({ aService, aClass });
  if (found == this->entries.end()) {
    LatencyAxis axis(kLatencyBins, kLeastLatencySeconds, kMostLatencySeconds);
    Entry entry{ {}, Histogram(std::make_tuple(axis)) };
    std::pair<std::string, std::string> name(aService, aClass);
    found = this->entries.emplace(name, std::move(entry)).first;
  }
  ++found->second.outcomes[aCode];
  found->second.latency(std::chrono::duration<double>(aLatency).count());
}

std::string
ClassMetrics::Text() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::ostringstream text;
  text << "# TYPE fescuetiller_requests_total counter\n";
  for (const auto& [name, entry] : this->entries) {
    for (const auto& [code, count] : entry.outcomes) {
      text << "fescuetiller_requests_total{" << Labels(name) << ",outcome=\""
           << ToString(code) << "\"} " << count << "\n";
    }
  }
  text << "# TYPE fescuetiller_latency_seconds histogram\n";
  for (const auto& [name, entry] : this->entries) {
    double total = entry.latency.at(-1);
    for (const auto& bin : boost::histogram::indexed(entry.latency)) {
      total += *bin;
      text << "fescuetiller_latency_seconds_bucket{" << Labels(name) << ",le=\""
           << bin.bin().upper() << "\"} " << total << "\n";
    }
    total += entry.latency.at(static_cast<int>(kLatencyBins));
    text << "fescuetiller_latency_seconds_bucket{" << Labels(name)
         << ",le=\"+Inf\"} " << total << "\n"
         << "fescuetiller_latency_seconds_count{" << Labels(name) << "} "
         << total << "\n";
  }
  return text.str();
}

} // namespace fescuetiller
