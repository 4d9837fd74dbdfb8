#include <random>

#include <catch2/catch.hpp>

#include "platform/platform.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;

constexpr const char* kHeartbeat =
  R"({"service":"huvo","address":"10.1.0.9:8080","zone":"a","version":"v1",)"
  R"("slots":6,"state":"ready","seq":4,"cold":"1.5s","born":1764800000123,)"
  R"("holds":[[0,4095,7]],"freed":[[4096,8191,"5c0e"]]})";

constexpr const char* kConfiguration =
  R"({"version":"r7","routes":{"r-a":{"host":"a.example","prefix":"/p/",)"
  R"("kind":"unsafe","timeout":"1000ms","target-latency":"250ms",)"
  R"("priority":1,"service":"huvo","attempts":2},)"
  R"("r-b":{"host":"a.example","prefix":"/q/","kind":"download",)"
  R"("timeout":"2s","target-latency":"300ms","priority":2,"attempts":2,)"
  R"("weighted-clusters":[{"service":"huvo","weight":90},)"
  R"({"service":"wuno","weight":10}]}},)"
  R"("services":{"huvo":{"health-check":"/h","max-connections":120,)"
  R"("protocol":"h1","tls":false,"sharded":true,"warm":"5s",)"
  R"("warmup":"3s","cold-per-s":19.5},)"
  R"("wuno":{"health-check":"/h","max-connections":76,"protocol":"h1",)"
  R"("tls":false}},"limits":{"max-header-bytes":16384,)"
  R"("max-body-bytes":67108864,"header-timeout":"3000ms",)"
  R"("idle-timeout":"15000ms"}})";

std::string
ReplaceText(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  auto at = aText.find(aFrom);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

} // namespace

SCENARIO("A heartbeat is parsed completely or rejected", "[platform]")
{
  GIVEN("a valid heartbeat")
  {
    auto report = ParseHeartbeat("i-1", kHeartbeat);
    REQUIRE(report);
    CHECK(report->incarnation == ServerIncarnation{ "i-1", 1764800000123 });
    CHECK(report->slots == 6);
    CHECK_FALSE(report->draining);
    CHECK(report->remainingWarmUp == milliseconds(1500));
    CHECK(report->grantedRanges ==
          std::vector<GrantedRange>{ { { 0, 4095 }, 7 } });
    CHECK(report->releasedRanges ==
          std::vector<ReleasedRange>{ { { 4096, 8191 }, "5c0e" } });
  }
  GIVEN("a heartbeat without a start time, as some deployments send it")
  {
    auto report = ParseHeartbeat(
      "i-1", ReplaceText(kHeartbeat, R"("born":1764800000123,)", ""));
    REQUIRE(report);
    CHECK(report->incarnation.startedAt == 0);
  }
  GIVEN("an invalid heartbeat")
  {
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{
           { R"("state":"ready")", R"("state":"asleep")" },
           { R"("slots":6)", R"("slots":"6")" },
           { R"("slots":6)", R"("slots":0)" },
           { R"("slots":6)", R"("slots":-1)" },
           { R"("seq":4)", R"("seq":4.5)" },
           { R"("service":"huvo",)", "" },
           { R"("cold":"1.5s")", R"("cold":"soon")" },
           // Guards against heartbeats of other writers that name a server.
           { R"("cold":"1.5s",)", "" },
           { R"("version":"v1",)", "" },
           { R"("version":"v1")", R"("version":1)" },
           { R"("born":1764800000123)", R"("born":"yesterday")" },
           { "[0,4095,7]", "[4095,0,7]" },
           { "[0,4095,7]", "[0,70000,7]" },
           { "[0,4095,7]", "[0,4095]" },
           { "[[0,4095,7]]", "7" },
           { "{", "[" } }) {
      INFO(from << " replaced by " << to);
      CHECK_FALSE(ParseHeartbeat("i-1", ReplaceText(kHeartbeat, from, to)));
    }
  }
}

