#include <catch2/catch.hpp>

#include "fescuetillerd/counters.h"
#include "fescuetillerd/dispatch.h"
#include "fescuetillerd/nodesettings.h"
#include "fescuetillerd/settingsreload.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;

constexpr const char* kSettings = R"([node]
name = side-1
ip = 10.1.0.9
zone = a
service = huvo
server = 10.1.0.9:8080
[listen]
clients = 10.1.0.9:8147
peers = 10.1.0.9:8146
ready = 10.1.0.9:8141
server-calls = 10.1.0.9:8144
first-port = 7380
last-port = 7395
[platform]
store = 10.200.1.7:8142
[bounds]
heartbeat = 1500ms
drain-time = 2.5s
retry-ratio = 0.3
cold-factor = 1.5
cold-margin = 8
evacuation-time = 4s
[limits]
memory = 160
descriptors = 4100
[zones]
transfer-cost = 2ms
)";

std::string
ReplaceText(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  auto at = aText.find(aFrom);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

} // namespace

SCENARIO("Settings of a daemon are parsed and validated", "[settings]")
{
  GIVEN("a valid file")
  {
    auto settings = ParseNodeSettings(kSettings, "node.ini");
    REQUIRE(settings);
    CHECK(settings->heartbeat == milliseconds(1500));
    CHECK(settings->drainTime == milliseconds(2500));
    CHECK(settings->retryRatio == Approx(0.3));
    CHECK(settings->stopTime == NodeSettings().stopTime);
    CHECK(settings->lastPort == 7395);
    CHECK(settings->coldFactor == Approx(1.5));
    CHECK(settings->coldMargin == 8);
    CHECK(settings->evacuationTime == milliseconds(4000));
    CHECK(settings->memoryMegabytes == 160);
    CHECK(settings->maxDescriptors == 4100);
    CHECK(settings->transferCost == milliseconds(2));
  }
  GIVEN("an invalid file")
  {
    for (const auto& [from, to, named] :
         std::vector<std::tuple<std::string, std::string, std::string>>{
           { "zone = a", "zones = a", "zones" },
           { "[platform]", "[plattform]", "plattform" },
           { "first-port = 7380", "first-port = many", "first-port" },
           { "first-port = 7380", "first-port = 7400", "first-port" },
           { "heartbeat = 1500ms", "heartbeat = 1500", "heartbeat" },
           { "retry-ratio = 0.3", "retry-ratio = 3", "retry-ratio" },
           { "cold-factor = 1.5", "cold-factor = -1", "cold-factor" },
           { "cold-margin = 8", "cold-margin = 8.5", "cold-margin" },
           { "evacuation-time = 4s", "evacuation-time = 4", "evacuation-time" },
           { "memory = 160", "memory = 1", "memory" },
           { "descriptors = 4100", "descriptors = all", "descriptors" },
           { "transfer-cost = 2ms", "transfer-cost = 2", "transfer-cost" },
           { "store = 10.200.1.7:8142", "store =", "store" },
           { "name = side-1\n", "", "name" } }) {
      INFO(from << " replaced by " << to);
      auto settings =
        ParseNodeSettings(ReplaceText(kSettings, from, to), "n.ini");
      REQUIRE_FALSE(settings);
      CHECK(ToString(settings.error()).find(named) != std::string::npos);
    }
  }
}

