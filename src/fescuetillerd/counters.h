#pragma once

#include <map>
#include <mutex>
#include <string>
#include <tuple>

#include <boost/histogram.hpp>

#include "admission/admission.h"
#include "base/base.h"
#include "fescuetillerd/zonetraffic.h"
#include "http/http.h"

namespace fescuetiller {

/** Metrics of a daemon (counters, gauges and latency histograms), exported in
 * the Prometheus text format. Thread-safe. */
class Counters
{
public:
  /** Labels by which requests are counted. */
  struct RequestKey
  {
    std::string requestClass;
    std::string outcome;
    std::string reason;

    friend bool operator<(const RequestKey& aLeft, const RequestKey& aRight);
  };

  /** Counts a request of a client. @param aOutcome "answered", "refused" or
   * "failed". @param aDuration From reading the request to its response. */
  void CountRequest(const std::string& aClass,
                    const std::string& aOutcome,
                    const std::string& aReason,
                    Duration aDuration);

  /** Counts a request that its client sent again, in addition to
   * CountRequest. */
  void CountClientRetry(const std::string& aClass, const std::string& aOutcome);

  /** Counts data that no request waited for, by who sent it, by kind, and by
   * whether it was taken as the response to a request. */
  void CountUnexpectedData(const std::string& aSender,
                           const std::string& aKind,
                           bool aAccepted);

  /** Counts a client that was refused or disconnected for lack of room, by
   * listening address and reason. */
  void CountClientRefusal(const std::string& aListener,
                          const std::string& aReason);

  /** Counts a request whose connection ended without its response, by listening
   * address, by why it ended and by what was known of the response. */
  void CountUnanswered(const UnansweredRequest& aRequest);

  /** Counts a logged event by name. */
  void CountEvent(const std::string& aName);

  /** Sets the use of the backend server's slots since the start. */
  void SetSlotTimes(const SlotTimes& aTimes);

  /** Sets the calls to the store since the start, by what they do and table. */
  void SetStoreCalls(
    std::map<std::pair<std::string, std::string>, uint64_t> aCalls);

  void SetGauge(const std::string& aName, double aValue);

  /** Counts parts of the messages of one request to another zone. */
  void CountZoneTraffic(const std::string& aZone,
                        ZonePurpose aPurpose,
                        ZoneTraffic::Parts aParts);

  /** Counts an answered request without a key by where it ran. */
  void CountZoneChoice(const std::string& aClass, bool aOtherZone);

  /** Counts a datagram to another zone. */
  void CountZoneDatagram(const std::string& aZone,
                         PeerMessage::Kind aKind,
                         uint64_t aBytes);

  /** Totals of the traffic with all other zones together, for the log: the
   * bytes by purpose and part, and the number of requests and responses. */
  Event MakeZoneTrafficEvent() const;

  /** Formats all metrics for a Prometheus scrape. */
  std::string FormatText() const;

private:
  using LatencyAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<std::tuple<LatencyAxis>>;
  mutable std::mutex mutex;
  std::map<RequestKey, uint64_t> requests;
  /** By class and outcome. */
  std::map<std::pair<std::string, std::string>, uint64_t> clientRetries;
  std::map<std::string, Histogram> latencies; ///< Seconds, by request class.
  std::map<std::string, double> latencySums;  ///< Seconds, by request class.
  /** By sender, kind and whether it was accepted. */
  std::map<std::tuple<std::string, std::string, bool>, uint64_t> unexpectedData;
  /** By listening address and reason. */
  std::map<std::pair<std::string, std::string>, uint64_t> clientRefusals;
  /** By listening address, end of the connection and known response. */
  std::map<std::tuple<std::string, ConnectionEnd, UnansweredRequest::Response>,
           uint64_t>
    unanswered;
  std::map<std::string, uint64_t> events;
  std::map<std::string, double> gauges;
  SlotTimes slotTimes;
  /** By what they do and table. */
  std::map<std::pair<std::string, std::string>, uint64_t> storeCalls;
  ZoneTraffic zoneTraffic;
  /** By class and whether they ran in another zone. */
  std::map<std::pair<std::string, bool>, uint64_t> zoneChoices;
};

} // namespace fescuetiller