SCENARIO("Calls of backend servers are recognized by method and path",
         "[platform]")
{
  auto heartbeat = ParseServerCall("POST", "/v1/instances/i-7/heartbeat");
  REQUIRE(heartbeat);
  CHECK(*heartbeat == ServerCall{ ServerCall::Kind::Heartbeat, "i-7" });
  auto deregistration = ParseServerCall("POST", "/v1/instances/i-7/deregister");
  REQUIRE(deregistration);
  CHECK(deregistration->kind == ServerCall::Kind::Deregister);
  CHECK_FALSE(ParseServerCall("GET", "/v1/instances/i-7/heartbeat"));
  CHECK_FALSE(ParseServerCall("POST", "/v1/instances//heartbeat"));
  CHECK_FALSE(ParseServerCall("POST", "/v1/instances/i-7/other"));
  CHECK_FALSE(ParseServerCall("POST", "/"));
}

SCENARIO("Heartbeat replies are encoded with and without grants", "[platform]")
{
  CHECK(EncodeHeartbeatReply({}) == "{}");
  HeartbeatReply reply;
  reply.grants = Grants{ { { { 0, 9 }, 7, "" }, { { 20, 29 }, 12, "ab" } },
                         milliseconds(2500) };
  CHECK(EncodeHeartbeatReply(reply) ==
        R"({"hold_time":"2500ms","holds":[[0,9,7,""],[20,29,12,"ab"]]})");
  reply.grants = Grants{ {}, milliseconds(2500) };
  CHECK(EncodeHeartbeatReply(reply) == R"({"hold_time":"2500ms","holds":[]})");
}

SCENARIO("A configuration is parsed into the router's model", "[platform]")
{
  GIVEN("a valid configuration")
  {
    auto configuration = ParseConfiguration(kConfiguration);
    REQUIRE(configuration);
    CHECK(configuration->version == 7);
    CHECK(configuration->services.at("huvo").ownsKeys);
    CHECK_FALSE(configuration->services.at("wuno").ownsKeys);
    CHECK(configuration->services.at("huvo").warmUp == milliseconds(3000));
    CHECK(configuration->services.at("huvo").coldRequestsPerSecond == 19.5);
    CHECK_FALSE(configuration->services.at("wuno").coldRequestsPerSecond);
    const auto& unsafe = configuration->routes.at("r-a");
    CHECK(unsafe.kind == RequestKind::NonIdempotent);
    CHECK(unsafe.timeout == milliseconds(1000));
    CHECK(unsafe.destinations == std::vector<Destination>{ { "huvo", 1 } });
    const auto& download = configuration->routes.at("r-b");
    CHECK(download.kind == RequestKind::Download);
    CHECK(download.timeout == milliseconds(2000));
    CHECK(download.destinations ==
          std::vector<Destination>{ { "huvo", 90 }, { "wuno", 10 } });
    CHECK(configuration->limits.idleTimeout == milliseconds(15000));
  }
  GIVEN("a configuration with an unknown field")
  {
    CHECK(ParseConfiguration(ReplaceText(
      kConfiguration, R"("attempts":2,)", R"("attempts":2,"new":1,)")));
  }
  GIVEN("an invalid or unsupported configuration")
  {
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{
           { R"("version":"r7")", R"("version":7)" },
           { R"("version":"r7")", R"("version":"7")" },
           { R"("kind":"unsafe")", R"("kind":"maybe")" },
           { R"("timeout":"1000ms")", R"("timeout":1000)" },
           { R"("protocol":"h1")", R"("protocol":"h2")" },
           { R"("tls":false)", R"("tls":true)" },
           { R"("host":"a.example",)", "" },
           { R"("weight":90)", R"("weight":"most")" } }) {
      INFO(from << " replaced by " << to);
      auto configuration =
        ParseConfiguration(ReplaceText(kConfiguration, from, to));
      REQUIRE_FALSE(configuration);
      CHECK(configuration.error().code == ErrorCode::Invalid);
    }
  }
}

