#include <thread>

#include <catch2/catch.hpp>

#include "http/http.h"
#include "http/serverfixture.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A server that runs GET requests of a connection at the same time, and a
 * client whose data may arrive while the server's process does not run. */
struct ConnectionEndFixture : ServerFixture
{
  ConnectionEndFixture()
  {
    this->server.rules.mayRunConcurrently = [](const HttpRequest& aRequest) {
      return aRequest.method() == http::verb::get;
    };
  }

  /** Sends a text that the server has not read when this returns. */
  void SendUnread(const std::string& aText)
  {
    asio::write(this->client, asio::buffer(aText));
  }

  void Respond(size_t aIndex, const std::string& aText)
  {
    this->exchanges[aIndex]->Respond(TextResponse(200, aText));
    this->Run();
  }

  /** Targets of the requests that were passed on, in their order. */
  std::string PassedOn() const
  {
    std::string targets;
    for (const auto& exchange : this->exchanges) {
      targets += std::string(exchange->request.target());
    }
    return targets;
  }

  /** Number of the responses that the client has got. */
  size_t ResponseCount() const
  {
    const std::string kStart = "HTTP/1.1 ";
    size_t count = 0;
    for (auto at = this->received.find(kStart); at != std::string::npos;
         at = this->received.find(kStart, at + 1)) {
      ++count;
    }
    return count;
  }
};

std::string
Get(const std::string& aPath)
{
  return "GET /" + aPath + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::string
Post(const std::string& aPath)
{
  return "POST /" + aPath +
         " HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
}

} // namespace

// Guards against the loss of requests that had arrived whole: the process had
// not read the rest of them in time, or a new configuration shortened the time.
SCENARIO("A request is cut whose rest has arrived and was not read yet",
         "[http][requesttimeout]")
{
  ConnectionEndFixture fixture;
  auto sendInParts = [&](const std::string& aRequest, size_t aFirst) {
    fixture.Send(aRequest.substr(0, aFirst));
    fixture.SendUnread(aRequest.substr(aFirst));
  };

  GIVEN("a request whose headers arrive in two parts")
  {
    sendInParts(Get("1"), 9);
    WHEN("its time is over before the second part is read")
    {
      fixture.server.CloseTimedOut(BootClock::now() + seconds(10));
      THEN("it is passed on")
      {
        CHECK(fixture.Run());
        CHECK(fixture.PassedOn() == "/1");
      }
    }
  }
  GIVEN("a request whose body arrives behind its headers")
  {
    sendInParts(Post("1"), Post("1").size() - 3);
    WHEN("its time is over before the body is read")
    {
      fixture.server.CloseTimedOut(BootClock::now() + seconds(10));
      THEN("it is passed on")
      {
        CHECK(fixture.Run());
        CHECK(fixture.PassedOn() == "/1");
      }
    }
    WHEN("a new configuration shortens the time to less than has passed")
    {
      std::this_thread::sleep_for(milliseconds(20));
      SessionLimits limits;
      limits.headerTimeout = milliseconds(10);
      fixture.server.SetLimits(limits);
      fixture.server.CloseTimedOut(BootClock::now());
      THEN("it is passed on")
      {
        CHECK(fixture.Run());
        CHECK(fixture.PassedOn() == "/1");
      }
    }
  }
  GIVEN("a request in two parts behind one that runs")
  {
    fixture.Send(Get("1"));
    sendInParts(Get("2"), 9);
    WHEN("its time is over before the second part is read")
    {
      fixture.server.CloseTimedOut(BootClock::now() + seconds(10));
      fixture.Run();
      THEN("it is passed on")
      {
        CHECK(fixture.PassedOn() == "/1/2");
      }
    }
  }
}

// Guards against requests that are cut although their clients keep to the limit
// that was in force when they began to send them.
SCENARIO("A new limit on the time of requests cuts one that has begun before",
         "[http][requesttimeout]")
{
  ConnectionEndFixture fixture;
  auto limitTo = [&](Duration aTime) {
    SessionLimits limits;
    limits.headerTimeout = aTime;
    fixture.server.SetLimits(limits);
  };
  limitTo(seconds(3));

  GIVEN("a request of which a part has arrived")
  {
    auto request = Post("1");
    fixture.Send(request.substr(0, request.size() - 3));
    WHEN("the time limit becomes shorter than the time that it takes")
    {
      limitTo(seconds(1));
      fixture.server.CloseTimedOut(BootClock::now() + seconds(2));
      THEN("its rest is read")
      {
        REQUIRE(fixture.Run());
        fixture.Send(request.substr(request.size() - 3));
        CHECK(fixture.PassedOn() == "/1");
      }
    }
  }
}

// Guards against the loss of a response that the client reads: the server's
// process had not run for longer than the client may take.
SCENARIO("A client that has read its part is taken for one that does not read",
         "[http][responsetimeout][knownred]")
{
  ConnectionEndFixture fixture;
  SessionLimits limits;
  limits.readGraceTime = milliseconds(200);
  limits.minReadBytesPerSecond = 1024 * 1024 * 1024;
  fixture.server.SetLimits(limits);
  // More than the buffers of both sockets take.
  constexpr size_t kBytes = 20 * 1024 * 1024;

  GIVEN("a response that the client has not read whole yet")
  {
    fixture.Send(Get("1"));
    REQUIRE(fixture.exchanges.size() == 1);
    fixture.Respond(0, std::string(kBytes, 'x'));
    WHEN("the client reads what has arrived while the process does not run")
    {
      for (size_t before = 0; before < fixture.received.size();) {
        before = fixture.received.size();
        fixture.ReadAvailable();
      }
      REQUIRE(fixture.received.size() < kBytes);
      fixture.server.CloseTimedOut(BootClock::now() + seconds(1));
      THEN("it gets the rest")
      {
        while (fixture.received.size() < kBytes && fixture.ReadAvailable()) {
          fixture.context.restart();
          fixture.context.poll();
        }
        CHECK(fixture.received.size() > kBytes);
      }
    }
  }
}

