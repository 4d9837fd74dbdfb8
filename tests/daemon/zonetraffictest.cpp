#include <catch2/catch.hpp>

#include "fescuetillerd/trafficnode.h"
#include "platform/headers.h"
#include "standins/reservedports.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** What a request to another zone and its response took, in bytes. */
struct RequestBytes
{
  uint64_t head = 0;   ///< Of the request, without the daemons' own fields.
  uint64_t fields = 0; ///< The daemons' own fields in the request.
  uint64_t responseFields = 0;
  uint64_t refusal = 0;
};

/** A daemon in zone a, and the owner of all keys in zone b. */
struct TwoZonesFixture
{
  asio::io_context context{ 1 };
  EventLog log{ "test", { 0, 0, 0 } };
  Counters counters; ///< Of the daemon in zone a.
  Counters otherCounters;
  std::vector<HttpRequest> received; ///< Requests that the server got.
  /** Added to the responses of the server, which then acts as a daemon. */
  std::map<std::string, std::string> fields;
  HttpServer server{ context, [this](const std::shared_ptr<Exchange>& aCall) {
                      this->received.push_back(aCall->request);
                      auto response = TextResponse(200, "answer");
                      response.set(headers::kRequestId,
                                   aCall->request[headers::kRequestId]);
                      for (const auto& [name, value] : this->fields) {
                        response.set(name, value);
                      }
                      aCall->Respond(std::move(response));
                    } };
  ReservedPorts ports{ context };
  ConnectionPool pool{ context };
  std::unique_ptr<TrafficNode> node;  ///< In zone a.
  std::unique_ptr<TrafficNode> owner; ///< In zone b.
  ServingState serving;               ///< Of the owner.
  Tcp::endpoint clientAddress;
  Tcp::endpoint ownerAddress;
  std::map<std::string, uint64_t> before; ///< Counted before the last request.

  TwoZonesFixture()
  {
    REQUIRE(this->server.Listen(Loopback(0)));
    this->node = this->MakeNode("desk", "a", this->counters);
    this->owner = this->MakeNode("agenda", "b", this->otherCounters);
    this->serving.member = "owner";
    this->serving.server.id = "i-1";
    this->serving.slots = 4;
    this->serving.available = true;
    this->serving.ownsKeys = true;
    this->serving.ranges = { { { 0, kLastKey },
                               BootClock::now() + seconds(60) } };
    this->serving.leaseUntil = BootClock::now() + seconds(60);
    this->serving.nextHeartbeat = BootClock::now() + seconds(60);
    this->owner->SetServing(this->serving);
    this->SetOwner(ToString(this->ownerAddress));
  }

  std::unique_ptr<TrafficNode> MakeNode(const std::string& aService,
                                        const std::string& aZone,
                                        Counters& aCounters)
  {
    NodeSettings settings;
    settings.service = aService;
    settings.zone = aZone;
    settings.server = ToString(this->server.Address());
    settings.clientAddress = ToString(this->ports.Reserve());
    settings.peerAddress = ToString(this->ports.Reserve());
    settings.transferCost = milliseconds(2);
    this->clientAddress = this->node == nullptr
                            ? *ParseEndpoint(settings.clientAddress)
                            : this->clientAddress;
    this->ownerAddress = *ParseEndpoint(settings.peerAddress);
    auto made = std::make_unique<TrafficNode>(
      this->context, settings, this->log, aCounters);
    REQUIRE(made->Listen());
    return made;
  }

  /** Makes the daemon at an address the owner of all keys. */
  void SetOwner(const std::string& aAddress, bool aOwnsKeys = true)
  {
    auto configuration = std::make_shared<Configuration>();
    Route route;
    route.name = "plan-view";
    route.host = "a.example";
    route.prefix = "/look/";
    route.kind = RequestKind::Idempotent;
    route.timeout = milliseconds(1200);
    route.targetLatency = milliseconds(200);
    route.attempts = 2;
    route.destinations = { { "agenda", 1 } };
    configuration->routes[route.name] = route;
    Service service;
    service.name = "agenda";
    service.ownsKeys = aOwnsKeys;
    configuration->version = 1;
    configuration->services["agenda"] = service;
    ClusterView view;
    MemberRecord record{ "owner",  "agenda",           "b", aAddress,
                         aAddress, MemberState::Ready, {} };
    RangeRecord range{ "agenda", { 0, kLastKey }, "owner", 1, "" };
    for (auto row : { ToRow(record), ToRow(range) }) {
      row.version = 1;
      view.Apply(row);
    }
    this->node->SetConfiguration(configuration);
    this->node->SetView(std::make_shared<ClusterView>(view), "me");
  }

