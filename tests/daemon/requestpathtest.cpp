#include <array>
#include <atomic>
#include <random>
#include <thread>

#include <catch2/catch.hpp>

#include "fescuetillerd/requestfingerprint.h"
#include "fescuetillerd/trafficnode.h"
#include "http/callfixture.h"
#include "platform/headers.h"
#include "standins/reservedports.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** How the simulated backend server handles a request. */
enum class ServerAction
{
  Respond,
  Refuse,          ///< Responds 503 and that the request did not run.
  RefuseInChunks,  ///< The same with a body of unknown length.
  Disconnect,      ///< Closes the connection after it has read the request.
  Hang,            ///< Never responds.
  RespondInChunks, ///< Without stating the length of the body.
  /** Breaks off a short response inside its body. */
  BreakOffShort,
  /** Breaks off a long response before its first chunk is complete. */
  BreakOffLongEarly,
  /** Breaks off a long response behind the first part that is passed on. */
  BreakOffBehindPart,
  /** Breaks off a long response after several chunks. */
  BreakOffLong,
  RespondLong, ///< With a body that is passed on in chunks.
  StopInBody,  ///< Sends a part of a long response, and nothing further.
};

/** Responses that break off before anything of them is passed on. */
constexpr std::array<std::pair<ServerAction, const char*>, 2> kBrokenOffEarly{
  { { ServerAction::BreakOffShort, "a short response" },
    { ServerAction::BreakOffLongEarly, "a long response" } }
};

constexpr size_t kShortBytes = 100;
/** Of a response that is passed on in chunks. */
constexpr size_t kLongBytes = 200 * 1024;

/** One daemon with a simulated backend server, all in one context. */
struct RequestPathFixture
{
  asio::io_context context{ 1 };
  EventLog log{ "test", { 0, 0, 0 } };
  Counters counters;
  std::vector<std::shared_ptr<Exchange>> pendingExchanges;
  std::vector<HttpRequest> serverRequests; ///< Requests that the server got.
  /** Actions for the first requests; the server responds to later ones. */
  std::vector<ServerAction> serverActions;
  /** Requests per second that the server states in its responses; empty if it
   * states no limit. */
  std::string statedLimit;
  /** Whether the server says in its responses that it is about to shut down. */
  bool statesLeaving = false;
  /** Added to each response of the server, which then acts as the daemon of
   * another member. */
  std::map<std::string, std::string> daemonFields;
  std::string otherZone = "a"; ///< Zone of the other member.
  /** The daemon closed the connection of a pending request. */
  bool requestAborted = false;
  HttpServer server{ context, [this](std::shared_ptr<Exchange> aExchange) {
                      this->Serve(std::move(aExchange));
                    } };
  std::unique_ptr<TrafficNode> node;
  ConnectionPool pool{ context }; ///< Of the clients and the other daemon.
  ServingState serving;
  std::shared_ptr<Configuration> configuration =
    std::make_shared<Configuration>();

  ReservedPorts ports{ context };
  Tcp::endpoint clientAddress;
  Tcp::endpoint callerAddress;
  Tcp::endpoint peerAddress;

  /** @param aServer Address of another server in place of the simulated one. */
  explicit RequestPathFixture(const std::string& aServer = "")
  {
    REQUIRE(this->server.Listen(Loopback(0)));
    NodeSettings settings;
    settings.service = "agenda";
    settings.zone = "a";
    settings.server =
      aServer.empty() ? ToString(this->server.Address()) : aServer;
    settings.clientAddress = ToString(this->ports.Reserve());
    settings.peerAddress = ToString(this->ports.Reserve());
    this->peerAddress = *ParseEndpoint(settings.peerAddress);
    settings.callerAddress = ToString(this->ports.Reserve());
    this->callerAddress = *ParseEndpoint(settings.callerAddress);
    settings.retryRatio = 0.9;
    this->clientAddress = *ParseEndpoint(settings.clientAddress);
    this->node = std::make_unique<TrafficNode>(
      this->context, settings, this->log, this->counters);
    REQUIRE(this->node->Listen());
    for (const auto& [name, kind] :
         { std::pair("look", RequestKind::Idempotent),
           std::pair("book", RequestKind::NonIdempotent) }) {
      Route route;
      route.name = name;
      route.host = "a.example";
      route.prefix = std::string("/") + name + "/";
      route.kind = kind;
      route.timeout = milliseconds(600);
      route.targetLatency = milliseconds(200);
      route.attempts = 2;
      route.destinations = { { "agenda", 1 } };
      this->configuration->routes[name] = route;
    }
    Service service;
    service.name = "agenda";
    service.ownsKeys = true;
    this->configuration->version = 1;
    this->configuration->services["agenda"] = service;
    this->serving.member = "me";
    this->serving.server.id = "i-1";
    this->serving.slots = 4;
    this->serving.available = true;
    this->serving.ownsKeys = true;
    this->serving.ranges = { { { 0, 999 }, BootClock::now() + seconds(60) } };
    this->serving.leaseUntil = BootClock::now() + seconds(60);
    this->serving.nextHeartbeat = BootClock::now() + seconds(60);
  }

  /** Passes configuration, cluster view and serving state to the daemon. */
  void Configure(const MemberId& aOwner = "me", Key aLast = 999)
  {
    ClusterView view;
    for (auto row :
         { ToRow(MemberRecord{ "me",
                               "agenda",
                               "a",
                               "127.0.0.1:1",
                               "127.0.0.1:1",
                               MemberState::Ready,
                               {} }),
           ToRow(MemberRecord{ "other",
                               "agenda",
                               this->otherZone,
                               ToString(this->server.Address()),
                               ToString(this->server.Address()),
                               MemberState::Ready,
                               {} }),
           ToRow(RangeRecord{ "agenda", { 0, aLast }, aOwner, 1, "" }) }) {
      row.version = 1;
      view.Apply(row);
    }
    this->node->SetConfiguration(this->configuration);
    this->node->SetView(std::make_shared<ClusterView>(view), "me");
    this->node->SetServing(this->serving);
  }

  /** Lets the daemon of the other member, which owns all keys from now on,
   * refuse all requests. */
  void RefuseAsOther(Duration aRetryAfter, double aSendShare = 1)
  {
    this->Configure("other");
    ExecutionReport report;
    report.outcome = ExecutionOutcome::Refused;
    report.reason = "no-time";
    report.retryAfter = aRetryAfter;
    report.sendShare = aSendShare;
    this->daemonFields[kExecutionReportField] = Encode(report);
  }

  HttpResponse Post(const std::string& aPath,
                    const std::string& aKey = "7",
                    const std::string& aHost = "a.example")
  {
    HttpRequest request(http::verb::post, aPath, 11);
    request.set(http::field::host, aHost);
    request.set(headers::kRequestId, "r1");
    request.set(headers::kTimeLeft, "500");
    request.set(headers::kKey, aKey);
    request.set(kServerNoticeField, "i-1 0 0.1 9000"); // Must have no effect.
    request.body() = "body";
    return this->Send(this->clientAddress, std::move(request));
  }

  /** Sends a request as a client that waits until a deadline. */
  HttpResponse PostUntil(const std::string& aId,
                         Time aDeadline,
                         const std::string& aKey = "7")
  {
    HttpRequest request(http::verb::post, "/look/1", 11);
    request.set(http::field::host, "a.example");
    request.set(headers::kRequestId, aId);
    request.set(headers::kTimeLeft,
                std::to_string(ToMilliseconds(aDeadline - BootClock::now())));
    request.set(headers::kKey, aKey);
    return this->Send(this->clientAddress, std::move(request));
  }

  /** Sends a request as the daemon of another member. */
  HttpResponse PostAsDaemon(const std::string& aNotice)
  {
    auto response = this->TryPostAsDaemon(aNotice);
    REQUIRE(response);
    return *response;
  }

  /** @return An error if the connection ends before the response does. */
  Result<HttpResponse> TryPostAsDaemon(const std::string& aNotice = "")
  {
    Dispatch dispatch;
    dispatch.service = "agenda";
    dispatch.requestClass = "look";
    dispatch.untilTarget = milliseconds(200);
    dispatch.untilDeadline = milliseconds(500);
    HttpRequest request(http::verb::post, "/look/1", 11);
    request.set(headers::kRequestId, "r1");
    request.set(headers::kKey, "7");
    request.set(kDispatchField, Encode(dispatch));
    if (!aNotice.empty()) {
      request.set(kServerNoticeField, aNotice);
    }
    return this->TrySend(this->peerAddress, std::move(request));
  }

  /** Sends a request to the router's own interface. */
  HttpResponse PostAsCaller(const std::string& aPath)
  {
    HttpRequest request(http::verb::post, aPath, 11);
    request.set(headers::kRequestId, "r1");
    return this->Send(this->callerAddress, std::move(request));
  }

  /** Sends a request as a client.
   * @return An error if the connection ends before the response does. */
  Result<HttpResponse> TryPost(const std::string& aPath,
                               const std::string& aBody = "",
                               http::verb aMethod = http::verb::post)
  {
    HttpRequest request(aMethod, aPath, 11);
    request.set(http::field::host, "a.example");
    request.set(headers::kRequestId, "r1");
    request.set(headers::kTimeLeft, aBody.empty() ? "500" : "4000");
    request.set(headers::kKey, "7");
    request.body() = aBody;
    return this->TrySend(this->clientAddress, std::move(request));
  }

  /** The server's response to a request. */
  HttpResponse MakeResponse(const std::string& aId) const
  {
    auto response = TextResponse(200, "answer");
    response.set(headers::kRequestId, aId);
    response.set(headers::kSignature, "signed");
    if (!this->statedLimit.empty()) {
      response.set(headers::kRequestLimit, this->statedLimit);
    }
    if (this->statesLeaving) {
      response.set(headers::kLeaving, headers::kIsLeaving);
    }
    for (const auto& [name, value] : this->daemonFields) {
      response.set(name, value);
    }
    return response;
  }

private:
  HttpResponse Send(const Tcp::endpoint& aAddress, HttpRequest aRequest)
  {
    auto response = this->TrySend(aAddress, std::move(aRequest));
    REQUIRE(response);
    return *response;
  }

  Result<HttpResponse> TrySend(const Tcp::endpoint& aAddress,
                               HttpRequest aRequest)
  {
    aRequest.content_length(aRequest.body().size());
    std::optional<Result<HttpResponse>> response;
    CallOptions options;
    options.timeout = seconds(5);
    Fetch(
      this->pool,
      aAddress,
      std::move(aRequest),
      options,
      [&](Result<HttpResponse> aResponse) { response = std::move(aResponse); });
    auto end = std::chrono::steady_clock::now() + seconds(5);
    while (!response && std::chrono::steady_clock::now() < end) {
      this->context.run_for(milliseconds(2));
    }
    REQUIRE(response);
    return *response;
  }