SCENARIO("Dispatches and execution reports survive encoding and decoding",
         "[dispatch]")
{
  Dispatch dispatch{
    "huvo",           "r-a", 2, RequestKind::Download, true, milliseconds(-20),
    milliseconds(700)
  };
  CHECK(DecodeDispatch(Encode(dispatch)) == dispatch);
  dispatch.sinceFirstAttempt = milliseconds(240);
  dispatch.weight = 2.5;
  CHECK(DecodeDispatch(Encode(dispatch)) == dispatch);
  // A faulty sender must not count for any number of requests.
  dispatch.sentAhead = true;
  CHECK(DecodeDispatch(Encode(dispatch)) == dispatch);
  CHECK(DecodeDispatch("huvo r-a 1 0 0 1 1 w=4000000000")->weight == 100);
  CHECK(DecodeDispatch("huvo r-a 1 0 0 1 1 w=0 f=-1 new")->weight == 1);
  CHECK_FALSE(DecodeDispatch(""));
  CHECK_FALSE(DecodeDispatch("huvo r-a x 0 0 1 1"));
  CHECK_FALSE(DecodeDispatch("huvo r-a 1 9 0 1 1"));

  ExecutionReport report{
    ExecutionOutcome::Refused, "moved", "0123abcd",       true,
    milliseconds(250),         0.5,     milliseconds(90), milliseconds(400),
    milliseconds(70)
  };
  CHECK(DecodeExecutionReport(Encode(report)) == report);
  report.owner.clear();
  CHECK(DecodeExecutionReport(Encode(report)) == report);
  report.sendShare = 0.25;
  CHECK(DecodeExecutionReport(Encode(report)) == report);
  CHECK_FALSE(DecodeExecutionReport("7 - 0 0 0 0"));
  CHECK_FALSE(DecodeExecutionReport("garbled"));

  ServerNotice notice{ { "i-1", 1764800000123 }, 15.25, milliseconds(40) };
  CHECK(DecodeServerNotice(Encode(notice)) == notice);
  notice.requestLimit.reset();
  CHECK(DecodeServerNotice(Encode(notice)) == notice);
  notice.leavingFor.reset();
  CHECK(DecodeServerNotice(Encode(notice)) == notice);
  for (const auto* text : { "", "i-1 0 1", "i-1 0 -1 -", "i-1 0 nan -" }) {
    CHECK_FALSE(DecodeServerNotice(text));
  }
}

SCENARIO("Metrics are exported in the Prometheus format", "[counters]")
{
  Counters counters;
  counters.CountRequest("r-a", "answered", "", milliseconds(30));
  counters.CountRequest("r-a", "refused", "no-time", milliseconds(1));
  counters.CountEvent("took-over");
  counters.SetGauge("fescuetiller_offered_load", 0.5);
  auto text = counters.FormatText();
  CHECK(text.find("fescuetiller_requests_total{class=\"r-a\",outcome="
                  "\"refused\",reason=\"no-time\"} 1") != std::string::npos);
  CHECK(text.find("fescuetiller_request_seconds_count{class=\"r-a\"} 2") !=
        std::string::npos);
  CHECK(text.find("fescuetiller_events_total{event=\"took-over\"} 1") !=
        std::string::npos);
  CHECK(text.find("fescuetiller_offered_load 0.5") != std::string::npos);
}

SCENARIO("Reloaded settings are applied as far as possible", "[settings]")
{
  auto current = *ParseNodeSettings(kSettings, "node.ini");

  GIVEN("unchanged settings")
  {
    auto reload = MergeReloadedSettings(current, current);
    CHECK(reload.applied.empty());
    CHECK(reload.needRestart.empty());
    CHECK(reload.settings == current);
  }
  GIVEN("changed bounds")
  {
    auto read = current;
    read.drainTime = milliseconds(3000);
    read.retryRatio = 0.1;
    auto reload = MergeReloadedSettings(current, read);
    THEN("the new bounds are in force")
    {
      CHECK(reload.settings == read);
      CHECK(reload.applied ==
            std::vector<std::string>{ "drain-time", "retry-ratio" });
    }
  }
  GIVEN("a changed listening address and a changed bound")
  {
    auto read = current;
    read.clientAddress = "10.1.0.9:9000";
    read.maxGrantTime = milliseconds(5000);
    auto reload = MergeReloadedSettings(current, read);
    THEN("the bound is in force; the address needs a restart")
    {
      CHECK(reload.settings.clientAddress == current.clientAddress);
      CHECK(reload.settings.maxGrantTime == milliseconds(5000));
      CHECK(reload.needRestart == std::vector<std::string>{ "clients" });
    }
  }
}