  HttpResponse Post()
  {
    HttpRequest request(http::verb::post, "/look/1", 11);
    request.set(http::field::host, "a.example");
    request.set(headers::kRequestId, "0a1b2c3d4e5f60718293a4b5c6d7e8f9");
    request.set(headers::kTimeLeft, "1200");
    request.set(headers::kKey, "7");
    // A client's own fields of this name must have no effect.
    request.set(kCompactDispatchField, "00000 plan-view 0 9 9 w=9000");
    return this->Send(this->clientAddress, std::move(request));
  }

  HttpResponse Send(const Tcp::endpoint& aAddress, HttpRequest aRequest)
  {
    aRequest.content_length(aRequest.body().size());
    std::optional<Result<HttpResponse>> response;
    CallOptions options;
    options.timeout = seconds(5);
    Fetch(
      this->pool, aAddress, std::move(aRequest), options, [&](auto aResponse) {
        response = std::move(aResponse);
      });
    auto end = std::chrono::steady_clock::now() + seconds(5);
    while (!response && std::chrono::steady_clock::now() < end) {
      this->context.restart();
      this->context.run_for(milliseconds(2));
    }
    REQUIRE(response);
    REQUIRE(*response);
    return **response;
  }

  /** Bytes counted since the last call. */
  RequestBytes TakeBytes()
  {
    std::map<std::string, uint64_t> now;
    for (const auto& [name, value] :
         this->counters.MakeZoneTrafficEvent().fields) {
      now[name] = std::stoull(value);
    }
    auto since = [&](const char* aPart) {
      auto name = std::string("request_") + aPart + "_bytes";
      return now[name] - this->before[name];
    };
    RequestBytes bytes{ since("request-head"),
                        since("request-fields"),
                        since("response-fields"),
                        since("refusal") };
    this->before = std::move(now);
    return bytes;
  }
};

} // namespace

SCENARIO("Daemons that know the compact headers use them", "[zonetraffic]")
{
  // Guards against headers between daemons that cost more than they need to,
  // and against requests that differ at the server by the encoding.
  TwoZonesFixture fixture;
  CHECK(fixture.Post().result_int() == 200);
  auto plain = fixture.TakeBytes();
  CHECK(fixture.Post().result_int() == 200);
  auto compact = fixture.TakeBytes();
  UNSCOPED_INFO("request head " << plain.head << " then " << compact.head
                                << ", own fields " << plain.fields << " then "
                                << compact.fields << ", of responses "
                                << plain.responseFields << " then "
                                << compact.responseFields);
  CHECK(plain.fields > 0);
  CHECK(compact.fields + 10 < plain.fields);
  // The service of the sender is in the compact dispatch.
  CHECK(compact.head + 20 < plain.head);
  CHECK(compact.head + compact.fields + 35 < plain.head + plain.fields);
  CHECK(compact.responseFields > 0);
  CHECK(compact.responseFields <= 30);

  REQUIRE(fixture.received.size() == 2);
  for (const auto& request : fixture.received) {
    CHECK(request[headers::kCallerService] == "desk");
    CHECK(request[headers::kTargetServer] == "i-1");
    CHECK(std::stoi(std::string(request[headers::kTimeLeft])) > 500);
    CHECK(request.find(kDispatchField) == request.end());
    CHECK(request.find(kCompactDispatchField) == request.end());
  }
}