  void Serve(std::shared_ptr<Exchange> aExchange)
  {
    auto action = this->serverRequests.size() < this->serverActions.size()
                    ? this->serverActions[this->serverRequests.size()]
                    : ServerAction::Respond;
    this->serverRequests.push_back(aExchange->request);
    auto id = std::string(aExchange->request[headers::kRequestId]);
    switch (action) {
      case ServerAction::Respond:
        aExchange->Respond(this->MakeResponse(id));
        break;
      case ServerAction::Refuse: {
        auto response = TextResponse(503, "");
        response.set(headers::kRequestId, id);
        response.set(headers::kNotExecuted, "1");
        aExchange->Respond(response);
        break;
      }
      case ServerAction::RefuseInChunks: {
        ResponseHeaders response;
        response.message.result(503);
        response.message.set(headers::kRequestId, id);
        response.message.set(headers::kNotExecuted, "1");
        aExchange->StartResponse(std::move(response));
        aExchange->EndResponse();
        break;
      }
      case ServerAction::Disconnect:
        aExchange->Abort();
        break;
      case ServerAction::Hang:
        aExchange->onClientDisconnect = [this](ConnectionEnd) {
          this->requestAborted = true;
        };
        this->pendingExchanges.push_back(std::move(aExchange));
        break;
      case ServerAction::RespondInChunks:
        this->RespondInChunks(aExchange);
        break;
      case ServerAction::BreakOffShort:
        this->BreakOff(aExchange, kShortBytes, kShortBytes / 2);
        break;
      case ServerAction::BreakOffLongEarly:
        this->BreakOff(aExchange, kLongBytes, kShortBytes);
        break;
      case ServerAction::BreakOffBehindPart:
        this->BreakOff(aExchange, kLongBytes, kLongBytes / 5);
        break;
      case ServerAction::BreakOffLong:
        this->BreakOff(aExchange, kLongBytes, kLongBytes / 2);
        break;
      case ServerAction::StopInBody:
        this->SendPart(aExchange, kLongBytes, kLongBytes / 2, [] {});
        this->pendingExchanges.push_back(std::move(aExchange));
        break;
      case ServerAction::RespondLong: {
        auto response = this->MakeResponse(id);
        response.body() = std::string(kLongBytes, 'x');
        aExchange->Respond(std::move(response));
        break;
      }
    }
  }

  void RespondInChunks(const std::shared_ptr<Exchange>& aExchange)
  {
    ResponseHeaders headers;
    headers.message.result(200);
    headers.message.set(headers::kRequestId,
                        aExchange->request[headers::kRequestId]);
    for (const auto& [name, value] : this->daemonFields) {
      headers.message.set(name, value);
    }
    aExchange->StartResponse(std::move(headers));
    auto body = std::make_shared<std::string>("answer");
    aExchange->WriteChunk(asio::buffer(*body),
                          [body, aExchange] { aExchange->EndResponse(); });
  }

  /** Sends the headers and a part of the body, then closes the connection.
   * @param aLength Length of the body by the headers. */
  void BreakOff(const std::shared_ptr<Exchange>& aExchange,
                size_t aLength,
                size_t aSentBytes)
  {
    this->SendPart(
      aExchange, aLength, aSentBytes, [aExchange] { aExchange->Abort(); });
  }

  /** Sends the headers and a part of the body.
   * @param aNext Called when it is written. */
  void SendPart(const std::shared_ptr<Exchange>& aExchange,
                size_t aLength,
                size_t aSentBytes,
                std::function<void()> aNext)
  {
    ResponseHeaders headers;
    headers.message.result(200);
    headers.message.set(headers::kRequestId,
                        aExchange->request[headers::kRequestId]);
    for (const auto& [name, value] : this->daemonFields) {
      headers.message.set(name, value);
    }
    headers.contentLength = aLength;
    aExchange->StartResponse(std::move(headers));
    auto part = std::make_shared<std::string>(aSentBytes, 'x');
    aExchange->WriteChunk(asio::buffer(*part),
                          [part, next = std::move(aNext)] { next(); });
  }
};

/** A client that sends further requests before it has the first response. */
class PipeliningClient
{
public:
  explicit PipeliningClient(RequestPathFixture& aFixture)
    : fixture(aFixture)
    , socket(aFixture.context)
  {
    this->socket.connect(aFixture.clientAddress);
    this->socket.non_blocking(true);
  }

  /** Sends a request with the id "r" and the path.
   * @param aTimeLeft How long the client waits; empty: it does not say. */
  void Get(const std::string& aPath,
           std::optional<milliseconds> aTimeLeft = std::nullopt)
  {
    HttpRequest request(http::verb::get, aPath, 11);
    request.set(http::field::host, "a.example");
    request.set(headers::kRequestId, "r" + aPath);
    request.set(headers::kKey, "7");
    if (aTimeLeft) {
      request.set(headers::kTimeLeft, std::to_string(aTimeLeft->count()));
    }
    http::write(this->socket, request);
  }

  /** Reads what has arrived. @return Whether the connection is open. */
  bool Read()
  {
    boost::system::error_code error;
    auto size = this->socket.read_some(this->buffer.prepare(kLongBytes), error);
    this->buffer.commit(size);
    return !error || error == asio::error::would_block;
  }

  /** Reads for some time, or until the daemon closes the connection. */
  void ReadUntilClosed(Duration aTime)
  {
    auto end = BootClock::now() + aTime;
    do {
      this->fixture.context.run_for(milliseconds(2));
    } while (this->Read() && BootClock::now() < end);
  }

  /** Reads what has arrived after a time, as a client that then leaves. */
  void ReadAfter(Duration aTime)
  {
    bool passed = false;
    asio::steady_timer limit(this->fixture.context, aTime);
    limit.async_wait([&](boost::system::error_code) {
      this->Read();
      passed = true;
    });
    while (!passed) {
      this->fixture.context.run_for(milliseconds(2));
    }
  }

  /** Whether a response began inside the body of another one. */
  bool HasBrokenResponse() const
  {
    auto data = this->buffer.cdata();
    std::string_view received(static_cast<const char*>(data.data()),
                              data.size());
    return received.find("xHTTP/1.1") != std::string_view::npos;
  }

  /** Status and id of each response that was read whole, in their order. */
  std::vector<std::string> Responses() const
  {
    std::vector<std::string> responses;
    auto rest = this->buffer.data();
    boost::system::error_code error;
    while (!error && rest.size() > 0) {
      http::response_parser<http::string_body> parser;
      parser.eager(true);
      rest += parser.put(rest, error);
      if (parser.is_done()) {
        const auto& response = parser.get();
        responses.push_back(std::to_string(response.result_int()) + " " +
                            std::string(response[headers::kRequestId]));
      }
    }
    return responses;
  }

private:
  RequestPathFixture& fixture;
  Tcp::socket socket;
  boost::beast::flat_buffer buffer;
};

/** A client whose first attempt was refused by the daemon of another member,
 * and whose target time has passed since. */
struct RefusedClientFixture : RequestPathFixture
{
  Time deadline = BootClock::now() + seconds(2);

  RefusedClientFixture()
  {
    this->RefuseAsOther(milliseconds(50));
    REQUIRE(this->PostUntil("r1", this->deadline).result_int() == 503);
    this->context.run_for(this->configuration->routes["look"].targetLatency);
  }

  /** What the other daemon was told about the last request. */
  Dispatch LastDispatch() const
  {
    auto dispatch =
      DecodeDispatch(std::string(this->serverRequests.back()[kDispatchField]));
    REQUIRE(dispatch);
    return *dispatch;
  }
};

} // namespace

SCENARIO("A request is forwarded to the backend server and its response to the "
         "client",
         "[path]")
{
  RequestPathFixture fixture;
  fixture.Configure();
  auto response = fixture.Post("/look/1?x=2");

  CHECK(response.result_int() == 200);
  CHECK(response.body() == "answer");
  CHECK(response[headers::kSignature] == "signed");
  CHECK(response.find(kExecutionReportField) == response.end());
  REQUIRE(fixture.serverRequests.size() == 1);
  const auto& request = fixture.serverRequests[0];
  CHECK(request.target() == "/look/1?x=2");
  CHECK(request.body() == "body");
  CHECK(request[headers::kTargetServer] == "i-1");
  CHECK(request[headers::kCallerService] == "agenda");
  CHECK(std::stoi(std::string(request[headers::kTimeLeft])) <= 500);
  CHECK(request.find(kDispatchField) == request.end());
}

// Guards against a process that ends: Beast throws an exception for such a
// request if it is to prepare its body.
SCENARIO("A request with any method and a body is forwarded", "[path]")
{
  RequestPathFixture fixture;
  fixture.Configure();
  for (auto method : { http::verb::trace,
                       http::verb::get,
                       http::verb::delete_,
                       http::verb::options }) {
    auto response = fixture.TryPost("/look/1", "body", method);
    REQUIRE(response);
    CHECK(response->result_int() == 200);
    REQUIRE_FALSE(fixture.serverRequests.empty());
    CHECK(fixture.serverRequests.back().method() == method);
    CHECK(fixture.serverRequests.back().body() == "body");
  }
}

SCENARIO("A request that a server refused is retried", "[path]")
{
  RequestPathFixture fixture;
  fixture.Configure();

  GIVEN("a server that does not state how long its refusal is")
  {
    fixture.serverActions = { ServerAction::RefuseInChunks,
                              ServerAction::Respond };
    THEN("the client gets the response, also if the request is not idempotent")
    {
      CHECK(fixture.Post("/book/1").result_int() == 200);
      CHECK(fixture.serverRequests.size() == 2);
    }
  }

  GIVEN("a server that accepts the second attempt")
  {
    fixture.serverActions = { ServerAction::Refuse, ServerAction::Respond };
    THEN("the client gets the response, also if the request is not idempotent")
    {
      CHECK(fixture.Post("/book/1").result_int() == 200);
      CHECK(fixture.serverRequests.size() == 2);
    }
  }
  GIVEN("a server that refuses every attempt")
  {
    fixture.serverActions = { ServerAction::Refuse,
                              ServerAction::Refuse,
                              ServerAction::Refuse };
    auto response = fixture.Post("/look/1");
    THEN("the response says that the request has not run and when to retry")
    {
      CHECK(response.result_int() == 503);
      CHECK_FALSE(response[http::field::retry_after].empty());
      CHECK(fixture.serverRequests.size() == 2);
    }
  }
}

// Guards against capacity that seems unused under overload, since the log of
// single requests is limited.
SCENARIO("A daemon reports what the slots of its server were used for",
         "[path][slotusage]")
{
  RequestPathFixture fixture;
  SlotTimes totals;
  fixture.node->onReport = [&totals](const TrafficReport& aReport) {
    totals = aReport.slotTotals;
  };
  auto runUntil = [&](const std::function<bool()>& aCondition) {
    for (int round = 0; round < 500 && !aCondition(); ++round) {
      fixture.context.run_for(milliseconds(10));
    }
    return aCondition();
  };
  fixture.Configure();

  GIVEN("a request that is answered in time")
  {
    fixture.Post("/book/1");
    THEN("its time counts as such, and the rest as idle")
    {
      CHECK(runUntil([&] { return totals.inTime > Duration(0); }));
      CHECK(totals.idle > totals.inTime);
      CHECK(totals.error + totals.unanswered + totals.withoutKeys ==
            Duration(0));
    }
  }
  GIVEN("a server that breaks off the connection")
  {
    fixture.serverActions = { ServerAction::Disconnect };
    fixture.Post("/book/1");
    THEN("the time was used for nothing")
    {
      CHECK(runUntil([&] { return totals.unanswered > Duration(0); }));
      CHECK(totals.inTime == Duration(0));
    }
  }
  GIVEN("a server that holds no keys any more")
  {
    fixture.serving.ranges.clear();
    fixture.Configure();
    THEN("its slots are without keys")
    {
      CHECK(runUntil([&] { return totals.withoutKeys > Duration(0); }));
    }
  }
  GIVEN("a server that is lost")
  {
    fixture.serving.available = false;
    fixture.Configure();
    REQUIRE(fixture.Post("/look/1").result_int() == 503);
    THEN("its slots count no longer")
    {
      REQUIRE(runUntil([&] { return totals.idle > Duration(0); }));
      auto before = totals;
      fixture.context.run_for(seconds(1));
      CHECK(totals == before);
    }
  }
}

