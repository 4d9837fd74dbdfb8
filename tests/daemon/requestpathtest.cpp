#include <catch2/catch.hpp>

#include "fescuetillerd/trafficnode.h"
#include "platform/headers.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** How the scripted backend server treats a request. */
enum class Act
{
  Answer,
  TurnAway, ///< 503 that says not run.
  BreakOff, ///< Closes the connection after reading the request.
  Silent,
};

/** One daemon with a scripted backend server, all in one context. */
struct Path
{
  asio::io_context context{ 1 };
  EventLog log{ "test", { 0, 0, 0 } };
  Counters counters;
  std::vector<std::shared_ptr<Exchange>> held;
  std::vector<HttpRequest> arrived;
  std::vector<Act> script;
  bool serverGone = false;
  HttpServer server{ context, [this](std::shared_ptr<Exchange> aExchange) {
                      this->Serve(std::move(aExchange));
                    } };
  std::unique_ptr<TrafficNode> node;
  ConnectionPool pool{ context };
  ServingState serving;
  std::shared_ptr<Configuration> configuration =
    std::make_shared<Configuration>();

  Tcp::endpoint clientAddress;
  Tcp::endpoint callerAddress;

  Path()
  {
    REQUIRE(this->server.Listen(Loopback(0)));
    NodeSettings settings;
    settings.service = "agenda";
    settings.zone = "a";
    settings.server = ToString(this->server.Address());
    settings.clientAddress = FreeAddress();
    settings.peerAddress = FreeAddress();
    settings.callerAddress = FreeAddress();
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
    this->serving.serverId = "i-1";
    this->serving.slots = 4;
    this->serving.usable = true;
    this->serving.ownsKeys = true;
    this->serving.ranges = { { { 0, 999 }, BootClock::now() + seconds(60) } };
    this->serving.leaseUntil = BootClock::now() + seconds(60);
    this->serving.nextHeartbeat = BootClock::now() + seconds(60);
  }

  /** Gives the daemon its configuration, view and server. */
  void Begin(const MemberId& aOwner = "me", Key aLast = 999)
  {
    ClusterView view;
    for (auto row :
         { ToRow(MemberRecord{
             "me", "agenda", "a", "127.0.0.1:1", "", MemberState::Ready, {} }),
           ToRow(RangeRecord{ "agenda", { 0, aLast }, aOwner, 1, "" }) }) {
      row.version = 1;
      view.Apply(row);
    }
    this->node->SetConfiguration(this->configuration);
    this->node->SetView(std::make_shared<ClusterView>(view), "me");
    this->node->SetServing(this->serving);
  }

  HttpResponse Ask(const std::string& aPath,
                   const std::string& aKey = "7",
                   const std::string& aHost = "a.example")
  {
    HttpRequest request(http::verb::post, aPath, 11);
    request.set(http::field::host, aHost);
    request.set(headers::kRequestId, "r1");
    request.set(headers::kTimeLeft, "500");
    request.set(headers::kKey, aKey);
    request.body() = "body";
    return this->Send(this->clientAddress, std::move(request));
  }

  /** Asks by the router's own interface. */
  HttpResponse AskAsCaller(const std::string& aPath)
  {
    HttpRequest request(http::verb::post, aPath, 11);
    request.set(headers::kRequestId, "r1");
    return this->Send(this->callerAddress, std::move(request));
  }

private:
  HttpResponse Send(const Tcp::endpoint& aAddress, HttpRequest aRequest)
  {
    aRequest.prepare_payload();
    std::optional<Result<HttpResponse>> answer;
    Fetch(this->pool,
          aAddress,
          std::move(aRequest),
          CallOptions(),
          [&](Result<HttpResponse> aAnswer) { answer = std::move(aAnswer); });
    auto end = std::chrono::steady_clock::now() + seconds(5);
    while (!answer && std::chrono::steady_clock::now() < end) {
      this->context.run_for(milliseconds(2));
    }
    REQUIRE(answer);
    REQUIRE(*answer);
    return **answer;
  }

  static Tcp::endpoint Loopback(uint16_t aPort)
  {
    return { asio::ip::address_v4::loopback(), aPort };
  }

  std::string FreeAddress()
  {
    Tcp::acceptor free(this->context, Loopback(0));
    return ToString(free.local_endpoint());
  }