SCENARIO("Row values are preserved in the store's format", "[platform]")
{
  StoreTransaction change;
  change.conditions = { { { "cluster", "a b", "k/1" }, 4 } };
  change.sets = {
    { { "cluster", "a b", "k/1" }, std::string("\0x\xff", 3), 0 }
  };
  change.removes = { { "cluster", "a b", "k/2" } };
  auto call = EncodeTransaction(change);
  CHECK(call.method == "POST");
  auto body = nlohmann::json::parse(call.body);
  CHECK(body["expected-rev"][0]["ver"] == 4);
  CHECK(body["set-keys"][0]["value"] == "AHj/");
  CHECK(body["remove"][0]["key"] == "k/2");

  GIVEN("values of all lengths below 40 bytes")
  {
    std::mt19937 random(5);
    for (size_t length = 0; length < 40; ++length) {
      std::string value;
      for (size_t index = 0; index < length; ++index) {
        value.push_back(static_cast<char>(random()));
      }
      change.sets[0].value = value;
      auto sent = nlohmann::json::parse(EncodeTransaction(change).body);
      nlohmann::json rows = {
        { "ver", 9 },
        { "rows",
          { { { "table", "cluster" },
              { "part", "a b" },
              { "key", "k/1" },
              { "ver", 8 },
              { "value", sent["set-keys"][0]["value"] } } } }
      };
      auto read = ParseRows(200, rows.dump());
      REQUIRE(read);
      CHECK(read->rows.at(0).value == value);
    }
  }
  CHECK(EncodeReadRequest("t", "a b", "k/1").target ==
        "/v1/rows-get?table=t&part=a%20b&from=k%2F1");
  CHECK(EncodeWatchRequest("op", 530, milliseconds(20000)).target ==
        "/v1/rows-feed?table=op&after=530&wait-ms=20000");
}

SCENARIO("Responses of the store map to outcomes and error codes", "[platform]")
{
  auto code = [](unsigned aStatus, const std::string& aBody) {
    auto outcome = ParseOutcome(aStatus, aBody);
    REQUIRE_FALSE(outcome);
    return outcome.error().code;
  };
  CHECK(ParseOutcome(200, R"({"ver":412,"now":"5ms"})")->committed);
  auto conflict = ParseOutcome(
    412,
    R"({"ver":9,"rows":[{"table":"t","part":"","key":"k","ver":3,"value":"eA=="}]})");
  REQUIRE(conflict);
  CHECK_FALSE(conflict->committed);
  CHECK(conflict->current.at(0).value == "x");
  CHECK(code(503, "") == ErrorCode::Unavailable);
  CHECK(code(429, "") == ErrorCode::Unavailable);
  CHECK(code(500, "") == ErrorCode::Unknown);
  CHECK(code(200, "garbled") == ErrorCode::Unknown);
  CHECK(code(403, "") == ErrorCode::Refused);
  CHECK(ParseRows(410, "").error().code == ErrorCode::Expired);
  CHECK(ParseRows(503, "").error().code == ErrorCode::Unavailable);
  CHECK_FALSE(ParseRows(200, R"({"rows":[{"table":1}],"ver":1})"));
}