SCENARIO("A request that its client sends again is counted as a retry",
         "[path][clientretries]")
{
  RefusedClientFixture fixture;
  const std::string kCounted =
    "fescuetiller_client_retries_total{class=\"look\",outcome=\"refused\"} 1";

  GIVEN("the same client")
  {
    fixture.PostUntil("r2", fixture.deadline);
    CHECK(fixture.counters.FormatText().find(kCounted) != std::string::npos);
  }
  GIVEN("another client that requests the same")
  {
    fixture.PostUntil("r3", BootClock::now() + seconds(2));
    CHECK(fixture.counters.FormatText().find(kCounted) == std::string::npos);
  }
}

// Guards against retries that take slots from requests that could still be
// answered in time.
SCENARIO("The target time of a request that its client sends again is counted "
         "from the first attempt",
         "[path][clientretries]")
{
  RefusedClientFixture fixture;

  GIVEN("the client, which comes back when its target time has passed")
  {
    fixture.PostUntil("r2", fixture.deadline);
    CHECK(fixture.LastDispatch().untilTarget <= Duration(0));
    CHECK(fixture.LastDispatch().untilDeadline > Duration(0));
  }
  GIVEN("another client that requests the same")
  {
    fixture.PostUntil("r3", BootClock::now() + seconds(2));
    CHECK(fixture.LastDispatch().untilTarget > Duration(0));
  }
}

SCENARIO("A request whose response was lost is retried only if idempotent",
         "[path]")
{
  RequestPathFixture fixture;
  fixture.Configure();
  fixture.serverActions = { ServerAction::Disconnect, ServerAction::Respond };

  GIVEN("an idempotent request")
  {
    THEN("it is retried")
    {
      CHECK(fixture.Post("/look/1").result_int() == 200);
      CHECK(fixture.serverRequests.size() == 2);
    }
  }
  GIVEN("a request that is not idempotent")
  {
    auto response = fixture.Post("/book/1");
    THEN("it is not retried, and the response does not say that it has not run")
    {
      CHECK(response.result_int() == 502);
      CHECK(fixture.serverRequests.size() == 1);
    }
  }
  GIVEN("a server that refuses the retry")
  {
    fixture.serverActions = { ServerAction::Disconnect, ServerAction::Refuse };
    THEN("the response does not say that the request has not run")
    {
      CHECK(fixture.Post("/look/1").result_int() == 502);
    }
  }
}

// Guards against daemons that treat each other as unreachable since the servers
// beside them break off responses.
SCENARIO("A daemon whose server breaks off a response says so while it can",
         "[path][brokenoff]")
{
  RequestPathFixture fixture;
  fixture.Configure();

  for (const auto& [action, name] : kBrokenOffEarly) {
    GIVEN(std::string("nothing is passed on yet of ") + name)
    {
      fixture.serverActions = { action };
      auto response = fixture.TryPostAsDaemon();
      THEN("the other daemon is told that the request may have run")
      {
        REQUIRE(response);
        CHECK(response->result_int() == 502);
        auto report = DecodeExecutionReport(
          std::string((*response)[kExecutionReportField]));
        REQUIRE(report);
        CHECK(report->outcome == ExecutionOutcome::Failed);
        CHECK(report->reason == "answer-broken-off");
        CHECK(report->reachedServer);
      }
      THEN("the connection is kept")
      {
        CHECK(fixture.TryPostAsDaemon());
        CHECK(fixture.pool.opened == 1);
      }
    }
  }
  GIVEN("a long response of which a part is passed on")
  {
    fixture.serverActions = { ServerAction::BreakOffLong };
    THEN("the other daemon sees that it is incomplete")
    {
      CHECK_FALSE(fixture.TryPostAsDaemon());
      CHECK(fixture.TryPostAsDaemon());
      CHECK(fixture.pool.opened == 2);
    }
  }
}

SCENARIO(
  "A response that the daemon's own server breaks off is requested again "
  "if the request is idempotent",
  "[path][brokenoff]")
{
  RequestPathFixture fixture;
  fixture.Configure();

  for (const auto& [action, name] : kBrokenOffEarly) {
    GIVEN(std::string("the client has nothing yet of ") + name)
    {
      fixture.serverActions = { action };
      THEN("an idempotent request is tried again")
      {
        auto response = fixture.TryPost("/look/1");
        REQUIRE(response);
        CHECK(response->result_int() == 200);
        CHECK(fixture.serverRequests.size() == 2);
      }
      THEN("another one is not, and its client is told that it may have run")
      {
        auto response = fixture.TryPost("/book/1");
        REQUIRE(response);
        CHECK(response->result_int() == 502);
        CHECK(fixture.serverRequests.size() == 1);
      }
      THEN("later requests are sent to the server")
      {
        static_cast<void>(fixture.TryPost("/book/1"));
        CHECK(fixture.Post("/book/2").result_int() == 200);
      }
    }
  }
  GIVEN("each response breaks off")
  {
    fixture.serverActions.assign(9, ServerAction::BreakOffShort);
    THEN("there are no more attempts than the route allows")
    {
      auto response = fixture.TryPost("/look/1");
      REQUIRE(response);
      CHECK(response->result_int() == 502);
      CHECK(fixture.serverRequests.size() ==
            fixture.configuration->routes["look"].attempts);
    }
  }
  GIVEN("a response of which the client has a part")
  {
    fixture.serverActions = { ServerAction::BreakOffLong };
    THEN("it is not tried again, and the client sees that it is incomplete")
    {
      CHECK_FALSE(fixture.TryPost("/look/1"));
      CHECK(fixture.serverRequests.size() == 1);
    }
  }
}

SCENARIO("A daemon that breaks off a response is blamed only if it is gone",
         "[path][brokenoff]")
{
  RequestPathFixture fixture;
  fixture.Configure("other");
  auto report = Encode(ExecutionReport());
  fixture.daemonFields = { { kExecutionReportField, report } };

  GIVEN("a response that breaks off behind a report")
  {
    for (const auto& [action, name] : kBrokenOffEarly) {
      WHEN(std::string("the client has nothing yet of ") + name)
      {
        fixture.serverActions = { action };
        THEN("an idempotent request is sent to the same daemon again")
        {
          auto response = fixture.TryPost("/look/1");
          REQUIRE(response);
          CHECK(response->result_int() == 200);
          CHECK(fixture.serverRequests.size() == 2);
        }
        THEN("later requests are sent to it")
        {
          auto response = fixture.TryPost("/book/1");
          REQUIRE(response);
          CHECK(response->result_int() == 502);
          CHECK(response->body() == "answer-broken-off\n");
          CHECK(fixture.Post("/book/2").result_int() == 200);
        }
      }
    }
    WHEN("the client has a part of it")
    {
      fixture.serverActions = { ServerAction::BreakOffLong };
      CHECK_FALSE(fixture.TryPost("/look/1"));
      THEN("later requests are sent to the daemon")
      {
        CHECK(fixture.Post("/book/2").result_int() == 200);
      }
    }
  }
  GIVEN("a connection that is closed without a report")
  {
    fixture.serverActions = { ServerAction::Disconnect };
    CHECK(fixture.Post("/book/1").result_int() == 502);
    THEN("no requests are sent to the daemon for a moment")
    {
      CHECK(fixture.Post("/book/2").result_int() == 503);
      CHECK(fixture.serverRequests.size() == 1);
    }
  }
}

SCENARIO("A request without a key goes elsewhere if a server breaks off its "
         "response",
         "[path][brokenoff]")
{
  RequestPathFixture fixture;
  fixture.configuration->services["agenda"].ownsKeys = false;
  fixture.serving.ownsKeys = false;
  fixture.daemonFields = { { kExecutionReportField,
                             Encode(ExecutionReport()) } };
  fixture.Configure();
  fixture.serverActions = { ServerAction::BreakOffShort };

  GIVEN("an idempotent request")
  {
    auto response = fixture.TryPost("/look/1");
    THEN("another member gets it")
    {
      REQUIRE(response);
      CHECK(response->result_int() == 200);
      REQUIRE(fixture.serverRequests.size() == 2);
      CHECK(fixture.serverRequests[0][kDispatchField].empty());
      CHECK_FALSE(fixture.serverRequests[1][kDispatchField].empty());
    }
  }
  GIVEN("another request")
  {
    auto response = fixture.TryPost("/book/1");
    THEN("no other member gets it")
    {
      REQUIRE(response);
      CHECK(response->result_int() == 502);
      CHECK(fixture.serverRequests.size() == 1);
    }
  }
}

// Guards against requests that travel to an evacuated zone to be refused there,
// and against clients that hear of a refusal though other servers are free.
SCENARIO("A request without a key goes to a zone that is not evacuated",
         "[path][evacuations]")
{
  RequestPathFixture fixture;
  fixture.configuration->services["agenda"].ownsKeys = false;
  fixture.serving.ownsKeys = false;
  fixture.serving.ranges.clear();
  fixture.otherZone = "b";
  ExecutionReport report;
  report.outcome = ExecutionOutcome::Answered;
  fixture.daemonFields[kExecutionReportField] = Encode(report);
  fixture.Configure("nobody");
  auto isSentToOther = [&] {
    return fixture.serverRequests.size() == 1 &&
           fixture.serverRequests[0].find(kDispatchField) !=
             fixture.serverRequests[0].end();
  };

  GIVEN("the own zone")
  {
    fixture.node->SetEvacuatedZones({ "a" });
    CHECK(fixture.Post("/look/1").result_int() == 200);
    CHECK(isSentToOther());
  }
  GIVEN("the other zone")
  {
    fixture.node->SetEvacuatedZones({ "b" });
    CHECK(fixture.Post("/look/1").result_int() == 200);
    CHECK_FALSE(isSentToOther());
  }
  GIVEN("the own zone, which only the executor knows")
  {
    fixture.serving.evacuatedFrom = Time();
    fixture.node->SetServing(fixture.serving);
    CHECK(fixture.Post("/look/1").result_int() == 200);
    CHECK(isSentToOther());
  }
  GIVEN("all zones of the service")
  {
    fixture.node->SetEvacuatedZones({ "a", "b" });
    CHECK(fixture.Post("/look/1").result_int() == 503);
    CHECK(fixture.serverRequests.empty());
    CHECK(fixture.counters.FormatText().find("evacuated") != std::string::npos);
  }
}