  void Serve(std::shared_ptr<Exchange> aExchange)
  {
    auto act = this->arrived.size() < this->script.size()
                 ? this->script[this->arrived.size()]
                 : Act::Answer;
    this->arrived.push_back(aExchange->request);
    auto id = std::string(aExchange->request[headers::kRequestId]);
    switch (act) {
      case Act::Answer: {
        auto answer = TextResponse(200, "answer");
        answer.set(headers::kRequestId, id);
        answer.set(headers::kSignature, "signed");
        aExchange->Respond(answer);
        break;
      }
      case Act::TurnAway: {
        auto answer = TextResponse(503, "");
        answer.set(headers::kRequestId, id);
        answer.set(headers::kNotExecuted, "1");
        aExchange->Respond(answer);
        break;
      }
      case Act::BreakOff:
        aExchange->Abort();
        break;
      case Act::Silent:
        aExchange->onGone = [this] { this->serverGone = true; };
        this->held.push_back(std::move(aExchange));
        break;
    }
  }
};

} // namespace

SCENARIO("A request reaches its backend server and its answer the client",
         "[path]")
{
  Path path;
  path.Begin();
  auto answer = path.Ask("/look/1?x=2");

  CHECK(answer.result_int() == 200);
  CHECK(answer.body() == "answer");
  CHECK(answer[headers::kSignature] == "signed");
  CHECK(answer.find(kExecutionReportField) == answer.end());
  REQUIRE(path.arrived.size() == 1);
  const auto& request = path.arrived[0];
  CHECK(request.target() == "/look/1?x=2");
  CHECK(request.body() == "body");
  CHECK(request[headers::kTargetServer] == "i-1");
  CHECK(request[headers::kCallerService] == "agenda");
  CHECK(std::stoi(std::string(request[headers::kTimeLeft])) <= 500);
  CHECK(request.find(kDispatchField) == request.end());
}

SCENARIO("A request that a server turned away is sent once more", "[path]")
{
  Path path;
  path.Begin();

  GIVEN("a server that takes the second attempt")
  {
    path.script = { Act::TurnAway, Act::Answer };
    THEN("the client gets its answer, whether or not it may run twice")
    {
      CHECK(path.Ask("/book/1").result_int() == 200);
      CHECK(path.arrived.size() == 2);
    }
  }
  GIVEN("a server that turns every attempt away")
  {
    path.script = { Act::TurnAway, Act::TurnAway, Act::TurnAway };
    auto answer = path.Ask("/look/1");
    THEN("the client is told that it has not run, and when to come back")
    {
      CHECK(answer.result_int() == 503);
      CHECK_FALSE(answer[http::field::retry_after].empty());
      CHECK(path.arrived.size() == 2);
    }
  }
}

SCENARIO("A request whose answer was lost", "[path]")
{
  Path path;
  path.Begin();
  path.script = { Act::BreakOff, Act::Answer };

  GIVEN("one that may run twice")
  {
    THEN("it is sent once more")
    {
      CHECK(path.Ask("/look/1").result_int() == 200);
      CHECK(path.arrived.size() == 2);
    }
  }
  GIVEN("one that may not")
  {
    auto answer = path.Ask("/book/1");
    THEN("it is not, and the client is not told that it has not run")
    {
      CHECK(answer.result_int() == 502);
      CHECK(path.arrived.size() == 1);
    }
  }
  GIVEN("a server that turns away the repetition")
  {
    path.script = { Act::BreakOff, Act::TurnAway };
    THEN("the client is not told that it has not run")
    {
      CHECK(path.Ask("/look/1").result_int() == 502);
    }
  }
}

SCENARIO("A request that the server leaves without an answer", "[path]")
{
  Path path;
  path.Begin();
  path.script = { Act::Silent };
  auto started = BootClock::now();
  auto answer = path.Ask("/book/1");

  CHECK(answer.result_int() == 504);
  CHECK(BootClock::now() - started >= milliseconds(450));
  path.context.run_for(milliseconds(30));
  CHECK(path.serverGone);
}

