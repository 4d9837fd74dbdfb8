#include <algorithm>

#include <catch2/catch.hpp>

#include "http/http.h"
#include "http/serverfixture.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A server whose connections share a small budget, and further clients. */
struct LimitsFixture : ServerFixture
{
  std::shared_ptr<ConnectionMemory> memory;
  std::vector<RoomReason> refused;
  std::vector<std::unique_ptr<Tcp::socket>> others;

  LimitsFixture()
  {
    ConnectionBudget budget;
    budget.total = 1000000;
    budget.reserve = 200000;
    budget.smallBytes = 32768;
    budget.connectionBytes = 200000;
    budget.addressBytes = 900000;
    budget.listenerBytes = 1000000;
    budget.largeBytes = 2000000;
    budget.connections = 100;
    budget.unfinished = 50;
    this->memory = std::make_shared<ConnectionMemory>(this->context, budget);
    this->memory->onRefused = [this](const auto&, const auto&, auto aReason) {
      this->refused.push_back(aReason);
    };
    this->server.SetMemory(this->memory, "clients");
    this->Reconnect();
  }

  /** Connects again: the first connection has an account of its own. */
  void Reconnect()
  {
    this->client = this->Connect();
    this->client.non_blocking(true);
    this->received.clear();
    this->Run();
    this->Run();
  }

  Tcp::socket Connect()
  {
    Tcp::socket socket(this->context);
    socket.connect(this->server.Address());
    return socket;
  }

  /** Opens another connection and sends a text over it. */
  void SendOther(const std::string& aText)
  {
    this->others.push_back(std::make_unique<Tcp::socket>(this->Connect()));
    this->others.back()->non_blocking(true);
    boost::system::error_code ignored; // The server may have closed it.
    asio::write(*this->others.back(), asio::buffer(aText), ignored);
    this->Run();
  }

  std::string ReadOther(size_t aIndex)
  {
    char bytes[65536];
    boost::system::error_code ignored; // Nothing may have arrived.
    auto size = this->others[aIndex]->read_some(asio::buffer(bytes), ignored);
    return { bytes, size };
  }

  size_t Held() const { return this->memory->Account().HeldBytes(); }
};

std::string
Post(size_t aLength, size_t aSent, const std::string& aFields = "")
{
  return "POST /a HTTP/1.1\r\nHost: a\r\n" + aFields +
         "Content-Length: " + std::to_string(aLength) + "\r\n\r\n" +
         std::string(aSent, 'x');
}

const std::string kChunkedHead =
  "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string
Repeat(const std::string& aText, size_t aCount)
{
  std::string all;
  for (size_t count = 0; count < aCount; ++count) {
    all += aText;
  }
  return all;
}

} // namespace