SCENARIO("Few requests are refused while servers break off a quarter of their "
         "responses",
         "[path][brokenoff]")
{
  RequestPathFixture fixture;
  fixture.daemonFields = { { kExecutionReportField,
                             Encode(ExecutionReport()) } };
  constexpr int kRequests = 200; ///< Of each kind.
  std::minstd_rand random(1);
  for (int count = 0; count < 4 * kRequests; ++count) {
    auto kind = random() % 8;
    fixture.serverActions.push_back(kind == 0 ? ServerAction::BreakOffShort
                                    : kind == 1
                                      ? ServerAction::BreakOffLongEarly
                                      : ServerAction::Respond);
  }

  for (const auto* owner : { "me", "other" }) {
    GIVEN(std::string("the owner ") + owner)
    {
      fixture.Configure(owner);
      std::map<std::string, std::map<unsigned, int>> statuses;
      for (int count = 0; count < kRequests; ++count) {
        for (const auto* path : { "/look/1", "/book/1" }) {
          auto response = fixture.TryPost(path);
          ++statuses[path][response ? response->result_int() : 0];
        }
      }
      THEN("at most 2% are refused, and most lookups are answered")
      {
        CHECK(statuses["/look/1"][503] + statuses["/book/1"][503] <=
              2 * kRequests / 50);
        CHECK(statuses["/look/1"][200] >= kRequests * 9 / 10);
        CHECK(statuses["/book/1"][200] >= kRequests * 6 / 10);
      }
      THEN("no connection breaks off, and retries stay within the budget")
      {
        CHECK(statuses["/look/1"][0] + statuses["/book/1"][0] == 0);
        constexpr double kRetryRatio = 0.9;
        CHECK(fixture.serverRequests.size() <=
              static_cast<size_t>(2 * kRequests * (1 + kRetryRatio)));
      }
    }
  }
}

namespace {

/** A server that reads the headers of a request and resets the connection while
 * the body is on its way. */
class ResettingServer
{
public:
  explicit ResettingServer(int aConnections)
    : thread([this, aConnections] {
      for (int count = 0; count < aConnections; ++count) {
        this->Reset();
      }
    })
  {
  }

  ~ResettingServer() { this->thread.join(); }

  std::string Address() const
  {
    return ToString(this->acceptor.local_endpoint());
  }

private:
  /** Resets one connection. */
  void Reset()
  {
    auto connection = this->acceptor.accept();
    std::string received;
    asio::read_until(connection, asio::dynamic_buffer(received), "\r\n\r\n");
    connection.set_option(asio::socket_base::linger(true, 0));
    connection.close();
  }

  asio::io_context context;
  Tcp::acceptor acceptor{ this->context, Loopback(0) };
  std::thread thread;
};

} // namespace

// A server may begin to run a request before it has read all of a long body.
SCENARIO("A request of which a part reached the server may have run", "[path]")
{
  // The reset is seen while writing or while reading, whichever comes first.
  constexpr int kRequests = 10;
  ResettingServer server(kRequests);
  RequestPathFixture fixture(server.Address());
  constexpr size_t kBodyBytes = 16 * 1024 * 1024; ///< More than sockets take.
  fixture.configuration->limits.maxBodyBytes = kBodyBytes;
  fixture.configuration->routes["book"].timeout = seconds(4);
  fixture.Configure();
  for (int count = 0; count < kRequests; ++count) {
    auto response = fixture.TryPost("/book/1", std::string(kBodyBytes, 'x'));
    REQUIRE(response);
    CHECK(response->result_int() == 502);
  }
}

namespace {

/** A ScriptedPeer that runs in a thread of its own. */
class ScriptedServer
{
public:
  explicit ScriptedServer(std::vector<std::string> aResponses)
    : peer(context, std::move(aResponses))
    , address(ToString(peer.Address()))
    , thread([this] { this->context.run(); })
  {
  }

  ~ScriptedServer()
  {
    this->context.stop();
    this->thread.join();
  }

  std::string Address() const { return this->address; }

private:
  asio::io_context context{ 1 };
  ScriptedPeer peer;
  std::string address;
  std::thread thread;
};

} // namespace

// Guards against malformed responses that are passed on, or that cost more than
// the request that they belong to.
SCENARIO("A malformed response of the server fails its request alone",
         "[path][malformed]")
{
  const std::string kId = std::string(headers::kRequestId) + ": r1\r\n";
  const std::string kSigned = std::string(headers::kSignature) + ": s\r\n";
  const std::string kBody = "Content-Length: 6\r\n\r\nanswer";
  const std::string kHead = "HTTP/1.1 200 OK\r\n" + kId + kSigned;
  const std::string kSound = kHead + kBody;

  const std::vector<std::string> kMalformed{
    "HTTP/1.1 000 Some" + kSound.substr(kSound.find("\r\n")),
    kHead + " folded\r\n" + kBody,
    kHead + "X A: b\r\n" + kBody,
    kHead + "Transfer-Encoding: xchunked\r\n" + kBody,
  };

  for (const auto& malformed : kMalformed) {
    for (const char* path : { "/look/1", "/book/1" }) {
      GIVEN(std::string(path) + ", " + malformed)
      {
        ScriptedServer server({ kSound, malformed, kSound, kSound });
        RequestPathFixture fixture(server.Address());
        fixture.Configure();
        auto before = fixture.TryPost(path);
        auto response = fixture.TryPost(path);
        auto after = fixture.TryPost(path);
        REQUIRE(before);
        REQUIRE(response);
        REQUIRE(after);
        if (path == std::string("/look/1")) {
          THEN("it is sent once more, since it may run twice")
          {
            CHECK(response->result_int() == 200);
            CHECK(response->body() == "answer");
            CHECK((*response)[headers::kSignature] == "s");
          }
        } else {
          THEN("its client is told that it may have run")
          {
            CHECK(response->result_int() == 502);
            CHECK((*response)[headers::kSignature].empty());
          }
        }
        THEN("other requests are answered")
        {
          CHECK(before->result_int() == 200);
          CHECK(after->result_int() == 200);
          CHECK(after->body() == "answer");
        }
        THEN("it is counted")
        {
          CHECK(fixture.counters.FormatText().find(
                  "fescuetiller_unexpected_data_total{sender=\"server\","
                  "kind=\"malformed\",accepted=\"no\"} 1") !=
                std::string::npos);
        }
      }
    }
  }
}

// Whatever listens at the address of a member may be no daemon.
SCENARIO("A response without a report is not passed on", "[path][brokenoff]")
{
  RequestPathFixture fixture;
  fixture.Configure("other");

  for (const auto& [action, name] :
       { std::pair(ServerAction::Respond, "a short response"),
         std::pair(ServerAction::BreakOffLong, "a long response") }) {
    GIVEN(name)
    {
      fixture.serverActions = { action };
      THEN("the client is told that the request may have run")
      {
        auto response = fixture.TryPost("/book/1");
        REQUIRE(response);
        CHECK(response->result_int() == 502);
      }
    }
  }
}

// Guards against requests that wait for all those that their client sent before
// over the same connection.
SCENARIO("Lookups that a client sends before the first response run together",
         "[path][pipeline]")
{
  RequestPathFixture fixture;
  fixture.Configure();
  fixture.serverActions = { ServerAction::Hang,
                            ServerAction::Hang,
                            ServerAction::Hang };
  Tcp::socket client(fixture.context);
  client.connect(fixture.clientAddress);
  auto send = [&](const std::string& aVerb, const std::string& aPath) {
    auto text = aVerb + " " + aPath +
                " HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n" +
                headers::kRequestId + ": r" + aPath + "\r\n" + headers::kKey +
                ": 7\r\n\r\n";
    asio::write(client, asio::buffer(text));
  };

  GIVEN("two lookups and a booking")
  {
    send("GET", "/look/1");
    send("GET", "/look/2");
    send("POST", "/book/3");
    fixture.context.run_for(milliseconds(50));
    THEN("the lookups run at the same time, the booking after them")
    {
      REQUIRE(fixture.serverRequests.size() == 2);
      CHECK(fixture.serverRequests[0].target() == "/look/1");
      CHECK(fixture.serverRequests[1].target() == "/look/2");
    }
  }
  GIVEN("two bookings")
  {
    send("POST", "/book/1");
    send("POST", "/book/2");
    fixture.context.run_for(milliseconds(50));
    THEN("they run one after the other")
    {
      CHECK(fixture.serverRequests.size() == 1);
    }
  }
}

namespace {

/** Three requests over one connection, of which the first one has no response
 * yet. Their key is owned by the daemon itself or by another one. */
struct WaitingResponseFixture : RequestPathFixture
{
  MemberId owner = GENERATE(as<MemberId>(), "me", "other");
  std::unique_ptr<PipeliningClient> client;

  WaitingResponseFixture()
  {
    if (this->owner == "other") {
      this->daemonFields[kExecutionReportField] = Encode(ExecutionReport());
    }
    this->Configure(this->owner);
    this->client = std::make_unique<PipeliningClient>(*this);
  }

  /** @param aSecond How the server handles the second request. */
  void SendThree(ServerAction aSecond, Duration aTimeoutOfLast)
  {
    this->serverActions = { ServerAction::Hang, aSecond };
    this->client->Get("/look/1");
    this->context.run_for(milliseconds(30));
    this->configuration = std::make_shared<Configuration>(*this->configuration);
    this->configuration->routes["look"].timeout = aTimeoutOfLast;
    this->Configure(this->owner);
    this->client->Get("/look/2");
    this->context.run_for(milliseconds(30));
    this->client->Get("/look/3");
    this->context.run_for(milliseconds(200));
    REQUIRE(this->pendingExchanges.size() == 1);
    CHECK(this->client->Responses().empty());
  }

  /** Responds to the first request. @return What the client gets. */
  std::vector<std::string> RespondToFirst()
  {
    this->pendingExchanges[0]->Respond(this->MakeResponse("r/look/1"));
    this->client->ReadUntilClosed(milliseconds(200));
    return this->client->Responses();
  }
};

} // namespace

// Guards against the loss of finished responses: a client that gets none to its
// first request closes the connection at its own limit.
SCENARIO("A client gets all responses before its own limit", "[path][pipeline]")
{
  constexpr milliseconds kLimit(400); // Less than the timeout of the route.
  WaitingResponseFixture fixture;
  fixture.serverActions = { ServerAction::Hang };
  fixture.client->Get("/look/1", kLimit);
  fixture.client->Get("/look/2", kLimit);
  fixture.client->ReadAfter(kLimit);
  CHECK(fixture.client->Responses() ==
        std::vector<std::string>{ "504 r/look/1", "200 r/look/2" });
}

// Guards against 504 for a request of which another daemon states at its
// deadline that it has not run.
SCENARIO("Another daemon can respond at its deadline", "[path]")
{
  constexpr milliseconds kLimit(400);
  constexpr milliseconds kReserve(30); // For the response to the client.
  constexpr milliseconds kOneWay(8);
  RequestPathFixture fixture;
  fixture.Configure("other");
  fixture.serverActions = { ServerAction::Hang };
  PipeliningClient client(fixture);
  client.Get("/book/1", kLimit);
  fixture.context.run_for(milliseconds(50));
  REQUIRE(fixture.pendingExchanges.size() == 1);
  auto dispatch = TakeDispatch(fixture.pendingExchanges[0]->request, "agenda");
  REQUIRE(dispatch);
  CHECK(dispatch->untilDeadline + 2 * kOneWay < kLimit - kReserve);
}