// Guards against requests that run past their clients' time limits, whose
// clients close the connection and lose the finished responses behind them.
SCENARIO("The time that a request waits to be read does not count",
         "[http][pipeline]")
{
  ConnectionEndFixture fixture;
  // What waits until the first response is written has arrived before it.
  auto checkLast = [&](size_t aCount) {
    auto arrivedUntil = BootClock::now();
    fixture.context.run_for(milliseconds(30));
    fixture.Respond(0, "a");
    fixture.Run();
    REQUIRE(fixture.exchanges.size() == aCount);
    CHECK(fixture.exchanges.back()->receivedAt <= arrivedUntil);
  };

  GIVEN("a booking behind another one")
  {
    fixture.Send(Post("1") + Post("2"));
    REQUIRE(fixture.PassedOn() == "/1");
    checkLast(2);
  }
  GIVEN("a booking that is sent while another one runs")
  {
    fixture.Send(Post("1"));
    fixture.Send(Post("2"));
    REQUIRE(fixture.PassedOn() == "/1");
    checkLast(2);
  }
  GIVEN("a lookup behind as many as run at the same time")
  {
    for (size_t count = 0; count <= RequestPipeline::kMaxRequests; ++count) {
      fixture.SendUnread(Get("x"));
    }
    fixture.Run();
    REQUIRE(fixture.exchanges.size() == RequestPipeline::kMaxRequests);
    checkLast(RequestPipeline::kMaxRequests + 1);
  }
  GIVEN("a server that runs one request of a connection at a time")
  {
    fixture.server.rules.mayRunConcurrently = nullptr;
    fixture.Send(Get("1") + Get("2"));
    REQUIRE(fixture.PassedOn() == "/1");
    checkLast(2);
  }
}

// Guards against requests that are dropped in a stop, and their clients are not
// told: the head of the response before them said that the connection is kept.
SCENARIO("A server that stops drops requests behind a response in chunks",
         "[http][pipeline][stop]")
{
  ConnectionEndFixture fixture;
  std::string chunk = "part";
  auto writeChunk = [&] {
    fixture.exchanges[0]->WriteChunk(asio::buffer(chunk), [] {});
    fixture.Run();
  };
  auto checkAnswered = [&] {
    fixture.exchanges[0]->EndResponse();
    fixture.Run();
    for (size_t next = 1; next < fixture.exchanges.size(); ++next) {
      fixture.Respond(next, "next");
    }
    fixture.Run();
    CAPTURE(fixture.received);
    bool isTold =
      fixture.received.find("Connection: close") != std::string::npos;
    CHECK((isTold || fixture.ResponseCount() == 2));
  };

  GIVEN("a response of which a part has been written")
  {
    fixture.Send(Get("1"));
    REQUIRE(fixture.exchanges.size() == 1);
    fixture.exchanges[0]->StartResponse(ResponseHeaders());
    writeChunk();
    REQUIRE(fixture.ResponseCount() == 1);
    WHEN("a booking waits behind it and the server stops")
    {
      fixture.Send(Post("2"));
      fixture.server.AnnounceClose();
      THEN("the booking gets an answer, or its client is told")
      {
        checkAnswered();
      }
    }
    WHEN("the server stops before it has read a lookup")
    {
      fixture.server.AnnounceClose();
      fixture.Send(Get("2"));
      THEN("the lookup gets an answer, or its client is told")
      {
        checkAnswered();
      }
    }
    WHEN("the server stops and writes a further part before a lookup arrives")
    {
      fixture.server.AnnounceClose();
      writeChunk();
      fixture.Send(Get("2"));
      THEN("the lookup gets an answer, or its client is told")
      {
        checkAnswered();
      }
    }
  }
}

// Guards against the loss of requests that have arrived over connections that
// are closed since too many are open, before the process has read them.
SCENARIO("A connection is closed for others although a request has arrived",
         "[http][limits]")
{
  ConnectionEndFixture fixture;
  auto budget = MakeNodeBudgets(0, 0).traffic;
  budget.connections = 4;
  budget.unfinished = 4;
  auto memory = std::make_shared<ConnectionMemory>(fixture.context, budget);
  fixture.server.SetMemory(memory, "clients");
  fixture.client = Tcp::socket(fixture.context);
  fixture.client.connect(fixture.server.Address());
  fixture.client.non_blocking(true);
  auto openOthers = [&] {
    for (size_t count = 0; count < budget.connections; ++count) {
      auto id = memory->Open("clients", "127.0.0.1", {});
      memory->Account().SetPhase(
        BootClock::now(), id, ConnectionPhase::Running);
    }
  };

  GIVEN("a kept connection on which the next request arrives")
  {
    fixture.Send(Get("1"));
    REQUIRE(fixture.exchanges.size() == 1);
    fixture.Respond(0, "one");
    fixture.SendUnread(Post("2"));
    WHEN("others need its room before the request is read")
    {
      openOthers();
      THEN("the request is passed on")
      {
        fixture.Run();
        CHECK(fixture.PassedOn() == "/1/2");
      }
    }
  }
  GIVEN("a new connection with a request")
  {
    fixture.Run();
    fixture.SendUnread(Get("1"));
    WHEN("others need its room before the request is read")
    {
      openOthers();
      THEN("the request is passed on")
      {
        fixture.Run();
        CHECK(fixture.PassedOn() == "/1");
      }
    }
  }
}
