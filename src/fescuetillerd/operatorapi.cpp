#include "fescuetillerd/operatorapi.h"

#include <sstream>

#include <httplib.h>

namespace fescuetiller {

namespace {

constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnavailable = 503;
constexpr size_t kMaxKeyBytes = 1024;
constexpr const char* kJson = "application/json";
constexpr const char* kPlain = "text/plain";
constexpr const char* kPrometheus = "text/plain; version=0.0.4";

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

ClusterView
ViewOf(const ControlStatus& aStatus)
{
  return { aStatus.members, aStatus.assignments, {} };
}

wire::StatusReport
MakeStatus(const OperatorParts& aParts)
{
  ControlStatus status = aParts.status();
  wire::StatusReport report;
  report.set_source("daemon " + aParts.settings.name);
  report.set_incarnation(ToHex(status.serving.incarnation));
  report.set_lease_ms(
    ToMilliseconds(status.serving.leaseUntil - BootClock::now()));
  report.set_partitions(
    static_cast<uint32_t>(status.serving.partitions.size()));
  report.set_running(aParts.serving.Running());
  report.set_store_reachable(status.storeReachable);
  report.set_backend_healthy(status.backendHealthy);
  report.set_draining(aParts.drain.Current().drain);
  AddCluster(ViewOf(status), aParts.settings.partitions, report);
  wire::HealthReport health = aParts.health();
  for (const auto& reason : health.reasons()) {
    report.add_degraded(aParts.settings.name + ": " + reason);
  }
  for (const auto& degraded : health.degraded()) {
    report.add_degraded(aParts.settings.name + ": " + degraded);
  }
  return report;
}

wire::ClassList
MakeClassList(const Classes& aClasses)
{
  wire::ClassList list;
  for (const auto& target : aClasses.All()) {
    *list.add_classes() = ToWire(target);
  }
  return list;
}

void
Locate(const OperatorParts& aParts,
       const httplib::Request& aRequest,
       httplib::Response& aResponse)
{
  std::string service = aRequest.get_param_value("service");
  std::string key = aRequest.get_param_value("key");
  auto found = aParts.settings.partitions.find(service);
  bool known = found != aParts.settings.partitions.end();
  if (!known || key.empty() || key.size() > kMaxKeyBytes) {
    aResponse.status = kStatusBadRequest;
    aResponse.set_content(
      known ? "key must have 1 to 1024 bytes\n" : "unknown service\n", kPlain);
    return;
  }
  auto location =
    LocateKey(ViewOf(aParts.status()), service, key, found->second);
  aResponse.set_content(ToJson(location), kJson);
}

void
AnswerHealth(const OperatorParts& aParts,
             const httplib::Request& aRequest,
             httplib::Response& aResponse)
{
  wire::HealthReport report = aParts.health();
  bool json = aRequest.get_param_value("format") == "json";
  // As JSON the document itself tells; its reader wants the reasons as well.
  aResponse.status = report.healthy() || json ? 200 : kStatusUnavailable;
  aResponse.set_content(json ? ToJson(report) : ToText(report),
                        json ? kJson : kPlain);
}

void
Refresh(const OperatorParts& aParts,
        const httplib::Request& aRequest,
        httplib::Response& aResponse)
{
  std::string member = aRequest.has_param("member")
                         ? aRequest.get_param_value("member")
                         : aParts.settings.name;
  if (!IsName(member)) {
    aResponse.status = kStatusBadRequest;
    aResponse.set_content(std::string("member ") + kNameRule + "\n", kPlain);
    return;
  }
  auto refreshed = aParts.refresh(member);
  if (!refreshed) {
    aResponse.status = kStatusUnavailable;
    aResponse.set_content(ToString(refreshed.error()) + "\n", kPlain);
    return;
  }
  aResponse.set_content("ok\n", kPlain);
}

void
WriteServing(const OperatorParts& aParts,
             const ControlStatus& aStatus,
             PrometheusWriter& aWriter)
{
  auto gauge = [&](const char* aName, const char* aHelp, double aValue) {
    std::string name = std::string("fescuetiller_") + aName;
    aWriter.Describe(name, "gauge", aHelp);
    aWriter.Write(name, {}, aValue);
  };
  Duration left = aStatus.serving.leaseUntil - BootClock::now();
  gauge("healthy",
        "1 while requests for the owned keys are served.",
        aParts.health().healthy() ? 1 : 0);
  gauge("lease_seconds",
        "Time left on the lease; 0 or below: lost.",
        aStatus.serving.incarnation == kNoIncarnation ? 0 : ToSeconds(left));
  gauge("partitions",
        "Partitions owned.",
        static_cast<double>(aStatus.serving.partitions.size()));
  gauge("running",
        "Requests running on the backend server.",
        static_cast<double>(aParts.serving.Running()));
  gauge("draining",
        "1 while drained by an operator.",
        aParts.drain.Current().drain ? 1 : 0);
  gauge("store_reachable",
        "1 while the table service answers.",
        aStatus.storeReachable ? 1 : 0);
  gauge("backend_healthy",
        "1 while the backend server is healthy.",
        aStatus.backendHealthy ? 1 : 0);
  const std::string kUnavailable = "fescuetiller_unavailable_seconds_total";
  aWriter.Describe(
    kUnavailable, "counter", "Time without service since the first service.");
  aWriter.Write(kUnavailable, {}, ToSeconds(aParts.unavailable()));
}

void
WriteOwnership(const OperatorParts& aParts,
               const ControlStatus& aStatus,
               PrometheusWriter& aWriter)
{
  const OwnershipCounters& counters = aStatus.counters;
  const std::pair<const char*, uint64_t> kChanges[] = {
    { "takeover", counters.takeovers },
    { "move_out", counters.movesOut },
    { "claim", counters.claims },
  };
  const std::string kChurn = "fescuetiller_ownership_changes_total";
  aWriter.Describe(
    kChurn, "counter", "Changes of ownership that this daemon wrote.");
  for (const auto& [kind, count] : kChanges) {
    aWriter.Write(kChurn, { { "kind", kind } }, static_cast<double>(count));
  }
  const std::pair<const char*, uint64_t> kEvents[] = {
    { "fescuetiller_grantor_changes_total", counters.grantorChanges },
    { "fescuetiller_incarnations_ended_total", counters.incarnationsEnded },
  };
  for (const auto& [name, count] : kEvents) {
    aWriter.Describe(name, "counter", "Changes of the lease's holder.");
    aWriter.Write(name, {}, static_cast<double>(count));
  }
  wire::StatusReport report;
  AddCluster(ViewOf(aStatus), aParts.settings.partitions, report);
  const std::string kImbalance = "fescuetiller_imbalance";
  aWriter.Describe(kImbalance,
                   "gauge",
                   "Most partitions per slot over the mean of the service.");
  for (const auto& service : report.services()) {
    aWriter.Write(
      kImbalance, { { "service", service.name() } }, service.imbalance());
  }
  const std::string kUnowned = "fescuetiller_unowned_partitions";
  aWriter.Describe(kUnowned, "gauge", "Partitions without a live owner.");
  for (const auto& service : report.services()) {
    double unowned = static_cast<double>(service.partitions_known()) -
                     service.partitions_owned();
    aWriter.Write(kUnowned, { { "service", service.name() } }, unowned);
  }
}

void
WriteGossip(const GossipCounters& aCounters, PrometheusWriter& aWriter)
{
  struct Counter
  {
    const char* name;
    const char* help;
    uint64_t value;
  };
  const Counter kCounters[] = {
    { "rows_learned",
      "Rows learned from other daemons.",
      aCounters.rowsLearned },
    { "rows_outdated",
      "Rows received that were known already.",
      aCounters.rowsOutdated },
    { "bytes_sent", "Bytes sent to other daemons.", aCounters.bytesSent },
    { "digests_differed",
      "Comparisons that found a difference.",
      aCounters.digestsDiffered },
  };
  for (const auto& counter : kCounters) {
    std::string name =
      std::string("fescuetiller_gossip_") + counter.name + "_total";
    aWriter.Describe(name, "counter", counter.help);
    aWriter.Write(name, {}, static_cast<double>(counter.value));
  }
}

void
WriteRefused(const OperatorParts& aParts, PrometheusWriter& aWriter)
{
  const std::string kRefused = "fescuetiller_refused_inputs_total";
  aWriter.Describe(
    kRefused, "counter", "Malformed or oversized inputs that were refused.");
  for (const auto& input : aParts.refused()) {
    aWriter.Write(
      kRefused, { { "input", input.kind } }, static_cast<double>(input.count));
  }
}

std::string
MakeMetrics(const OperatorParts& aParts)
{
  ControlStatus status = aParts.status();
  std::ostringstream text;
  PrometheusWriter writer(text);
  text << aParts.metrics.Text();
  WriteServing(aParts, status, writer);
  WriteOwnership(aParts, status, writer);
  WriteGossip(status.gossip, writer);
  aParts.storeCounters.Write(writer);
  WriteRefused(aParts, writer);
  return text.str();
}

} // namespace

void
InstallOperatorApi(httplib::Server& aServer, const OperatorParts& aParts)
{
  using httplib::Request;
  using httplib::Response;
  aServer.Get("/v1/status", [aParts](const Request&, Response& aResponse) {
    aResponse.set_content(ToJson(MakeStatus(aParts)), kJson);
  });
  aServer.Get("/v1/classes", [aParts](const Request&, Response& aResponse) {
    aResponse.set_content(ToJson(MakeClassList(aParts.classes)), kJson);
  });
  aServer.Get("/v1/locate",
              [aParts](const Request& aRequest, Response& aResponse) {
                Locate(aParts, aRequest, aResponse);
              });
  aServer.Post("/v1/refresh",
               [aParts](const Request& aRequest, Response& aResponse) {
                 Refresh(aParts, aRequest, aResponse);
               });
  aServer.Get("/metrics", [aParts](const Request&, Response& aResponse) {
    aResponse.set_content(MakeMetrics(aParts), kPrometheus);
  });
  aServer.Get("/healthz",
              [aParts](const Request& aRequest, Response& aResponse) {
                AnswerHealth(aParts, aRequest, aResponse);
              });
}

} // namespace fescuetiller
