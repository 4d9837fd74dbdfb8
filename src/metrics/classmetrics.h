#pragma once

#include <map>
#include <mutex>
#include <string>

#include <boost/histogram.hpp>

#include "requests/requests.h"

namespace fescuetiller {

/** Outcome counters and a latency histogram for each class. Thread-safe. */
class ClassMetrics
{
public:
  void Record(const std::string& aService,
              const std::string& aClass,
              OutcomeCode aCode,
              Duration aLatency);

  /** Prometheus text format. */
  std::string Text() const;

private:
  using LatencyAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<std::tuple<LatencyAxis>>;

  struct Entry
  {
    std::map<OutcomeCode, uint64_t> outcomes;
    Histogram latency;
  };

  mutable std::mutex mutex;
  std::map<std::pair<std::string, std::string>, Entry> entries;
};

} // namespace fescuetiller
