#pragma once

#include <map>
#include <mutex>
#include <string>

#include <boost/histogram.hpp>

#include "base/base.h"

namespace fescuetiller {

/** Counters and latency histograms of one daemon, in the Prometheus text
 * format. Thread-safe. */
class Counters
{
public:
  /** What requests are counted by. */
  struct RequestKey
  {
    std::string requestClass;
    std::string outcome;
    std::string reason;

    friend bool operator<(const RequestKey& aLeft, const RequestKey& aRight);
  };

  /** Counts a client's request. @param aOutcome "answered", "refused" or
   * "failed". */
  void CountRequest(const std::string& aClass,
                    const std::string& aOutcome,
                    const std::string& aReason,
                    Duration aTaken);

  /** Counts a logged event by its name. */
  void CountEvent(const std::string& aName);

  void SetGauge(const std::string& aName, double aValue);

  std::string FormatText() const;

private:
  using LatencyAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<std::tuple<LatencyAxis>>;
  mutable std::mutex mutex;
  std::map<RequestKey, uint64_t> requests;
  std::map<std::string, Histogram> latencies;
  std::map<std::string, double> latencySums;
  std::map<std::string, uint64_t> events;
  std::map<std::string, double> gauges;
};

} // namespace fescuetiller