SCENARIO("What cannot be served is refused at once", "[path]")
{
  Path path;

  GIVEN("no configuration")
  {
    CHECK(path.Ask("/look/1").result_int() == 503);
  }
  GIVEN("no route")
  {
    path.Begin();
    CHECK(path.Ask("/other/1").result_int() == 404);
    CHECK(path.Ask("/look/1", "7", "b.example").result_int() == 404);
  }
  GIVEN("a key that is no key")
  {
    path.Begin();
    CHECK(path.Ask("/look/1", "many").result_int() == 400);
    CHECK(path.Ask("/look/1", "70000").result_int() == 400);
  }
  GIVEN("keys of a member that is gone")
  {
    path.Begin("gone");
    auto answer = path.Ask("/look/1");
    CHECK(answer.result_int() == 503);
    CHECK_FALSE(answer[http::field::retry_after].empty());
  }
  GIVEN("a server that is down")
  {
    path.serving.usable = false;
    path.Begin();
    CHECK(path.Ask("/look/1").result_int() == 503);
  }
  GIVEN("a server whose time to drain is over")
  {
    path.serving.leaving = true;
    path.serving.sendUntil = BootClock::now();
    path.Begin();
    CHECK(path.Ask("/look/1").result_int() == 503);
  }
  GIVEN("keys whose grant has ended, and no lease for another")
  {
    path.serving.ranges = { { { 0, 999 }, Time() } };
    path.serving.leaseUntil = Time();
    path.Begin();
    CHECK(path.Ask("/look/1").result_int() == 503);
  }
  CHECK(path.arrived.empty());
}

SCENARIO("A daemon that stops ends once everything is answered", "[path]")
{
  // Found on a grown deployment: a process that was found idle took one more
  // request before it ended, and cut it while its server was at work.
  Path path;
  path.Begin();
  const std::string kRequest =
    "GET /look/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n"
    "X-Timeout-Ms: 300\r\nX-Shard-Key: 7\r\n\r\n";
  constexpr size_t kHalf = 40;
  Tcp::socket running(path.context);
  Tcp::socket reading(path.context);
  running.connect(path.clientAddress);
  reading.connect(path.clientAddress);
  path.script = { Act::Silent };
  asio::write(running, asio::buffer(kRequest));
  asio::write(reading, asio::buffer(kRequest, kHalf));
  path.context.run_for(milliseconds(30));
  path.node->StopAccepting();

  WHEN("a request is still under way")
  {
    THEN("it goes on")
    {
      CHECK_FALSE(path.node->CloseIfIdle());
    }
  }
  WHEN("it is answered, and only a part of another one has come")
  {
    path.context.restart();
    path.context.run_for(milliseconds(500));
    REQUIRE(path.arrived.size() == 1);
    THEN("the rest of that one does not make it run")
    {
      CHECK(path.node->CloseIfIdle());
      boost::system::error_code ignored; // The connection may be closed.
      asio::write(reading, asio::buffer(kRequest.substr(kHalf)), ignored);
      path.context.restart();
      path.context.run_for(milliseconds(30));
      CHECK(path.arrived.size() == 1);
    }
  }
}

SCENARIO("Callers of the router's own interface are told the outcome", "[path]")
{
  Path path;
  path.serving.ranges = { { { 0, kLastKey }, BootClock::now() + seconds(60) } };

  GIVEN("no configuration yet")
  {
    auto answer = path.AskAsCaller("/v1/request/agenda/look?key=a");
    CHECK(answer.result_int() == 503);
    CHECK(answer["X-Outcome"] == "not-run");
    CHECK_FALSE(answer[http::field::retry_after].empty());
  }
  GIVEN("a request that is answered")
  {
    path.Begin("me", kLastKey);
    auto answer = path.AskAsCaller("/v1/request/agenda/look?key=a");
    CHECK(answer["X-Outcome"] == "done");
    CHECK(answer.body() == "answer");
    REQUIRE(path.arrived.size() == 1);
    CHECK(path.arrived[0].target() == "/look/");
  }
  GIVEN("a request that may have run")
  {
    path.Begin("me", kLastKey);
    path.script = { Act::BreakOff };
    auto answer = path.AskAsCaller("/v1/request/agenda/book?key=a");
    CHECK(answer["X-Outcome"] == "unknown");
  }
  GIVEN("requests that never run")
  {
    path.Begin("gone", kLastKey);
    CHECK(path.AskAsCaller("/v1/request/agenda/look?key=a")["X-Outcome"] ==
          "not-run");
    auto unknown = path.AskAsCaller("/v1/request/agenda/other?key=a");
    CHECK(unknown.result_int() == 404);
    CHECK(unknown["X-Outcome"] == "not-run");
    CHECK(path.AskAsCaller("/v1/request/agenda/look").result_int() == 400);
  }
}