// Guards against responses that end midway although their clients still wait
// for the rest.
SCENARIO("A response that has begun may last until its client leaves", "[path]")
{
  constexpr milliseconds kLimit(400);
  WaitingResponseFixture fixture;
  fixture.serverActions = { ServerAction::StopInBody };
  bool passed = false;
  bool open = true;
  asio::steady_timer limit(fixture.context, kLimit);
  limit.async_wait([&](boost::system::error_code) {
    open = open && fixture.client->Read();
    passed = true;
  });
  fixture.client->Get("/look/1", kLimit);
  while (!passed) {
    fixture.context.run_for(milliseconds(2));
    open = open && fixture.client->Read();
  }
  CHECK(open);
}

// Guards against responses that come after their client has left: its wait was
// counted from when the request was parsed, behind another one.
SCENARIO("A client waits for a request behind a booking", "[path][pipeline]")
{
  constexpr milliseconds kLimit(500);
  WaitingResponseFixture fixture;
  fixture.serverActions = { ServerAction::Hang, ServerAction::Hang };
  fixture.client->Get("/book/1");
  fixture.client->Get("/look/2", kLimit);
  asio::steady_timer booked(fixture.context, kLimit / 2);
  booked.async_wait([&](boost::system::error_code) {
    fixture.pendingExchanges[0]->Respond(fixture.MakeResponse("r/book/1"));
  });
  fixture.client->ReadAfter(kLimit);
  CHECK(fixture.client->Responses() ==
        std::vector<std::string>{ "200 r/book/1", "504 r/look/2" });
}

// Guards against the loss of finished responses: one that waited for its turn
// was held to the time limit of its call, and closed the connection.
SCENARIO("A response waits for its turn longer than its own time limit",
         "[path][pipeline]")
{
  WaitingResponseFixture fixture;

  GIVEN("a short response of unknown length")
  {
    fixture.SendThree(ServerAction::RespondInChunks, milliseconds(100));
    CHECK(fixture.RespondToFirst() ==
          std::vector<std::string>{
            "200 r/look/1", "200 r/look/2", "200 r/look/3" });
  }
  GIVEN("a response that is too long to be kept")
  {
    fixture.SendThree(ServerAction::RespondLong, milliseconds(100));
    THEN("only the request that it belongs to fails")
    {
      CHECK(fixture.RespondToFirst() ==
            std::vector<std::string>{
              "200 r/look/1", "504 r/look/2", "200 r/look/3" });
    }
  }
}

// Guards against the loss of finished responses behind one that broke off
// before anything of it was written.
SCENARIO("A response breaks off while it waits for its turn",
         "[path][pipeline]")
{
  WaitingResponseFixture fixture;
  fixture.SendThree(ServerAction::BreakOffBehindPart, milliseconds(600));
  THEN("that of another attempt takes its place")
  {
    CHECK(fixture.RespondToFirst() ==
          std::vector<std::string>{
            "200 r/look/1", "200 r/look/2", "200 r/look/3" });
    CHECK(fixture.serverRequests.size() == 4);
  }
}

// Guards against the parts of two responses in one: the beginning of a response
// that broke off was written when its turn came, although another attempt had
// been started.
SCENARIO("The turn of a response comes while its request is sent again",
         "[path][pipeline]")
{
  WaitingResponseFixture fixture;
  fixture.serverActions = { ServerAction::Hang,
                            ServerAction::BreakOffBehindPart,
                            ServerAction::Hang };
  fixture.client->Get("/look/1");
  fixture.context.run_for(milliseconds(30));
  fixture.client->Get("/look/2");
  fixture.context.run_for(milliseconds(200));
  REQUIRE(fixture.pendingExchanges.size() == 2);

  CHECK(fixture.RespondToFirst() == std::vector<std::string>{ "200 r/look/1" });
  WHEN("the other attempt gets a response")
  {
    fixture.pendingExchanges[1]->Respond(fixture.MakeResponse("r/look/2"));
    fixture.client->ReadUntilClosed(milliseconds(100));
    CHECK(fixture.client->Responses() ==
          std::vector<std::string>{ "200 r/look/1", "200 r/look/2" });
    CHECK_FALSE(fixture.client->HasBrokenResponse());
  }
  WHEN("the other attempt gets no response")
  {
    fixture.client->ReadUntilClosed(milliseconds(600));
    CHECK(fixture.client->Responses() ==
          std::vector<std::string>{ "200 r/look/1", "504 r/look/2" });
  }
}

SCENARIO("A request that the server never answers times out", "[path]")
{
  RequestPathFixture fixture;
  fixture.Configure();
  fixture.serverActions = { ServerAction::Hang };
  auto started = BootClock::now();
  auto response = fixture.Post("/book/1");

  CHECK(response.result_int() == 504);
  CHECK(BootClock::now() - started >= milliseconds(450));
  fixture.context.run_for(milliseconds(30));
  CHECK(fixture.requestAborted);
}

// Guards against servers that are told more time than is left, and responses
// that come after the client's time limit, by requests that waited behind
// others of their connection.
SCENARIO("The time that a request waits behind others is lost to its deadline",
         "[path][pipeline]")
{
  RequestPathFixture fixture;
  fixture.Configure();
  fixture.serverActions = { ServerAction::Hang };
  Tcp::socket client(fixture.context);
  client.connect(fixture.clientAddress);
  for (const std::string path : { "/book/1", "/book/2" }) {
    std::string request = "POST ";
    request.append(path).append(" HTTP/1.1\r\nHost: a.example\r\n");
    request.append("X-Request-Id: r").append(path).append("\r\n");
    request += "X-Timeout-Ms: 500\r\nX-Shard-Key: 7\r\n"
               "Content-Length: 0\r\n\r\n";
    asio::write(client, asio::buffer(request));
  }
  fixture.context.run_for(milliseconds(30));
  REQUIRE(fixture.pendingExchanges.size() == 1);
  auto arrivedUntil = BootClock::now();
  fixture.context.run_for(milliseconds(200));
  fixture.pendingExchanges[0]->Respond(fixture.MakeResponse("r/book/1"));
  auto waited = BootClock::now() - arrivedUntil;
  fixture.context.run_for(milliseconds(50));
  REQUIRE(fixture.serverRequests.size() == 2);
  auto stated =
    std::stoi(std::string(fixture.serverRequests[1][headers::kTimeLeft]));
  CHECK(milliseconds(stated) <= milliseconds(500) - waited);
}

SCENARIO("A request that cannot be served is refused at once", "[path]")
{
  RequestPathFixture fixture;

  GIVEN("no configuration")
  {
    CHECK(fixture.Post("/look/1").result_int() == 503);
  }
  GIVEN("no route")
  {
    fixture.Configure();
    CHECK(fixture.Post("/other/1").result_int() == 404);
    CHECK(fixture.Post("/look/1", "7", "b.example").result_int() == 404);
  }
  GIVEN("a malformed key")
  {
    fixture.Configure();
    CHECK(fixture.Post("/look/1", "many").result_int() == 400);
    CHECK(fixture.Post("/look/1", "70000").result_int() == 400);
  }
  GIVEN("keys of a member that is not in the view")
  {
    fixture.Configure("gone");
    auto response = fixture.Post("/look/1");
    CHECK(response.result_int() == 503);
    CHECK_FALSE(response[http::field::retry_after].empty());
  }
  GIVEN("a server that is down")
  {
    fixture.serving.available = false;
    fixture.Configure();
    CHECK(fixture.Post("/look/1").result_int() == 503);
  }
  GIVEN("a server whose drain time is over")
  {
    fixture.serving.draining = true;
    fixture.serving.sendUntil = BootClock::now();
    fixture.Configure();
    CHECK(fixture.Post("/look/1").result_int() == 503);
  }
  GIVEN("keys whose grant has expired, and no lease for a new one")
  {
    fixture.serving.ranges = { { { 0, 999 }, Time() } };
    fixture.serving.leaseUntil = Time();
    fixture.Configure();
    CHECK(fixture.Post("/look/1").result_int() == 503);
  }
  CHECK(fixture.serverRequests.empty());
}

// Guards against a server in need that gets as many requests as before although
// it states in its responses how many it accepts.
SCENARIO("A server gets no more requests than the limit that it states",
         "[path][limit]")
{
  RequestPathFixture fixture;
  fixture.Configure();
  constexpr double kLimit = 2;
  fixture.statedLimit = std::to_string(kLimit);
  REQUIRE(fixture.Post("/look/1").result_int() == 200);

  WHEN("clients send as many requests as they can")
  {
    auto started = BootClock::now();
    size_t refused = 0;
    bool saysWhenToRetry = true;
    while (BootClock::now() - started < seconds(2)) {
      auto response = fixture.Post(refused % 2 == 0 ? "/look/1" : "/book/1");
      if (response.result_int() != 200) {
        ++refused;
        saysWhenToRetry = saysWhenToRetry && response.result_int() == 503 &&
                          !response[http::field::retry_after].empty();
      }
    }
    double elapsed =
      std::chrono::duration<double>(BootClock::now() - started).count();
    auto sent = static_cast<double>(fixture.serverRequests.size() - 1);
    THEN("the server gets what it accepts, and the others are refused")
    {
      CHECK(sent <= kLimit * elapsed * 1.5 + 5);
      CHECK(sent >= kLimit / 2);
      CHECK(refused > 0);
      CHECK(saysWhenToRetry);
    }
    AND_WHEN("the server states no limit any more")
    {
      fixture.statedLimit.clear();
      auto before = fixture.serverRequests.size();
      auto waitUntil = BootClock::now() + seconds(20);
      while (fixture.serverRequests.size() < before + 200 &&
             BootClock::now() < waitUntil) {
        fixture.Post("/look/1");
      }
      THEN("it gets all requests again")
      {
        CHECK(fixture.serverRequests.size() >= before + 200);
      }
    }
  }
}

// Guards against a server that announced its shutdown in a response, at a time
// when it could announce it in no other way, and got requests until it exited.
SCENARIO("A server that announces its shutdown in a response gets no requests "
         "after its drain time",
         "[path][leaving]")
{
  RequestPathFixture fixture;
  fixture.serving.drainTime = milliseconds(150);
  fixture.Configure();
  std::vector<std::string> announced;
  fixture.node->onServerLeaving = [&](const ServerIncarnation& aServer, Time) {
    announced.push_back(aServer.id);
  };
  fixture.statesLeaving = true;
  REQUIRE(fixture.Post("/look/1").result_int() == 200);
  auto leavingSince = BootClock::now();

  THEN("the ownership agent is told once, so that its keys move")
  {
    fixture.Post("/look/1");
    CHECK(announced == std::vector<std::string>{ "i-1" });
  }
  WHEN("the drain time is over")
  {
    while (BootClock::now() < leavingSince + fixture.serving.drainTime) {
      fixture.context.run_for(milliseconds(10));
    }
    auto before = fixture.serverRequests.size();
    THEN("its requests are refused")
    {
      CHECK(fixture.Post("/look/1").result_int() == 503);
      CHECK(fixture.serverRequests.size() == before);
    }
    THEN("the next incarnation gets requests, also under the same id")
    {
      fixture.statesLeaving = false;
      fixture.serving.server.startedAt = 1;
      fixture.Configure();
      CHECK(fixture.Post("/look/1").result_int() == 200);
      CHECK(fixture.serverRequests.size() == before + 1);
    }
  }
}