SCENARIO("A refusal to another daemon has no body and no further text",
         "[zonetraffic]")
{
  // Guards against refusals that cost as much as responses: under overload,
  // there are more of them.
  TwoZonesFixture fixture;
  CHECK(fixture.Post().result_int() == 200);
  fixture.TakeBytes();
  fixture.serving.available = false;
  fixture.owner->SetServing(fixture.serving);
  auto response = fixture.Post();
  CHECK(response.result_int() == 503);
  CHECK(response.body() == "server-down\n");
  auto bytes = fixture.TakeBytes();
  // As earlier releases send it.
  ExecutionReport report;
  report.outcome = ExecutionOutcome::Refused;
  report.reason = "server-down";
  report.retryAfter = milliseconds(250);
  report.untilHeartbeat = seconds(59);
  auto earlier = TextResponse(503, "server-down\n");
  earlier.set(headers::kRequestId, "0a1b2c3d4e5f60718293a4b5c6d7e8f9");
  earlier.set(kExecutionReportField, Encode(report));
  earlier.content_length(earlier.body().size());
  auto earlierBytes = SizeOf(earlier).total + earlier.body().size();
  UNSCOPED_INFO("refusal " << bytes.refusal << ", before " << earlierBytes);
  CHECK(bytes.refusal > 0);
  CHECK(bytes.refusal + 60 < earlierBytes);
}

SCENARIO("Daemons of an earlier release are sent the headers that they know",
         "[zonetraffic]")
{
  // Guards against requests that an earlier release cannot read while a
  // deployment is updated: it responds without a report, so their outcome would
  // be unknown.
  TwoZonesFixture fixture;
  fixture.SetOwner(ToString(fixture.server.Address()));
  GIVEN("an owner that knows only the earlier encoding")
  {
    fixture.fields = { { kExecutionReportField, Encode(ExecutionReport()) } };
    for (int count = 0; count < 3; ++count) {
      CHECK(fixture.Post().result_int() == 200);
    }
    THEN("it is sent that encoding")
    {
      for (const auto& request : fixture.received) {
        auto dispatch = DecodeDispatch(std::string(request[kDispatchField]));
        REQUIRE(dispatch);
        CHECK(dispatch->service == "agenda");
        CHECK(dispatch->requestClass == "plan-view");
        CHECK(dispatch->weight == 1);
        CHECK(request.find(kCompactDispatchField) == request.end());
        CHECK(request[headers::kCallerService] == "desk");
      }
    }
  }
  GIVEN("an owner that also knows the compact one")
  {
    fixture.fields = { { kCompactReportField,
                         EncodeCompact(ExecutionReport()) } };
    CHECK(fixture.Post().result_int() == 200);
    CHECK(fixture.Post().result_int() == 200);
    THEN("it is sent the compact encoding once that is known")
    {
      REQUIRE(fixture.received.size() == 2);
      CHECK(fixture.received[0].find(kDispatchField) !=
            fixture.received[0].end());
      auto request = fixture.received[1];
      CHECK(request.find(kDispatchField) == request.end());
      auto dispatch = TakeDispatch(request, "agenda");
      REQUIRE(dispatch);
      CHECK(dispatch->requestClass == "plan-view");
      CHECK(request[headers::kCallerService] == "desk");
    }
  }
  GIVEN("a sender that knows only the earlier encoding")
  {
    Dispatch dispatch;
    dispatch.service = "agenda";
    dispatch.requestClass = "plan-view";
    dispatch.untilTarget = milliseconds(200);
    dispatch.untilDeadline = milliseconds(500);
    HttpRequest request(http::verb::post, "/look/1", 11);
    request.set(headers::kRequestId, "r1");
    request.set(headers::kKey, "7");
    request.set(kDispatchField, Encode(dispatch));
    // As its client may have sent it.
    request.set(kCompactDispatchField, "00000 other 0 9 9");
    auto response = fixture.Send(fixture.ownerAddress, std::move(request));
    THEN("the report is in that encoding, and its own dispatch counts")
    {
      CHECK(response.result_int() == 200);
      CHECK(
        DecodeExecutionReport(std::string(response[kExecutionReportField])));
      CHECK(response.find(kCompactReportField) == response.end());
    }
  }
}

