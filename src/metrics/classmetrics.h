#pragma once

#include <map>
#include <mutex>
#include <string>

#include <boost/histogram.hpp>

#include "metrics/unavailabletime.h"
#include "requests/requests.h"

namespace fescuetiller {

/** Outcome counters, unavailable time and a latency histogram for each class.
 * Thread-safe. */
class ClassMetrics
{
public:
  void Record(const std::string& aService,
              const std::string& aClass,
              OutcomeCode aCode,
              Duration aLatency);

  /** The same at a given time. */
  void Record(Time aNow,
              const std::string& aService,
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
    double latencySum = 0; ///< Seconds.
    UnavailableTime unavailable;
  };

  using ClassName = std::pair<std::string, std::string>;

  Entry& EntryOf(const ClassName& aName);

  mutable std::mutex mutex;
  std::map<ClassName, Entry> entries;
};

} // namespace fescuetiller