// Guards against a server that had announced its shutdown or a request limit,
// and was sent requests as if it had not after its daemon was restarted.
SCENARIO("A restarted daemon learns from others what its server announced",
         "[path][leaving][limit]")
{
  RequestPathFixture fixture;
  fixture.Configure();

  GIVEN("a server that announced its shutdown longer ago than its drain time")
  {
    auto response = fixture.PostAsDaemon("i-1 0 - 5000");
    THEN("it gets no request, and the response says so to other daemons")
    {
      CHECK(response.result_int() == 503);
      CHECK(fixture.serverRequests.empty());
      auto notice =
        DecodeServerNotice(std::string(response[kServerNoticeField]));
      REQUIRE(notice);
      CHECK(notice->leavingFor >= milliseconds(5000));
    }
  }
  GIVEN("a server that stated a limit of a request in ten seconds")
  {
    THEN("it gets none before the first is due")
    {
      CHECK(fixture.PostAsDaemon("i-1 0 0.1 -").result_int() == 503);
      CHECK(fixture.serverRequests.empty());
    }
    THEN("what the server itself states counts from its first response on")
    {
      CHECK(fixture.PostAsDaemon("").result_int() == 200);
      CHECK(fixture.PostAsDaemon("i-1 0 0.1 -").result_int() == 200);
    }
  }
  GIVEN("announcements of an earlier incarnation, or ones that cannot be read")
  {
    for (const auto* notice :
         { "i-0 0 0.1 5000", "i-1 7 0.1 5000", "i-1 0 0.1 -5", "i-1", "x" }) {
      CHECK(fixture.PostAsDaemon(notice).result_int() == 200);
    }
  }
}

// Guards against clients that repeat at once and so take the places of those
// that wait as they were told.
SCENARIO("A retry is refused without being sent until its time has come",
         "[path][clientretries]")
{
  RequestPathFixture fixture;
  fixture.RefuseAsOther(milliseconds(300));
  auto deadline = BootClock::now() + seconds(3);
  REQUIRE(fixture.PostUntil("r1", deadline).result_int() == 503);
  REQUIRE(fixture.serverRequests.size() == 1);

  GIVEN("the client, which repeats the request at once")
  {
    // The time left is stated in ms, so a retry is only recognized for certain
    // when a few of them have passed since the first attempt.
    fixture.context.run_for(milliseconds(10));
    auto response = fixture.PostUntil("r2", deadline);
    CHECK(response.result_int() == 503);
    CHECK(response.body() == "early-retry\n");
    CHECK(response.find(headers::kRetryAfter) != response.end());
    CHECK(fixture.serverRequests.size() == 1);
    AND_WHEN("it waits for that time")
    {
      fixture.context.run_for(milliseconds(310));
      fixture.PostUntil("r3", deadline);
      THEN("the request is sent, and still counts from the first attempt")
      {
        REQUIRE(fixture.serverRequests.size() == 2);
        auto dispatch = DecodeDispatch(
          std::string(fixture.serverRequests[1][kDispatchField]));
        REQUIRE(dispatch);
        CHECK(dispatch->sinceFirstAttempt >= milliseconds(300));
      }
    }
  }
  GIVEN("another client that requests the same")
  {
    fixture.PostUntil("r4", deadline + milliseconds(500));
    CHECK(fixture.serverRequests.size() == 2);
  }
  GIVEN("another client that requests the same shortly afterwards")
  {
    fixture.context.run_for(milliseconds(20));
    fixture.PostUntil("r5", deadline + milliseconds(20));
    CHECK(fixture.serverRequests.size() == 2);
  }
  GIVEN("another client that requests the same for another key")
  {
    fixture.context.run_for(milliseconds(20));
    fixture.PostUntil("r6", deadline, "8");
    CHECK(fixture.serverRequests.size() == 2);
  }
}

SCENARIO("A client that may not wait for as long as it was told is not early",
         "[path][clientretries]")
{
  RequestPathFixture fixture;
  fixture.RefuseAsOther(seconds(5));
  auto deadline = BootClock::now() + milliseconds(600);
  REQUIRE(fixture.PostUntil("r1", deadline).result_int() == 503);
  // A third of the time that it had left.
  fixture.context.run_for(milliseconds(200));
  fixture.PostUntil("r2", deadline);
  CHECK(fixture.serverRequests.size() == 2);
}

// Guards against requests that cross the network to an owner that refuses
// nearly all of them.
SCENARIO(
  "Requests that the owner of a key does not want to be sent are refused "
  "by the daemon of the client",
  "[path][sendshare]")
{
  RequestPathFixture fixture;
  fixture.RefuseAsOther(milliseconds(120), 0.001);
  fixture.Post("/look/1");
  REQUIRE(fixture.serverRequests.size() == 1);

  THEN("further ones are refused as not run, with the owner's retry delay")
  {
    for (const auto* path : { "/look/2", "/look/3", "/look/4" }) {
      auto response = fixture.Post(path);
      CHECK(response.result_int() == 503);
      CHECK(response.body() == "owner-overloaded\n");
      CHECK(response[headers::kRetryAfter] == "0.120");
    }
    CHECK(fixture.serverRequests.size() == 1);
  }
  THEN("those of other classes are sent")
  {
    fixture.Post("/book/1");
    CHECK(fixture.serverRequests.size() == 2);
  }
  AND_WHEN("the owner has said nothing for a while")
  {
    fixture.context.run_for(milliseconds(1600));
    THEN("requests are sent again")
    {
      fixture.Post("/look/2");
      CHECK(fixture.serverRequests.size() == 2);
    }
  }
}

SCENARIO("A daemon tells another one what that one's server announced",
         "[path][leaving][limit]")
{
  RequestPathFixture fixture;
  fixture.Configure("other");
  const std::string kNotice = "i-9 7 12.5 300";
  fixture.daemonFields = { { kExecutionReportField, Encode(ExecutionReport()) },
                           { kServerNoticeField, kNotice } };
  auto response = fixture.Post("/look/1");
  REQUIRE(response.result_int() == 200);
  REQUIRE(fixture.serverRequests.size() == 1);

  THEN("clients do not get it, and cannot set it")
  {
    CHECK(response.find(kServerNoticeField) == response.end());
    CHECK(fixture.serverRequests[0].find(kServerNoticeField) ==
          fixture.serverRequests[0].end());
  }
  THEN("the next request to that daemon carries it")
  {
    fixture.Post("/look/1");
    REQUIRE(fixture.serverRequests.size() == 2);
    auto told = DecodeServerNotice(
      std::string(fixture.serverRequests[1][kServerNoticeField]));
    REQUIRE(told);
    CHECK(told->server == ServerIncarnation{ "i-9", 7 });
    CHECK(told->requestLimit == 12.5);
    CHECK(told->leavingFor >= milliseconds(300));
  }
}

SCENARIO("A stopping daemon closes its connections once it is idle", "[path]")
{
  // Guards against a process that is found idle, accepts one more request and
  // then exits while its server is running that request. Seen on a larger
  // deployment.
  RequestPathFixture fixture;
  fixture.Configure();
  const std::string kRequest =
    "GET /look/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n"
    "X-Timeout-Ms: 300\r\nX-Shard-Key: 7\r\n\r\n";
  constexpr size_t kHalf = 40;
  Tcp::socket running(fixture.context);
  Tcp::socket reading(fixture.context);
  running.connect(fixture.clientAddress);
  reading.connect(fixture.clientAddress);
  fixture.serverActions = { ServerAction::Hang };
  asio::write(running, asio::buffer(kRequest));
  asio::write(reading, asio::buffer(kRequest, kHalf));
  fixture.context.run_for(milliseconds(30));
  fixture.node->StopAccepting(Time::max());

  WHEN("a request is still in progress")
  {
    THEN("the connections stay open")
    {
      CHECK_FALSE(fixture.node->CloseIfIdle());
    }
  }
  WHEN("it has been answered, and another request has arrived in part")
  {
    fixture.context.restart();
    fixture.context.run_for(milliseconds(500));
    REQUIRE(fixture.serverRequests.size() == 1);
    THEN("the other request does not run when the rest of it is sent")
    {
      CHECK(fixture.node->CloseIfIdle());
      boost::system::error_code ignored; // The connection may be closed.
      asio::write(reading, asio::buffer(kRequest.substr(kHalf)), ignored);
      fixture.context.restart();
      fixture.context.run_for(milliseconds(30));
      CHECK(fixture.serverRequests.size() == 1);
    }
  }
}

// Guards against a request that is cut: its client had sent it before the stop,
// but not all of it had arrived.
SCENARIO(
  "A stopping daemon reads the rest of a request that has arrived in part",
  "[path][stop]")
{
  RequestPathFixture fixture;
  fixture.Configure();
  const std::string kRequest =
    "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n"
    "X-Timeout-Ms: 3000\r\nX-Shard-Key: 7\r\nContent-Length: 4\r\n\r\nbody";
  const auto kFirst = kRequest.size() - 2;
  Tcp::socket client(fixture.context);
  client.connect(fixture.clientAddress);
  asio::write(client, asio::buffer(kRequest, kFirst));
  fixture.context.run_for(milliseconds(30));
  fixture.node->AnnounceClose();
  fixture.node->StopAccepting(Time::max());
  CHECK_FALSE(fixture.node->CloseIfIdle());

  boost::system::error_code error;
  asio::write(client, asio::buffer(kRequest.substr(kFirst)), error);
  fixture.context.restart();
  fixture.context.run_for(milliseconds(50));
  boost::beast::flat_buffer buffer;
  HttpResponse response;
  http::read(client, buffer, response, error);
  REQUIRE_FALSE(error);
  CHECK(response.result_int() == 200);
  CHECK_FALSE(response.keep_alive());
  fixture.context.restart();
  fixture.context.run_for(milliseconds(50));
  CHECK(fixture.node->CloseIfIdle());
}

// Guards against requests that fail in a planned stop, since the calls that
// they make are refused while they run.
SCENARIO("A stopping daemon serves the calls of requests that its server runs",
         "[path][stop]")
{
  RequestPathFixture fixture;
  fixture.Configure();
  fixture.serverActions = { ServerAction::Hang };
  auto requestOf = [](const std::string& aId) {
    return "GET /look/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + aId +
           "\r\nX-Timeout-Ms: 2000\r\nX-Shard-Key: 7\r\n\r\n";
  };
  Tcp::socket parent(fixture.context);
  parent.connect(fixture.clientAddress);
  asio::write(parent, asio::buffer(requestOf("r1")));
  fixture.context.run_for(milliseconds(30));
  REQUIRE(fixture.pendingExchanges.size() == 1);
  fixture.node->AnnounceClose();
  fixture.node->StopAccepting(Time::max());
  CHECK_FALSE(fixture.node->CloseIfIdle());

  Tcp::socket call(fixture.context);
  boost::system::error_code error;
  call.connect(fixture.clientAddress, error);
  REQUIRE_FALSE(error);
  asio::write(call, asio::buffer(requestOf("r1.1")));
  fixture.context.run_for(milliseconds(50));
  boost::beast::flat_buffer buffer;
  HttpResponse response;
  http::read(call, buffer, response, error);
  REQUIRE_FALSE(error);
  CHECK(response.result_int() == 200);

  THEN("no connections are accepted once the request has ended")
  {
    auto answer = TextResponse(200, "answer");
    answer.set(headers::kRequestId, "r1");
    fixture.pendingExchanges[0]->Respond(answer);
    fixture.context.run_for(milliseconds(50));
    fixture.node->CloseIfIdle();
    Tcp::socket late(fixture.context);
    late.connect(fixture.clientAddress, error);
    CHECK(error == asio::error::connection_refused);
  }
}