SCENARIO("Compact dispatches and reports survive encoding and decoding",
         "[zonetraffic]")
{
  Dispatch dispatch{ "planbook",
                     "plan-view",
                     2,
                     RequestKind::Download,
                     true,
                     milliseconds(-20),
                     milliseconds(700),
                     milliseconds(240),
                     2.5,
                     true,
                     true };
  http::fields fields;
  SetDispatch(fields, dispatch, "desk", true);
  auto text = std::string(fields[kCompactDispatchField]);
  CHECK(TakeDispatch(fields, "planbook") == dispatch);
  CHECK(fields[headers::kCallerService] == "desk");
  CHECK(fields.find(kCompactDispatchField) == fields.end());

  SetDispatch(fields, dispatch, "planbook", true);
  CHECK(TakeDispatch(fields, "planbook") == dispatch);
  CHECK(fields[headers::kCallerService] == "planbook");

  // The daemon of another service may have taken over the address.
  SetDispatch(fields, dispatch, "desk", true);
  CHECK(TakeDispatch(fields, "clinicledger")->service != "clinicledger");

  // Parts of later releases are ignored.
  fields.set(kCompactDispatchField, text + " z=1 later");
  CHECK(TakeDispatch(fields, "planbook") == dispatch);
  for (const char* malformed : { "", "a", "a b 1 2", "a b x 1 1", "a b 6 1" }) {
    fields.set(kCompactDispatchField, malformed);
    CHECK_FALSE(TakeDispatch(fields, "planbook"));
  }

  ExecutionReport report{
    ExecutionOutcome::Refused, "moved", "0123abcd",       true,
    milliseconds(250),         0.5,     milliseconds(90), milliseconds(400),
    milliseconds(70),          0.25
  };
  CHECK(DecodeCompactReport(EncodeCompact(report)) == report);
  CHECK(DecodeCompactReport(EncodeCompact(report) + " z=1 later") == report);
  CHECK(DecodeCompactReport(EncodeCompact(ExecutionReport())) ==
        ExecutionReport());
  CHECK_FALSE(DecodeCompactReport("1 2 3"));
  // Without its outcome, a refusal would be taken for a response.
  CHECK_FALSE(DecodeCompactReport("1 2 3 4 o=7"));
  CHECK_FALSE(DecodeCompactReport("1 2 3 4 o=x"));
}

SCENARIO("The traffic with other zones is counted by purpose and part",
         "[zonetraffic]")
{
  // Guards against a table that leaves out what daemons themselves send.
  TwoZonesFixture fixture;
  CHECK(fixture.Post().result_int() == 200);
  fixture.counters.CountZoneDatagram("b", PeerMessage::Kind::Rows, 300);
  auto text = fixture.counters.FormatText();
  for (
    const char* line :
    { R"(fescuetiller_zone_bytes_total{zone="b",purpose="datagram",part="rows"} 300)",
      R"(fescuetiller_zone_bytes_total{zone="b",purpose="request",part="response-body"} 6)",
      R"(fescuetiller_zone_messages_total{zone="b",purpose="request",part="request-head"} 1)" }) {
    INFO(line << "\n" << text);
    CHECK(text.find(line) != std::string::npos);
  }
  // What stays in the zone costs nothing.
  CHECK(fixture.otherCounters.MakeZoneTrafficEvent().fields.empty());
}

SCENARIO("A service without keys is served by another zone if it must be",
         "[zonetraffic]")
{
  // Guards against a transfer cost that leaves requests without a member where
  // the own zone has none.
  TwoZonesFixture fixture;
  fixture.serving.ownsKeys = false;
  fixture.owner->SetServing(fixture.serving);
  fixture.SetOwner(ToString(fixture.ownerAddress), false);
  CHECK(fixture.Post().result_int() == 200);
  auto text = fixture.counters.FormatText();
  INFO(text);
  CHECK(text.find("fescuetiller_zone_choices_total{class=\"plan-view\","
                  "zone=\"other\"} 1") != std::string::npos);
}