// Guards against memory that grows with the bodies that clients begin to send.
SCENARIO("A body is read only if there is room for it", "[http][limits]")
{
  LimitsFixture fixture;
  GIVEN("connections with unfinished bodies that use up the budget")
  {
    while (fixture.refused.empty() && fixture.others.size() < 20) {
      fixture.SendOther(Post(100000, 1000));
    }
    CHECK(fixture.refused == std::vector{ RoomReason::Address });
    fixture.refused.clear();
    auto held = fixture.Held();
    CHECK(held > 700000);
    CHECK(held <= 900000);
    WHEN("another client begins to send one")
    {
      fixture.Send(Post(100000, 1000, "Expect: 100-continue\r\n"));
      THEN("it is refused as not run, and told so before it sends it")
      {
        CHECK(fixture.received.find("HTTP/1.1 503") == 0);
        CHECK(fixture.received.find("100 Continue") == std::string::npos);
        CHECK(fixture.received.find("Connection: close") != std::string::npos);
        CHECK(fixture.exchanges.empty());
        CHECK(fixture.refused == std::vector{ RoomReason::Address });
        CHECK(fixture.Held() <= held + 4096);
      }
    }
    WHEN("an ordinary request arrives")
    {
      fixture.Send(Post(4000, 4000));
      THEN("it is passed on")
      {
        REQUIRE(fixture.exchanges.size() == 1);
        CHECK(fixture.exchanges[0]->request.body().size() == 4000);
      }
    }
    WHEN("the clients leave")
    {
      fixture.others.clear();
      fixture.Run();
      THEN("the account is empty")
      {
        CHECK(fixture.Held() == 0);
      }
    }
  }
  GIVEN("a body that arrives in chunks without an end")
  {
    auto chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
    fixture.SendOther(kChunkedHead);
    for (int count = 0; count < 4; ++count) {
      fixture.SendOther(Post(150000, 1000));
    }
    boost::system::error_code error;
    for (int count = 0; count < 100 && !error; ++count) {
      asio::write(*fixture.others[0], asio::buffer(chunk), error);
      fixture.Run();
      REQUIRE(fixture.Held() < 1200000);
    }
    THEN("it is refused when it exceeds its share")
    {
      CHECK(fixture.ReadOther(0).find("HTTP/1.1 503") == 0);
      CHECK(fixture.exchanges.empty());
    }
  }
  GIVEN("a single request that exceeds the share of a connection")
  {
    fixture.Send(Post(900000, 0));
    for (int count = 0; count < 9; ++count) {
      fixture.Send(std::string(100000, 'x'));
    }
    THEN("it is read while others hold little")
    {
      REQUIRE(fixture.exchanges.size() == 1);
      CHECK(fixture.exchanges[0]->request.body().size() == 900000);
      CHECK(fixture.Held() >= 900000);
      fixture.exchanges[0]->Respond(TextResponse(200, "done"));
      fixture.Run();
      fixture.exchanges.clear();
      CHECK(fixture.received.find("HTTP/1.1 200") == 0);
      CHECK(fixture.Held() == 0);
    }
  }
}

// Guards against limits that refuse what the configuration allows.
SCENARIO("A single body of 64 MiB is read on a machine of 160 MB",
         "[http][limits]")
{
  LimitsFixture fixture;
  fixture.memory->Account().SetBudget(MakeNodeBudgets(160, 4100).traffic);
  constexpr size_t kBytes = 64 * 1024 * 1024;
  SessionLimits limits;
  limits.maxBodyBytes = kBytes;
  limits.bodyCopies = 2;
  fixture.server.SetLimits(limits);
  fixture.Send(Post(kBytes, 0));
  std::string part(256 * 1024, 'x');
  boost::system::error_code error;
  for (size_t sent = 0;
       sent < kBytes && (!error || error == asio::error::would_block);) {
    sent += fixture.client.write_some(
      asio::buffer(part, std::min(part.size(), kBytes - sent)), error);
    fixture.context.restart();
    fixture.context.poll();
  }
  fixture.Run();
  REQUIRE(fixture.exchanges.size() == 1);
  CHECK(fixture.exchanges[0]->request.body().size() == kBytes);
}

// Guards against slow clients that keep others out.
SCENARIO("A slow client loses its memory to others", "[http][limits]")
{
  LimitsFixture fixture;
  auto budget = MakeNodeBudgets(160, 0).traffic;
  budget.total = 500000;
  budget.connectionBytes = 250000;
  fixture.memory->Account().SetBudget(budget);
  fixture.SendOther(Post(180000, 100));
  fixture.SendOther(Post(180000, 100));
  fixture.Send(Post(180000, 100));
  CHECK(fixture.received.find("HTTP/1.1 503") == 0);
  fixture.context.run_for(milliseconds(300));
  fixture.SendOther(Post(180000, 100));
  fixture.Run();
  auto refusals = fixture.ReadOther(0) + fixture.ReadOther(1);
  CHECK(refusals.find("HTTP/1.1 503") == 0);
  CHECK(fixture.ReadOther(2).empty());
  CHECK(fixture.refused == std::vector{ RoomReason::Memory, RoomReason::Slow });
}

