#include "fescuetillerd/counters.h"

#include <sstream>
#include <tuple>

#include "metrics/prometheus.h"

namespace fescuetiller {

namespace {

/** Latency buckets: 1 ms to 10 s, four for each factor of ten. */
constexpr unsigned kLatencyBuckets = 16;
constexpr double kMinLatencySeconds = 0.001;
constexpr double kMaxLatencySeconds = 10;

} // namespace

bool
operator<(const Counters::RequestKey& aLeft, const Counters::RequestKey& aRight)
{
  return std::tie(aLeft.requestClass, aLeft.outcome, aLeft.reason) <
         std::tie(aRight.requestClass, aRight.outcome, aRight.reason);
}

void
Counters::CountRequest(const std::string& aClass,
                       const std::string& aOutcome,
                       const std::string& aReason,
                       Duration aDuration)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  ++this->requests[{ aClass, aOutcome, aReason }];
  auto [entry, added] = this->latencies.try_emplace(
    aClass,
    boost::histogram::make_histogram(
      LatencyAxis(kLatencyBuckets, kMinLatencySeconds, kMaxLatencySeconds)));
  double seconds = static_cast<double>(aDuration.count()) / 1e9;
  entry->second(seconds);
  this->latencySums[aClass] += seconds;
}

void
Counters::CountClientRetry(const std::string& aClass,
                           const std::string& aOutcome)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  ++this->clientRetries[{ aClass, aOutcome }];
}

void
Counters::CountUnexpectedData(const std::string& aSender,
                              const std::string& aKind,
                              bool aAccepted)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  ++this->unexpectedData[{ aSender, aKind, aAccepted }];
}

void
Counters::CountClientRefusal(const std::string& aListener,
                             const std::string& aReason)
{
  std::lock_guard lock(this->mutex);
  ++this->clientRefusals[{ aListener, aReason }];
}

void
Counters::CountUnanswered(const UnansweredRequest& aRequest)
{
  std::lock_guard lock(this->mutex);
  ++this->unanswered[{ aRequest.listener, aRequest.end, aRequest.response }];
}

void
Counters::CountEvent(const std::string& aName)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  ++this->events[aName];
}

void
Counters::SetSlotTimes(const SlotTimes& aTimes)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->slotTimes = aTimes;
}

void
Counters::SetStoreCalls(
  std::map<std::pair<std::string, std::string>, uint64_t> aCalls)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->storeCalls = std::move(aCalls);
}

void
Counters::SetGauge(const std::string& aName, double aValue)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->gauges[aName] = aValue;
}

void
Counters::CountZoneTraffic(const std::string& aZone,
                           ZonePurpose aPurpose,
                           ZoneTraffic::Parts aParts)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->zoneTraffic.Count(aZone, aPurpose, aParts);
}

void
Counters::CountZoneChoice(const std::string& aClass, bool aOtherZone)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  ++this->zoneChoices[{ aClass, aOtherZone }];
}

void
Counters::CountZoneDatagram(const std::string& aZone,
                            PeerMessage::Kind aKind,
                            uint64_t aBytes)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->zoneTraffic.CountDatagram(aZone, aKind, aBytes);
}

Event
Counters::MakeZoneTrafficEvent() const
{
  std::map<std::string, ZoneTraffic::Total> totals;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& entry : this->zoneTraffic.Entries()) {
      auto& total = totals[entry.purpose + "_" + entry.part];
      total.messages += entry.total.messages;
      total.bytes += entry.total.bytes;
    }
  }
  Event event{ "zone-traffic", {} };
  for (const auto& [name, total] : totals) {
    event.fields.emplace_back(name + "_bytes", std::to_string(total.bytes));
    event.fields.emplace_back(name + "_count", std::to_string(total.messages));
  }
  return event;
}