// Guards against requests that come late in a planned stop, are passed on, and
// are cut without an answer when the process exits.
SCENARIO("A stopping daemon refuses a request that may outlast it",
         "[path][stop]")
{
  RequestPathFixture fixture;
  fixture.Configure();
  fixture.serverActions = { ServerAction::Hang };
  auto send = [&](Tcp::socket& aSocket,
                  const std::string& aId,
                  const std::string& aStart,
                  milliseconds aLimit) {
    aSocket.connect(fixture.clientAddress);
    asio::write(
      aSocket,
      asio::buffer(aStart +
                   " HTTP/1.1\r\nHost: a.example\r\n"
                   "X-Request-Id: " +
                   aId + "\r\nX-Timeout-Ms: " + std::to_string(aLimit.count()) +
                   "\r\nX-Shard-Key: 7\r\n"
                   "Content-Length: 0\r\n\r\n"));
    fixture.context.run_for(milliseconds(50));
  };
  auto statusOf = [&](Tcp::socket& aSocket) {
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    boost::system::error_code error;
    http::read(aSocket, buffer, parser, error);
    REQUIRE_FALSE(error);
    return parser.get().result_int();
  };
  Tcp::socket first(fixture.context);
  send(first, "r1", "GET /look/1", milliseconds(2000));
  REQUIRE(fixture.pendingExchanges.size() == 1);
  fixture.node->AnnounceClose();
  fixture.node->StopAccepting(BootClock::now() + milliseconds(600));
  auto sentBefore = fixture.serverRequests.size();

  for (const std::string start : { "GET /look/1", "POST /book/1" }) {
    GIVEN(start + ", whose client waits for longer than the daemon runs")
    {
      Tcp::socket late(fixture.context);
      send(late, "r2", start, milliseconds(1500));
      CHECK(statusOf(late) == 503);
      CHECK(fixture.serverRequests.size() == sentBefore);
    }
    GIVEN(start + ", whose client waits for a shorter time")
    {
      Tcp::socket late(fixture.context);
      send(late, "r2", start, milliseconds(200));
      CHECK(statusOf(late) == 200);
      CHECK(fixture.serverRequests.size() == sentBefore + 1);
    }
  }
}

// Guards against requests whose clients waited for longer than the process had
// left when a stop began: they were cut at its exit, unlike later ones, which
// are refused, and took finished responses behind them along.
SCENARIO("A daemon exits before it has responded to what it has taken",
         "[path][stop][knownred]")
{
  RequestPathFixture fixture;
  fixture.serverActions = { ServerAction::Hang };
  fixture.configuration->routes["look"].timeout = seconds(5);
  fixture.configuration->routes["look"].targetLatency = seconds(5);
  auto exitAt = BootClock::now() + milliseconds(600);
  auto stop = [&] {
    fixture.context.run_for(milliseconds(50));
    REQUIRE(fixture.pendingExchanges.size() == 1);
    fixture.node->AnnounceClose();
    fixture.node->StopAccepting(exitAt);
  };

  GIVEN("a lookup with its response behind one that has none")
  {
    fixture.Configure();
    PipeliningClient client(fixture);
    client.Get("/look/1");
    client.Get("/look/2");
    stop();
    REQUIRE(fixture.serverRequests.size() == 2);
    THEN("the client gets the response before the exit")
    {
      client.ReadUntilClosed(exitAt - BootClock::now());
      auto responses = client.Responses();
      REQUIRE(responses.size() == 2);
      CHECK(responses[1] == "200 r/look/2");
    }
  }
  GIVEN("a lookup that waits for the only slot")
  {
    fixture.serving.slots = 1;
    fixture.Configure();
    PipeliningClient running(fixture);
    PipeliningClient waiting(fixture);
    running.Get("/look/1");
    fixture.context.run_for(milliseconds(30));
    waiting.Get("/look/2");
    stop();
    REQUIRE(fixture.serverRequests.size() == 1);
    THEN("it is refused before the exit")
    {
      waiting.ReadUntilClosed(exitAt - BootClock::now());
      CHECK(waiting.Responses() == std::vector<std::string>{ "503 r/look/2" });
    }
  }
}

SCENARIO("A stopping daemon refuses a request that crosses the close of its "
         "connection",
         "[path]")
{
  // Guards against requests between daemons that are cut off in a planned stop:
  // they are on their way while the receiver closes the idle connection, and
  // the sender has to report to its caller that they may have run.
  RequestPathFixture fixture;
  fixture.Configure();
  Tcp::socket connection(fixture.context);
  connection.connect(fixture.peerAddress);
  fixture.context.run_for(milliseconds(30));
  fixture.node->StopAccepting(Time::max());
  CHECK_FALSE(fixture.node->CloseIfIdle());
  Dispatch dispatch;
  dispatch.service = "agenda";
  dispatch.requestClass = "book";
  dispatch.untilDeadline = milliseconds(500);
  asio::write(connection,
              asio::buffer("POST /book/1 HTTP/1.1\r\nX-Request-Id: r1\r\n"
                           "X-Shard-Key: 7\r\nContent-Length: 0\r\n" +
                           std::string(kDispatchField) + ": " +
                           Encode(dispatch) + "\r\n\r\n"));
  fixture.context.restart();
  fixture.context.run_for(milliseconds(50));

  THEN("the sender is told that it was not run")
  {
    boost::beast::flat_buffer buffer;
    HttpResponse response;
    boost::system::error_code error;
    http::read(connection, buffer, response, error);
    REQUIRE_FALSE(error);
    CHECK(response.result_int() == 503);
    CHECK_FALSE(response.keep_alive());
    auto report =
      DecodeExecutionReport(std::string(response[kExecutionReportField]));
    REQUIRE(report);
    CHECK(report->outcome == ExecutionOutcome::Refused);
    CHECK_FALSE(report->reachedServer);
  }
  THEN("it is not run, and the process does not wait for long")
  {
    CHECK(fixture.serverRequests.empty());
    fixture.context.restart();
    fixture.context.run_for(milliseconds(600));
    CHECK(fixture.node->CloseIfIdle());
    CHECK(fixture.serverRequests.empty());
  }
}

namespace {

/** Other daemons that send requests over new connections without a pause. */
class SteadyDaemons
{
public:
  SteadyDaemons(const Tcp::endpoint& aAddress, const std::string& aRequest)
    : address(aAddress)
    , request(aRequest)
  {
    constexpr int kThreads = 4;
    for (int count = 0; count < kThreads; ++count) {
      this->threads.emplace_back([this] { this->Run(); });
    }
  }

  ~SteadyDaemons() { this->Stop(); }

  void Stop()
  {
    this->stopped = true;
    for (auto& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
  }

  std::atomic<int> answered{ 0 }; ///< Requests with any response.
  std::atomic<int> lost{ 0 };     ///< Sent, but without a response.

private:
  void Run()
  {
    while (!this->stopped) {
      asio::io_context context;
      Tcp::socket socket(context);
      boost::system::error_code error;
      socket.connect(this->address, error);
      if (error) {
        return; // No further connection can be made.
      }
      asio::write(socket, asio::buffer(this->request), error);
      if (error) {
        continue; // The receiver did not read it.
      }
      boost::beast::flat_buffer buffer;
      HttpResponse response;
      http::read(socket, buffer, response, error);
      ++(error ? this->lost : this->answered);
    }
  }

  Tcp::endpoint address;
  std::string request;
  std::atomic<bool> stopped{ false };
  std::vector<std::thread> threads;
};

} // namespace

// Guards against requests between daemons that are reset by the exit of the
// receiver, and whose senders have to report that they may have run: their
// connections had been made, but not been accepted yet.
SCENARIO("A daemon that exits resets no connection that others have made",
         "[path][stop]")
{
  constexpr int kRounds = 5;
  int answered = 0;
  int lost = 0;
  for (int round = 0; round < kRounds; ++round) {
    auto fixture = std::make_unique<RequestPathFixture>();
    fixture->Configure();
    Dispatch dispatch;
    dispatch.service = "agenda";
    dispatch.requestClass = "book";
    dispatch.untilDeadline = milliseconds(500);
    SteadyDaemons daemons(fixture->peerAddress,
                          "POST /book/1 HTTP/1.1\r\nX-Request-Id: r1\r\n"
                          "X-Shard-Key: 7\r\nContent-Length: 0\r\n" +
                            std::string(kDispatchField) + ": " +
                            Encode(dispatch) + "\r\n\r\n");
    fixture->context.run_for(milliseconds(40));
    fixture->node->AnnounceClose();
    fixture->node->StopAccepting(Time::max());
    auto end = BootClock::now() + seconds(5);
    while (!fixture->node->CloseIfIdle() && BootClock::now() < end) {
      fixture->context.run_for(milliseconds(20));
    }
    auto run = fixture->serverRequests.size();
    for (int check = 0; check < 5; ++check) { // As NodeProcess does.
      fixture->context.run_for(milliseconds(20));
      fixture->node->CloseIfIdle();
    }
    CHECK(fixture->serverRequests.size() == run);
    fixture.reset(); // The process exits.
    daemons.Stop();
    answered += daemons.answered;
    lost += daemons.lost;
  }
  CHECK(answered > 0);
  CHECK(lost == 0);
}

SCENARIO("Responses of the router's own interface carry the outcome", "[path]")
{
  RequestPathFixture fixture;
  fixture.serving.ranges = { { { 0, kLastKey },
                               BootClock::now() + seconds(60) } };

  GIVEN("no configuration yet")
  {
    auto response = fixture.PostAsCaller("/v1/request/agenda/look?key=a");
    CHECK(response.result_int() == 503);
    CHECK(response["X-Outcome"] == "not-run");
    CHECK_FALSE(response[http::field::retry_after].empty());
  }
  GIVEN("a request that is answered")
  {
    fixture.Configure("me", kLastKey);
    auto response = fixture.PostAsCaller("/v1/request/agenda/look?key=a");
    CHECK(response["X-Outcome"] == "done");
    CHECK(response.body() == "answer");
    REQUIRE(fixture.serverRequests.size() == 1);
    CHECK(fixture.serverRequests[0].target() == "/look/");
  }
  GIVEN("a request that may have run")
  {
    fixture.Configure("me", kLastKey);
    fixture.serverActions = { ServerAction::Disconnect };
    auto response = fixture.PostAsCaller("/v1/request/agenda/book?key=a");
    CHECK(response["X-Outcome"] == "unknown");
  }
  GIVEN("requests that are refused")
  {
    fixture.Configure("gone", kLastKey);
    CHECK(fixture.PostAsCaller("/v1/request/agenda/look?key=a")["X-Outcome"] ==
          "not-run");
    auto unknown = fixture.PostAsCaller("/v1/request/agenda/other?key=a");
    CHECK(unknown.result_int() == 404);
    CHECK(unknown["X-Outcome"] == "not-run");
    CHECK(fixture.PostAsCaller("/v1/request/agenda/look").result_int() == 400);
  }
}

namespace {

/** Lets the backend server end under requests, and start again. */
struct EndingServerFixture : RequestPathFixture
{
  EndingServerFixture()
  {
    this->node->onCrashRecords = [this](CrashRecords::Records aRecords) {
      this->told.insert(this->told.end(), aRecords.begin(), aRecords.end());
    };
    this->Configure();
  }