// Each field takes some 100 bytes, so a head of 16 KiB can take 400 KiB.
SCENARIO("The number of fields is limited", "[http][limits]")
{
  LimitsFixture fixture;
  std::string head = "GET /a HTTP/1.1\r\nHost: a\r\n";
  GIVEN("a head that has not ended")
  {
    fixture.Send(head + Repeat("a:\r\n", 1000));
    CHECK(fixture.received.find("HTTP/1.1 431") == 0);
    CHECK(fixture.exchanges.empty());
  }
  GIVEN("as many fields as are allowed")
  {
    fixture.Send(head + Repeat("a:\r\n", 199) + "\r\n");
    CHECK(fixture.exchanges.size() == 1);
  }
  GIVEN("trailers")
  {
    fixture.Send(kChunkedHead + "1\r\nx\r\n0\r\n" + Repeat("a: b\r\n", 1000) +
                 "\r\n");
    CHECK(fixture.received.find("HTTP/1.1 431") == 0);
    CHECK(fixture.exchanges.empty());
  }
  GIVEN("trailers that do not end")
  {
    auto trailers = Repeat("a: b\r\n", 20000);
    fixture.Send(kChunkedHead + "1\r\nx\r\n0\r\n" + trailers);
    CHECK(fixture.received.find("HTTP/1.1 431") == 0);
    CHECK(fixture.Held() < 32768);
  }
  GIVEN("a few trailers")
  {
    fixture.Send(kChunkedHead + "1\r\nx\r\n0\r\nSum: 1\r\n\r\n");
    REQUIRE(fixture.exchanges.size() == 1);
    CHECK(fixture.exchanges[0]->request.body() == "x");
  }
}

SCENARIO("The overhead of chunks is limited", "[http][limits]")
{
  LimitsFixture fixture;
  GIVEN("very many chunks of one byte")
  {
    fixture.Send(kChunkedHead + Repeat("1\r\nx\r\n", 4000));
    CHECK(fixture.received.find("HTTP/1.1 400") == 0);
    CHECK(fixture.exchanges.empty());
  }
  GIVEN("some short chunks")
  {
    fixture.Send(kChunkedHead + Repeat("1\r\nx\r\n", 2000) + "0\r\n\r\n");
    REQUIRE(fixture.exchanges.size() == 1);
    CHECK(fixture.exchanges[0]->request.body().size() == 2000);
  }
  GIVEN("a long extension of a chunk")
  {
    fixture.Send(kChunkedHead + "1;a=" + std::string(1000, 'x') + "\r\nx\r\n");
    CHECK(fixture.received.find("HTTP/1.1 400") == 0);
  }
}

SCENARIO("A body that nobody needs is not kept", "[http][limits]")
{
  LimitsFixture fixture;
  fixture.server.rules.needsBody = [](const HttpRequest&) { return false; };
  GIVEN("a long one")
  {
    fixture.Send(Post(100000, 50000));
    REQUIRE(fixture.exchanges.size() == 1);
    CHECK(fixture.exchanges[0]->request.body().empty());
    CHECK(fixture.Held() < 32768);
    fixture.exchanges[0]->Respond(TextResponse(404, "no-route"));
    fixture.Run();
    THEN("the response says that the connection is closed")
    {
      CHECK(fixture.received.find("HTTP/1.1 404") == 0);
      CHECK(fixture.received.find("Connection: close") != std::string::npos);
      // The rest is discarded: closing with unread data would reset.
      fixture.Send(std::string(50000, 'x'));
      CHECK_FALSE(fixture.Run());
    }
  }
  GIVEN("a short one")
  {
    fixture.Send(Post(1000, 1000));
    REQUIRE(fixture.exchanges.size() == 1);
    fixture.exchanges[0]->Respond(TextResponse(404, "no-route"));
    fixture.Run();
    THEN("the connection is kept")
    {
      CHECK(fixture.received.find("Connection: close") == std::string::npos);
      fixture.Send(Post(1000, 1000));
      CHECK(fixture.exchanges.size() == 2);
    }
  }
}