SCENARIO("Versions of the store are ordered by its era first", "[platform]")
{
  // Guards against rows and configurations that are refused after the store has
  // come back from an older copy, and gives out lower versions again.
  std::string body = R"({"ver":7,"rows":[{"table":"t","key":"k","ver":5,
    "value":""}]})";
  auto before = ParseRows(200, body, 1);
  auto after = ParseRows(200, R"({"ver":3,"rows":[]})", 2);
  REQUIRE(before);
  REQUIRE(after);
  CHECK(after->version > before->version);
  CHECK(EraOf(before->rows[0].version) == 1);
  CHECK(NumberOf(before->rows[0].version) == 5);

  GIVEN("a condition on a version and a watch after it")
  {
    auto version = before->rows[0].version;
    auto change =
      EncodeTransaction({ { { { "t", "", "k" }, version } }, {}, {} });
    auto watch = EncodeWatchRequest("t", version, std::chrono::seconds(1));
    THEN("the store gets the version as it knows it")
    {
      CHECK(change.body.find("\"ver\":5") != std::string::npos);
      CHECK(watch.target.find("after=5&") != std::string::npos);
    }
  }
  GIVEN("a response without an era")
  {
    CHECK(ParseStoreEra("").value() == 0);
    CHECK(ParseRows(200, body)->version == 7);
  }
  GIVEN("an invalid era")
  {
    for (const char* text :
         { "-1", "x", "1.5", "99999999999999999999", "40000" }) {
      INFO(text);
      CHECK_FALSE(ParseStoreEra(text));
    }
  }
}

SCENARIO("Durations require a unit", "[platform]")
{
  CHECK(*ParseDuration("1500ms", "x") == milliseconds(1500));
  CHECK(*ParseDuration("2.5s", "x") == milliseconds(2500));
  CHECK_FALSE(ParseDuration("15", "x"));
  CHECK_FALSE(ParseDuration("s", "x"));
  CHECK_FALSE(ParseDuration("-1s", "x"));
  CHECK_FALSE(ParseDuration("1h", "x"));
  CHECK_FALSE(ParseDuration("99999999999s", "x"));
}

SCENARIO("The request limit that a server states is read from a response",
         "[limit]")
{
  THEN("decimal numbers are read, and no field means no limit")
  {
    CHECK(ParseRequestLimit("15.2", "i-1").value() == 15.2);
    CHECK(ParseRequestLimit("0", "i-1").value() == 0);
    CHECK_FALSE(ParseRequestLimit("", "i-1").value());
  }
  THEN("anything else is an error that names the server")
  {
    for (const auto* text : { "-1", "nan", "inf", "15 a second", "many" }) {
      auto limit = ParseRequestLimit(text, "i-1");
      REQUIRE_FALSE(limit);
      CHECK(limit.error().peer == "i-1");
    }
  }
}

SCENARIO("A server states its load", "[platform][statedload]")
{
  THEN("three or four figures are read, and no field means that none is stated")
  {
    auto load = ParseServerLoad("3,1,5", "i-1").value();
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->waiting == 1);
    CHECK(load->slots == 5);
    CHECK_FALSE(load->slowness);
    CHECK(ParseServerLoad("0, 0, 9, 300", "i-1").value()->slowness == 3.0);
    CHECK_FALSE(ParseServerLoad("", "i-1").value());
  }
  THEN("anything else is an error that names the server")
  {
    for (const auto* text :
         { "3",
           "3,1",
           "3,1,5,100,7",
           "-1,0,5",
           "3,x,5",
           "3,,5",
           "3,0,5,0",
           "3,0,5,-100",
           "99999999999,0,5",
           "1,1,1,                                                    1" }) {
      CAPTURE(text);
      auto load = ParseServerLoad(text, "i-1");
      REQUIRE_FALSE(load);
      CHECK(load.error().peer == "i-1");
    }
  }
}

SCENARIO("A server states for how long it is cold", "[platform][cold]")
{
  CHECK(ParseColdTime("1200", "i-1").value() == milliseconds(1200));
  CHECK(ParseColdTime("0", "i-1").value() == Duration(0));
  CHECK_FALSE(ParseColdTime("", "i-1").value());
  for (const auto* text :
       { "-1", "1.5", "soon", "99999999999999999999", "1s" }) {
    CAPTURE(text);
    auto time = ParseColdTime(text, "i-1");
    REQUIRE_FALSE(time);
    CHECK(time.error().peer == "i-1");
  }
}