  /** Sends a request under which the server ends.
   * @return The status of the response. */
  unsigned PostFatal(const std::string& aPath)
  {
    this->serverActions.resize(this->serverRequests.size(),
                               ServerAction::Respond);
    this->serverActions.push_back(ServerAction::Disconnect);
    this->serverActions.push_back(ServerAction::Disconnect);
    return this->Post(aPath).result_int();
  }

  /** The server has ended, and its next incarnation sends heartbeats. */
  void RestartServer()
  {
    this->serving.available = false;
    this->node->SetServing(this->serving);
    this->serving.available = true;
    this->serving.server.id = "i-" + std::to_string(++this->incarnation);
    this->node->SetServing(this->serving);
  }

  /** Sends a request, and tells whether the server got it. */
  bool Reaches(const std::string& aPath)
  {
    this->serverActions.clear();
    auto before = this->serverRequests.size();
    auto status = this->Post(aPath).result_int();
    bool reached = this->serverRequests.size() > before;
    CHECK(status == (reached ? 200 : 503));
    return reached;
  }

  CrashRecords::Records told; ///< Records for other daemons.
  int incarnation = 1;
};

} // namespace

// A request was passed on to one server after the other, each of which ended
// under it (docs/incidents/2026-12-04-fatal-requests.md).
SCENARIO("A request under which two servers ended does not reach a third one",
         "[path][crashes]")
{
  EndingServerFixture fixture;

  GIVEN("two servers that ended under it, one after the other")
  {
    CHECK(fixture.PostFatal("/book/1") == 502);
    fixture.RestartServer();
    CHECK(fixture.PostFatal("/book/1") == 502);
    fixture.RestartServer();
    THEN("it is refused as not run, with a time after which it may come back")
    {
      fixture.serverActions.clear();
      auto before = fixture.serverRequests.size();
      auto response = fixture.Post("/book/1");
      CHECK(response.result_int() == 503);
      CHECK(std::stod(std::string(response[http::field::retry_after])) > 5);
      CHECK(fixture.serverRequests.size() == before);
    }
    THEN("other requests reach the server")
    {
      CHECK(fixture.Reaches("/book/2"));
      CHECK(fixture.Reaches("/look/1"));
    }
    THEN("other daemons are told of the two ends")
    {
      REQUIRE(fixture.told.size() >= 2);
      CHECK(fixture.told.back().servers.size() == 2);
    }
  }
  GIVEN("a daemon that another one tells of it")
  {
    HttpRequest request(http::verb::post, "/book/1", 11);
    request.set(http::field::host, "a.example");
    request.body() = "body";
    CrashRecord record;
    record.fingerprint = FingerprintOf(request, "agenda");
    record.servers = { 1, 2 };
    CHECK(fixture.Reaches("/book/1"));
    fixture.node->OnCrashRecords({ record });
    THEN("it does not reach the server, and others are told once")
    {
      CHECK(fixture.told.size() == 1);
      fixture.node->OnCrashRecords({ record });
      CHECK(fixture.told.size() == 1);
      CHECK_FALSE(fixture.Reaches("/book/1"));
      CHECK(fixture.Reaches("/look/1"));
    }
    THEN("another caller's, or one with another host, is another request")
    {
      CHECK(FingerprintOf(request, "dossier") != record.fingerprint);
      request.set(http::field::host, "b.example");
      CHECK(FingerprintOf(request, "agenda") != record.fingerprint);
    }
  }
  GIVEN("a server that ended, and ran it in its next incarnation")
  {
    fixture.PostFatal("/book/1");
    fixture.RestartServer();
    CHECK(fixture.Reaches("/book/1"));
    fixture.PostFatal("/book/1");
    fixture.RestartServer();
    THEN("it reaches the server")
    {
      CHECK(fixture.Reaches("/book/1"));
    }
  }
  GIVEN("servers that only closed the connections, and live")
  {
    for (int number = 0; number < 4; ++number) {
      fixture.PostFatal("/book/1");
      CHECK(fixture.Reaches("/book/2"));
    }
    fixture.RestartServer();
    THEN("it reaches the server")
    {
      CHECK(fixture.told.empty());
      CHECK(fixture.Reaches("/book/1"));
    }
  }
  GIVEN("servers that only closed the connections, and then refuse requests")
  {
    for (int number = 0; number < 3; ++number) {
      fixture.PostFatal("/book/1");
      fixture.serverActions.resize(fixture.serverRequests.size(),
                                   ServerAction::Respond);
      fixture.serverActions.insert(
        fixture.serverActions.end(),
        fixture.configuration->routes["book"].attempts,
        ServerAction::Refuse);
      // Another request each time: the same one would be a retry that comes too
      // early, and not reach the server.
      auto before = fixture.serverRequests.size();
      auto path = "/book/" + std::to_string(2 + number);
      CHECK(fixture.Post(path).result_int() == 503);
      CHECK(fixture.serverRequests.size() > before);
      fixture.RestartServer();
    }
    THEN("it reaches the server")
    {
      CHECK(fixture.told.empty());
      CHECK(fixture.Reaches("/book/1"));
    }
  }
  GIVEN(
    "servers that only closed the connections, and then break off responses")
  {
    for (int number = 0; number < 3; ++number) {
      fixture.PostFatal("/book/1");
      fixture.serverActions.resize(fixture.serverRequests.size(),
                                   ServerAction::Respond);
      fixture.serverActions.push_back(ServerAction::BreakOffShort);
      auto response = fixture.TryPost("/book/2-" + std::to_string(number));
      REQUIRE(response);
      CHECK(response->result_int() == 502);
      fixture.RestartServer();
    }
    THEN("it reaches the server")
    {
      CHECK(fixture.Reaches("/book/1"));
    }
  }
  GIVEN("servers that had announced their shutdown before they ended")
  {
    for (int number = 0; number < 3; ++number) {
      fixture.serving.draining = true;
      fixture.node->SetServing(fixture.serving);
      fixture.PostFatal("/book/1");
      fixture.serving.draining = false;
      fixture.RestartServer();
    }
    THEN("it reaches the next one")
    {
      CHECK(fixture.Reaches("/book/1"));
    }
  }
}

// Guards against a server that gets the usual rate until its next heartbeat
// although it has become cold.
SCENARIO("A server that gets many requests is asked whether it is cold",
         "[path][cold]")
{
  RequestPathFixture fixture;
  auto& service = fixture.configuration->services["agenda"];
  service.healthPath = "/status";
  service.coldRequestsPerSecond = 4;
  fixture.serving.heardAt = BootClock::now();
  fixture.Configure();
  // Requests that an earlier process may have sent count for a second.
  fixture.context.run_for(milliseconds(1200));
  auto statusChecks = [&] {
    return std::count_if(
      fixture.serverRequests.begin(),
      fixture.serverRequests.end(),
      [](const auto& aRequest) { return aRequest.target() == "/status"; });
  };

  GIVEN("a server that states that it is cold")
  {
    fixture.daemonFields[headers::kColdTime] = "5000";
    for (int count = 0; count < 3; ++count) {
      CHECK(fixture.Post("/look/1").result_int() == 200);
    }
    fixture.context.run_for(milliseconds(50));
    // More than half of what a cold server tolerates in a second.
    REQUIRE(statusChecks() == 1);
    CHECK(fixture.serverRequests.back()[headers::kTargetServer] == "i-1");
    THEN("it gets no more in that second than it tolerates")
    {
      auto response = fixture.Post("/look/1");
      CHECK(response.result_int() == 503);
      CHECK(response.find(headers::kRetryAfter) != response.end());
      CHECK(fixture.serverRequests.size() == 4);
      AND_THEN("it gets more later, and no further status checks")
      {
        fixture.context.run_for(milliseconds(1200));
        CHECK(fixture.Post("/look/1").result_int() == 200);
        CHECK(statusChecks() == 1);
      }
    }
    THEN("the next heartbeat decides")
    {
      fixture.serving.heardAt = BootClock::now();
      fixture.node->SetServing(fixture.serving);
      CHECK(fixture.Post("/look/1").result_int() == 200);
    }
  }
  GIVEN("a server that does not respond to the check")
  {
    // Guards against a conclusion from a check that has failed.
    fixture.serverActions = { ServerAction::Respond,
                              ServerAction::Respond,
                              ServerAction::Respond,
                              ServerAction::Disconnect };
    for (int count = 0; count < 5; ++count) {
      CHECK(fixture.Post("/look/1").result_int() == 200);
    }
    CHECK(statusChecks() >= 1);
  }
  GIVEN("a service whose cold servers have no limit")
  {
    service.coldRequestsPerSecond.reset();
    fixture.Configure();
    fixture.serving.coldUntil = Time::max();
    fixture.node->SetServing(fixture.serving);
    for (int count = 0; count < 10; ++count) {
      CHECK(fixture.Post("/look/1").result_int() == 200);
    }
    CHECK(statusChecks() == 0);
  }
  GIVEN("a server that counts as cold until its next heartbeat")
  {
    fixture.serving.coldUntil = Time::max();
    fixture.node->SetServing(fixture.serving);
    CHECK(fixture.Post("/look/1").result_int() == 200);
    CHECK(fixture.Post("/look/1").result_int() == 503);
    CHECK(statusChecks() == 0);
  }
}

// Guards against a request that is sent to a server that states that it is
// full.
SCENARIO("Slots that a server states to be in use are not used",
         "[path][statedload]")
{
  RequestPathFixture fixture;
  fixture.Configure();
  fixture.daemonFields[headers::kLoad] = "4,0,4";
  CHECK(fixture.Post("/look/1").result_int() == 200);
  // Three of the four beyond the one that was sent.
  CHECK(fixture.Post("/look/1").result_int() == 200);

  WHEN("all are in use by others")
  {
    fixture.daemonFields[headers::kLoad] = "9,0,4";
    CHECK(fixture.Post("/look/1").result_int() == 200);
    auto before = BootClock::now();
    auto response = fixture.Post("/look/1");
    auto sent = fixture.serverRequests.size();
    THEN("the next request waits or is refused, for half a second at most")
    {
      CHECK((response.result_int() == 503 ||
             BootClock::now() - before > milliseconds(400)));
      fixture.context.run_for(milliseconds(550));
      CHECK(fixture.Post("/look/1").result_int() == 200);
      CHECK(fixture.serverRequests.size() == sent + 1);
    }
  }
  WHEN("a header is malformed")
  {
    for (const auto* text : { "many", "1,2", "1,2,3,0", "-1,0,4" }) {
      fixture.daemonFields[headers::kLoad] = text;
      CHECK(fixture.Post("/look/1").result_int() == 200);
    }
  }
}