SCENARIO("A client that does not read a response is disconnected",
         "[http][limits]")
{
  LimitsFixture fixture;
  SessionLimits limits;
  limits.readGraceTime = milliseconds(200);
  limits.minReadBytesPerSecond = 1024 * 1024 * 1024;
  fixture.server.SetLimits(limits);
  fixture.SendOther("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(fixture.exchanges.size() == 1);
  // More than the buffers of both sockets take.
  fixture.exchanges[0]->Respond(
    TextResponse(200, std::string(20 * 1024 * 1024, 'x')));
  fixture.Run();
  fixture.server.CloseTimedOut(BootClock::now());
  CHECK(fixture.server.HasPendingResponses());
  fixture.server.CloseTimedOut(BootClock::now() + seconds(1));
  CHECK_FALSE(fixture.server.HasPendingResponses());
  CHECK(fixture.Held() == 0);
}

SCENARIO("Clients that send ahead share the servers", "[http][limits]")
{
  LimitsFixture fixture;
  fixture.server.rules.mayRunConcurrently = [](const HttpRequest&) {
    return true;
  };
  auto gets = Repeat("GET /a HTTP/1.1\r\nHost: a\r\n\r\n", 30);
  for (int count = 0; count < 30; ++count) {
    fixture.SendOther(gets);
  }
  THEN("the requests that run at the same time are bounded")
  {
    CHECK(fixture.exchanges.size() <= 130);
    CHECK(fixture.exchanges.size() >= 30);
  }
  THEN("those that exceed the shares are marked, and no ordinary request is")
  {
    auto unmarked = std::count_if(
      fixture.exchanges.begin(),
      fixture.exchanges.end(),
      [](const auto& aExchange) { return !aExchange->sentAhead; });
    CHECK(unmarked <= 96);
    fixture.Send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK_FALSE(fixture.exchanges.back()->sentAhead);
  }
  THEN("all of them run in the end")
  {
    for (size_t next = 0; next < 900; ++next) {
      for (int wait = 0; next >= fixture.exchanges.size() && wait < 50;
           ++wait) {
        fixture.Run();
      }
      REQUIRE(next < fixture.exchanges.size());
      fixture.exchanges[next]->Respond(TextResponse(200, "a"));
      fixture.context.restart();
      fixture.context.poll();
    }
    CHECK(fixture.exchanges.size() == 900);
  }
}

SCENARIO("Requests that are sent ahead of one that runs alone are marked",
         "[http][limits]")
{
  LimitsFixture fixture;
  bool together = GENERATE(true, false);
  fixture.Send(together ? Post(3, 3) + Post(3, 3) : Post(3, 3));
  REQUIRE(fixture.exchanges.size() == 1);
  CHECK_FALSE(fixture.exchanges[0]->sentAhead);
  if (!together) {
    fixture.Send(Post(3, 3));
  }
  fixture.exchanges[0]->Respond(TextResponse(200, "a"));
  fixture.Run();
  REQUIRE(fixture.exchanges.size() == 2);
  CHECK(fixture.exchanges[1]->sentAhead);
  fixture.exchanges[1]->Respond(TextResponse(200, "a"));
  fixture.Run();
  // One that comes after the response is an ordinary one again.
  fixture.Send(Post(3, 3));
  REQUIRE(fixture.exchanges.size() == 3);
  CHECK_FALSE(fixture.exchanges[2]->sentAhead);
}

SCENARIO("Connections without a request do not use up the descriptors",
         "[http][limits]")
{
  LimitsFixture fixture;
  for (int count = 0; count < 120; ++count) {
    fixture.others.push_back(std::make_unique<Tcp::socket>(fixture.Connect()));
    fixture.context.restart();
    fixture.context.poll();
  }
  fixture.Run();
  CHECK(fixture.memory->Account().ConnectionCount() <= 56);
  fixture.Reconnect();
  fixture.Send(Post(3, 3));
  CHECK(fixture.exchanges.size() == 1);
}