std::string
Counters::FormatText() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::ostringstream text;
  PrometheusWriter writer(text);
  writer.Describe("fescuetiller_requests_total",
                  "counter",
                  "Requests of clients by class, outcome and reason.");
  for (const auto& [key, count] : this->requests) {
    writer.Write("fescuetiller_requests_total",
                 { { "class", key.requestClass },
                   { "outcome", key.outcome },
                   { "reason", key.reason } },
                 static_cast<double>(count));
  }
  writer.Describe("fescuetiller_client_retries_total",
                  "counter",
                  "Requests that clients sent again, by class and outcome.");
  for (const auto& [key, count] : this->clientRetries) {
    writer.Write("fescuetiller_client_retries_total",
                 { { "class", key.first }, { "outcome", key.second } },
                 static_cast<double>(count));
  }
  writer.Describe("fescuetiller_request_seconds",
                  "histogram",
                  "Time from reading a request to its answer.");
  for (const auto& [name, histogram] : this->latencies) {
    double cumulative = histogram.at(boost::histogram::axis::index_type(-1));
    const auto& axis = histogram.axis(0);
    for (int index = 0; index < axis.size(); ++index) {
      cumulative += histogram.at(index);
      writer.Write("fescuetiller_request_seconds_bucket",
                   { { "class", name },
                     { "le", std::to_string(axis.bin(index).upper()) } },
                   cumulative);
    }
    cumulative += histogram.at(axis.size());
    writer.Write("fescuetiller_request_seconds_bucket",
                 { { "class", name }, { "le", "+Inf" } },
                 cumulative);
    writer.Write("fescuetiller_request_seconds_sum",
                 { { "class", name } },
                 this->latencySums.at(name));
    writer.Write(
      "fescuetiller_request_seconds_count", { { "class", name } }, cumulative);
  }
  writer.Describe("fescuetiller_unexpected_data_total",
                  "counter",
                  "Data of servers and daemons that no request waited for.");
  for (const auto& [key, count] : this->unexpectedData) {
    const auto& [sender, kind, accepted] = key;
    writer.Write("fescuetiller_unexpected_data_total",
                 { { "sender", sender },
                   { "kind", kind },
                   { "accepted", accepted ? "yes" : "no" } },
                 static_cast<double>(count));
  }
  writer.Describe("fescuetiller_client_refusals_total",
                  "counter",
                  "Clients refused or disconnected for lack of room.");
  for (const auto& [key, count] : this->clientRefusals) {
    writer.Write("fescuetiller_client_refusals_total",
                 { { "listener", key.first }, { "reason", key.second } },
                 static_cast<double>(count));
  }
  writer.Describe("fescuetiller_unanswered_requests_total",
                  "counter",
                  "Requests whose connection ended without their response.");
  for (const auto& [key, count] : this->unanswered) {
    const auto& [listener, end, response] = key;
    writer.Write("fescuetiller_unanswered_requests_total",
                 { { "listener", listener },
                   { "ended_by", IsEndedByClient(end) ? "client" : "daemon" },
                   { "reason", ToString(end) },
                   { "response", ToString(response) } },
                 static_cast<double>(count));
  }
  writer.Describe("fescuetiller_events_total",
                  "counter",
                  "Decisions and changes of state by name.");
  for (const auto& [name, count] : this->events) {
    writer.Write("fescuetiller_events_total",
                 { { "event", name } },
                 static_cast<double>(count));
  }
  writer.Describe("fescuetiller_zone_bytes_total",
                  "counter",
                  "Bytes between this zone and others by purpose and part.");
  auto zoneEntries = this->zoneTraffic.Entries();
  for (const auto& entry : zoneEntries) {
    writer.Write("fescuetiller_zone_bytes_total",
                 { { "zone", entry.zone },
                   { "purpose", entry.purpose },
                   { "part", entry.part } },
                 static_cast<double>(entry.total.bytes));
  }
  writer.Describe(
    "fescuetiller_zone_messages_total",
    "counter",
    "Messages between this zone and others that had such a part.");
  for (const auto& entry : zoneEntries) {
    writer.Write("fescuetiller_zone_messages_total",
                 { { "zone", entry.zone },
                   { "purpose", entry.purpose },
                   { "part", entry.part } },
                 static_cast<double>(entry.total.messages));
  }
  writer.Describe("fescuetiller_zone_choices_total",
                  "counter",
                  "Answered requests without a key by where they ran.");
  for (const auto& [key, count] : this->zoneChoices) {
    writer.Write(
      "fescuetiller_zone_choices_total",
      { { "class", key.first }, { "zone", key.second ? "other" : "own" } },
      static_cast<double>(count));
  }
  writer.Describe("fescuetiller_slot_seconds_total",
                  "counter",
                  "Time of the backend server's slots by use.");
  for (const auto& [use, time] : this->slotTimes.ByName()) {
    writer.Write("fescuetiller_slot_seconds_total",
                 { { "use", use } },
                 std::chrono::duration<double>(time).count());
  }
  writer.Describe("fescuetiller_store_calls_total",
                  "counter",
                  "Calls to the store by what they do and table.");
  for (const auto& [kind, count] : this->storeCalls) {
    writer.Write("fescuetiller_store_calls_total",
                 { { "call", kind.first }, { "table", kind.second } },
                 static_cast<double>(count));
  }
  for (const auto& [name, value] : this->gauges) {
    writer.Describe(name, "gauge", "State of this daemon.");
    writer.Write(name, {}, value);
  }
  return text.str();
}

} // namespace fescuetiller
