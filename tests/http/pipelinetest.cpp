#include <deque>
#include <random>

#include <catch2/catch.hpp>

#include "http/http.h"
#include "http/pendingresponse.h"
#include "http/requestpipeline.h"
#include "http/serverfixture.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A server that runs GET requests of a connection at the same time. */
struct PipelineFixture : ServerFixture
{
  PipelineFixture()
  {
    this->server.rules.mayRunConcurrently = [](const HttpRequest& aRequest) {
      return aRequest.method() == http::verb::get;
    };
  }

  void Respond(size_t aIndex, const std::string& aText)
  {
    this->exchanges[aIndex]->Respond(TextResponse(200, aText));
  }

  /** Registers for the disconnect of the client of each request so far. */
  void CountDisconnects()
  {
    for (const auto& exchange : this->exchanges) {
      exchange->onClientDisconnect = [this](ConnectionEnd) {
        ++this->disconnects;
      };
    }
  }

  /** Bodies of the form <name> that were received, in order. */
  std::string Answers() const
  {
    std::string answers;
    for (size_t begin = this->received.find('<'); begin != std::string::npos;
         begin = this->received.find('<', begin + 1)) {
      answers += this->received.substr(
        begin + 1, this->received.find('>', begin) - begin - 1);
    }
    return answers;
  }

  int disconnects = 0;
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
         " HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n" + "abc";
}

size_t
CountOf(const std::string& aText, const std::string& aPart)
{
  size_t count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

SCENARIO("A client sends further requests before the first response",
         "[pipeline][pure]")
{
  RequestPipeline pipeline;

  GIVEN("requests that may run at the same time")
  {
    for (size_t count = 0; count < RequestPipeline::kMaxRequests; ++count) {
      REQUIRE(pipeline.MayRead());
      REQUIRE(pipeline.MayPassOn(true));
      pipeline.OnPassedOn(true);
    }
    THEN("they are passed on up to the limit")
    {
      CHECK_FALSE(pipeline.MayRead());
      pipeline.OnResponseWritten(0);
      CHECK(pipeline.MayRead());
    }
  }
  GIVEN("a request that must not run beside others")
  {
    THEN("it waits for the responses before it, and those behind wait for it")
    {
      pipeline.OnPassedOn(true);
      CHECK_FALSE(pipeline.MayPassOn(false));
      pipeline.OnResponseWritten(0);
      CHECK(pipeline.MayPassOn(false));
      pipeline.OnPassedOn(false);
      CHECK_FALSE(pipeline.MayRead());
      CHECK_FALSE(pipeline.MayPassOn(true));
      pipeline.OnResponseWritten(0);
      CHECK(pipeline.MayPassOn(true));
      CHECK(pipeline.MayRead());
    }
  }
  GIVEN("a slow first response and large ones behind it")
  {
    pipeline.OnPassedOn(true);
    pipeline.OnPassedOn(true);
    pipeline.OnResponseWaiting(RequestPipeline::kMaxWaitingBytes);
    THEN("no further request is read until the memory is free again")
    {
      CHECK_FALSE(pipeline.MayRead());
      pipeline.OnResponseWritten(0);
      CHECK_FALSE(pipeline.MayRead());
      pipeline.OnResponseWritten(RequestPipeline::kMaxWaitingBytes);
      CHECK(pipeline.MayRead());
    }
  }
  GIVEN("a server that stops")
  {
    pipeline.OnPassedOn(true);
    pipeline.OnPassedOn(true);
    pipeline.StopReading();
    THEN("only the response to the last request closes the connection")
    {
      CHECK_FALSE(pipeline.MayRead());
      CHECK_FALSE(pipeline.ClosesAfterNextResponse());
      pipeline.OnResponseWritten(0);
      CHECK(pipeline.ClosesAfterNextResponse());
    }
  }
}

SCENARIO("Requests of one connection run at the same time", "[pipeline]")
{
  PipelineFixture fixture;

  GIVEN("three requests in one write")
  {
    fixture.Send(Get("1") + Get("2") + Get("3"));
    REQUIRE(fixture.exchanges.size() == 3);
    WHEN("the responses come in another order")
    {
      fixture.Respond(2, "<3>");
      fixture.Respond(1, "<2>");
      fixture.Run();
      CHECK(fixture.Answers().empty());
      fixture.Respond(0, "<1>");
      fixture.Run();
      THEN("they are written in the order of the requests")
      {
        CHECK(fixture.Answers() == "123");
        CHECK(CountOf(fixture.received, "Connection: close") == 0);
      }
      THEN("the connection is used further")
      {
        fixture.Send(Get("4"));
        REQUIRE(fixture.exchanges.size() == 4);
        fixture.Respond(3, "<4>");
        fixture.Run();
        CHECK(fixture.Answers() == "1234");
      }
    }
    WHEN("the client disconnects")
    {
      fixture.CountDisconnects();
      fixture.client.close();
      fixture.context.restart();
      fixture.context.run_for(milliseconds(30));
      THEN("all of them are cancelled")
      {
        CHECK(fixture.disconnects == 3);
      }
    }
    WHEN("a response in the middle breaks off")
    {
      fixture.CountDisconnects();
      fixture.exchanges[1]->Abort();
      THEN("the one behind it is cancelled at once")
      {
        CHECK(fixture.disconnects == 1);
      }
      THEN("the one before it is delivered, and the connection closed")
      {
        CHECK(fixture.Run());
        fixture.Respond(0, "<1>");
        fixture.Run();
        fixture.Run();
        CHECK(fixture.Answers() == "1");
        CHECK_FALSE(fixture.Run());
      }
    }
    WHEN("nobody responds to the one in the middle")
    {
      fixture.exchanges[1].reset();
      fixture.Respond(0, "<1>");
      fixture.Respond(2, "<3>");
      fixture.Run();
      THEN("no other response takes its place")
      {
        CHECK(fixture.Answers() == "1");
        CHECK_FALSE(fixture.Run());
      }
    }
    WHEN("a response in chunks waits for the first one")
    {
      ResponseHeaders headers;
      headers.message.result(200);
      std::string chunk = "<2>";
      bool written = false;
      fixture.exchanges[1]->StartResponse(headers);
      fixture.exchanges[1]->WriteChunk(asio::buffer(chunk), [&] {
        written = true;
        fixture.exchanges[1]->EndResponse();
      });
      fixture.Respond(2, "<3>");
      fixture.Run();
      THEN("it follows whole when the first one is written")
      {
        CHECK(fixture.received.empty());
        fixture.Respond(0, "<1>");
        fixture.Run();
        CHECK(fixture.Answers() == "123");
        CHECK(CountOf(fixture.received, "\r\n0\r\n") == 1);
      }
      THEN("it is taken whole, so that nobody has to keep the rest for it")
      {
        CHECK(written);
        fixture.exchanges[1].reset();
        fixture.Respond(0, "<1>");
        fixture.Run();
        CHECK(fixture.Answers() == "123");
      }
    }
    WHEN("a long response in chunks waits for the first one")
    {
      std::vector<std::string> chunks = { std::string(20 * 1024, 'x') + "<",
                                          "2" + std::string(20 * 1024, 'y'),
                                          std::string(20 * 1024, 'z') + ">" };
      size_t written = 0;
      std::function<void()> next = [&] {
        if (written == chunks.size()) {
          fixture.exchanges[1]->EndResponse();
          return;
        }
        fixture.exchanges[1]->WriteChunk(asio::buffer(chunks[written]), [&] {
          ++written;
          next();
        });
      };
      fixture.exchanges[1]->StartResponse(ResponseHeaders());
      next();
      fixture.Respond(2, "<3>");
      fixture.Run();
      THEN("its beginning is kept, and the rest waits with its server")
      {
        CHECK(written == 1);
        CHECK(fixture.received.empty());
        CHECK_FALSE(fixture.exchanges[1]->HasStartedResponse());
        fixture.Respond(0, "<1>");
        for (int round = 0; round < 10; ++round) {
          fixture.Run();
        }
        CHECK(written == 3);
        CHECK(fixture.received.find(chunks[0]) != std::string::npos);
        CHECK(fixture.received.find(chunks[1]) != std::string::npos);
        CHECK(fixture.received.find(chunks[2]) != std::string::npos);
        CHECK(CountOf(fixture.received, "<3>") == 1);
      }
      THEN("another response can still take its place")
      {
        fixture.Respond(1, "<other>");
        fixture.Respond(0, "<1>");
        fixture.Run();
        CHECK(fixture.Answers() == "1other3");
        CHECK(fixture.Run());
      }
      THEN("no other response can once a part of it is written")
      {
        fixture.Respond(0, "<1>");
        fixture.Run();
        CHECK(fixture.exchanges[1]->HasStartedResponse());
      }
    }
  }
  GIVEN("a client that disconnects behind more requests than run at once")
  {
    // Guards against work for a client that left while further data of it was
    // not read yet.
    std::string requests;
    for (size_t count = 0; count < RequestPipeline::kMaxRequests + 8; ++count) {
      requests += Get("x");
    }
    fixture.Send(requests);
    REQUIRE(fixture.exchanges.size() == RequestPipeline::kMaxRequests);
    fixture.CountDisconnects();
    fixture.client.close();
    fixture.context.restart();
    fixture.context.run_for(milliseconds(30));
    CHECK(fixture.disconnects ==
          static_cast<int>(RequestPipeline::kMaxRequests));
  }
  GIVEN("a request behind another in two pieces")
  {
    auto second = Get("2");
    fixture.Send(Get("1") + second.substr(0, 9));
    REQUIRE(fixture.exchanges.size() == 1);
    fixture.Respond(0, "<1>");
    fixture.Run();
    CHECK(fixture.Answers() == "1");
    fixture.Send(second.substr(9));
    REQUIRE(fixture.exchanges.size() == 2);
    fixture.Respond(1, "<2>");
    fixture.Run();
    CHECK(fixture.Answers() == "12");
  }
}

SCENARIO("A request that must not run beside others keeps its place",
         "[pipeline]")
{
  PipelineFixture fixture;

  GIVEN("a booking between lookups")
  {
    fixture.Send(Get("1") + Post("2") + Get("3"));
    REQUIRE(fixture.exchanges.size() == 1);
    fixture.Respond(0, "<1>");
    fixture.Run();
    THEN("it runs after those before it, and alone")
    {
      REQUIRE(fixture.exchanges.size() == 2);
      CHECK(fixture.exchanges[1]->request.body() == "abc");
      fixture.Respond(1, "<2>");
      fixture.Run();
      REQUIRE(fixture.exchanges.size() == 3);
      fixture.Respond(2, "<3>");
      fixture.Run();
      CHECK(fixture.Answers() == "123");
    }
  }
  GIVEN("a client that leaves while a booking waits")
  {
    fixture.Send(Get("1") + Post("2"));
    fixture.CountDisconnects();
    fixture.client.close();
    fixture.context.restart();
    fixture.context.run_for(milliseconds(30));
    THEN("the booking does not run")
    {
      CHECK(fixture.disconnects == 1);
      CHECK(fixture.exchanges.size() == 1);
    }
  }
  GIVEN("a request behind another whose client waits for an interim response")
  {
    fixture.Send(Get("1") + "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3"
                            "\r\nExpect: 100-continue\r\n\r\n");
    CHECK(fixture.received.empty());
    fixture.Respond(0, "<1>");
    fixture.Run();
    THEN("the interim response follows the one before it")
    {
      auto interim = fixture.received.find("100 Continue");
      REQUIRE(interim != std::string::npos);
      CHECK(fixture.received.find("<1>") < interim);
      fixture.Send("abc");
      REQUIRE(fixture.exchanges.size() == 2);
      CHECK(fixture.exchanges[1]->request.body() == "abc");
    }
  }
}

SCENARIO("A connection with several requests is closed behind the last one "
         "that was passed on",
         "[pipeline]")
{
  PipelineFixture fixture;

  GIVEN("a request that asks to close the connection between others")
  {
    fixture.Send(Get("1") +
                 "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close"
                 "\r\n\r\n" +
                 Get("3"));
    THEN("those behind it are not run")
    {
      REQUIRE(fixture.exchanges.size() == 2);
      fixture.Respond(1, "<2>");
      fixture.Respond(0, "<1>");
      fixture.Run();
      CHECK(fixture.Answers() == "12");
      CHECK(CountOf(fixture.received, "Connection: close") == 1);
      fixture.Run();
      CHECK(fixture.exchanges.size() == 2);
    }
  }
  GIVEN("a server that stops")
  {
    fixture.Send(Get("1") + Get("2") + Post("3") + Get("4"));
    REQUIRE(fixture.exchanges.size() == 2);
    fixture.server.AnnounceClose();
    fixture.Send(Get("5"));
    fixture.server.StopAccepting();
    fixture.Respond(1, "<2>");
    fixture.Run();
    CHECK(fixture.server.HasPendingResponses());
    fixture.Respond(0, "<1>");
    fixture.Run();
    THEN("all that was passed on is answered, and nothing else is run")
    {
      CHECK(fixture.Answers() == "12");
      CHECK(CountOf(fixture.received, "Connection: close") == 1);
      CHECK(fixture.exchanges.size() == 2);
      CHECK_FALSE(fixture.server.HasPendingResponses());
    }
    THEN("the server closes the connection when the client has read it")
    {
      CHECK(fixture.server.HasDismissedClients());
      fixture.client.close();
      fixture.context.restart();
      fixture.context.run_for(milliseconds(30));
      CHECK_FALSE(fixture.server.HasDismissedClients());
    }
  }
  GIVEN("requests that arrive behind a response that closes the connection")
  {
    // Guards against a reset by unread data, by which the client loses the
    // response.
    fixture.Send("GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    fixture.Respond(0, "<1>");
    asio::write(fixture.client, asio::buffer(Get("2")));
    fixture.context.restart();
    fixture.context.run_for(milliseconds(30));
    asio::write(fixture.client, asio::buffer(Get("3")));
    fixture.context.restart();
    fixture.context.run_for(milliseconds(30));
    std::string received;
    boost::system::error_code error;
    fixture.client.non_blocking(false);
    asio::read(fixture.client, asio::dynamic_buffer(received), error);
    CHECK(error == asio::error::eof);
    CHECK(received.find("<1>") != std::string::npos);
    CHECK(fixture.exchanges.size() == 1);
  }
  GIVEN("a client that never closes the connection")
  {
    SessionLimits limits;
    limits.lingerTime = milliseconds(50);
    fixture.server.SetLimits(limits);
    fixture.Send("GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" +
                 Get("2"));
    fixture.Respond(0, "<1>");
    fixture.Run();
    CHECK(fixture.server.HasDismissedClients());
    fixture.server.CloseTimedOut(BootClock::now() + milliseconds(100));
    CHECK_FALSE(fixture.server.HasDismissedClients());
  }
  GIVEN("bytes that are not a request behind two requests")
  {
    fixture.Send(Get("1") + Get("2") + "garbled\r\n\r\n" + Get("3"));
    REQUIRE(fixture.exchanges.size() == 2);
    CHECK(fixture.received.empty());
    fixture.Respond(1, "<2>");
    fixture.Respond(0, "<1>");
    fixture.Run();
    THEN("the two are answered before the error, which closes the connection")
    {
      CHECK(fixture.Answers() == "12");
      CHECK(fixture.received.find("<2>") <
            fixture.received.find("HTTP/1.1 400"));
      CHECK(CountOf(fixture.received, "Connection: close") == 1);
      CHECK(fixture.exchanges.size() == 2);
    }
  }
  GIVEN("a request behind another whose rest does not arrive in time")
  {
    fixture.Send(Get("1") + "GET /2 HT");
    fixture.server.CloseTimedOut(BootClock::now() + seconds(10));
    fixture.Send("garbled\r\n\r\n");
    fixture.Respond(0, "<1>");
    fixture.Run();
    THEN("the one before it is answered, and the connection is closed")
    {
      CHECK(fixture.Answers() == "1");
      CHECK(CountOf(fixture.received, "Connection: close") == 1);
    }
  }
}

namespace {

/** What is reported of the requests of a connection that ended: its end, and
 * the id and known response of each request. */
std::string
Summary(const std::vector<UnansweredRequest>& aReports)
{
  std::string summary;
  for (const auto& report : aReports) {
    summary += summary.empty() ? ToString(report.end) + ":" : ",";
    summary += " " + report.id + " " + ToString(report.response);
  }
  return summary;
}

} // namespace

// Guards against connections that end with requests in them, and nobody can
// tell afterwards who ended them and what the clients lost.
SCENARIO("A server reports the requests that get no response", "[pipeline]")
{
  PipelineFixture fixture;
  std::vector<UnansweredRequest> reports;
  fixture.server.rules.requestIdField = "X-Id";
  fixture.server.rules.onUnanswered = [&reports](const auto& aReport) {
    reports.push_back(aReport);
  };
  auto get = [](const std::string& aId) {
    return "GET / HTTP/1.1\r\nHost: a\r\nX-Id: " + aId + "\r\n\r\n";
  };

  GIVEN("three requests, of which the last one has its response")
  {
    fixture.Send(get("1") + get("2") + get("3"));
    REQUIRE(fixture.exchanges.size() == 3);
    fixture.exchanges[1]->StartResponse(ResponseHeaders());
    fixture.Respond(2, "<3>");
    WHEN("the client leaves")
    {
      fixture.client.close();
      fixture.context.restart();
      fixture.context.run_for(milliseconds(30));
      THEN("it is reported what it has lost")
      {
        CHECK(Summary(reports) == "client left: 1 none, 2 started, 3 whole");
        REQUIRE(reports.size() == 3);
        CHECK(reports[2].client == "127.0.0.1");
        CHECK(reports[2].position == 2);
        CHECK(reports[2].behind == 0);
        CHECK(reports[2].age >= *reports[2].responseAge);
        CHECK_FALSE(reports[0].responseAge);
        CHECK(reports[0].behind == 2);
      }
    }
    WHEN("the first response breaks off")
    {
      fixture.exchanges[0]->StartResponse(ResponseHeaders());
      fixture.exchanges[0]->Abort();
      CHECK(Summary(reports) ==
            "response aborted: 1 started, 2 started, 3 whole");
    }
    WHEN("nobody responds to the first one")
    {
      fixture.exchanges[0].reset();
      CHECK(Summary(reports) == "no response: 1 none, 2 started, 3 whole");
    }
    WHEN("the server closes all connections")
    {
      fixture.server.CloseAll();
      CHECK(Summary(reports) == "stopped: 1 none, 2 started, 3 whole");
    }
  }
  GIVEN("a request whose rest does not arrive in time")
  {
    fixture.Send("POST / HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\n"
                 "Content-Length: 3\r\n\r\n");
    fixture.server.CloseTimedOut(BootClock::now() + seconds(10));
    CHECK(Summary(reports) == "request timeout: 1 not-read");
  }
  GIVEN("a request with its response")
  {
    fixture.Send(get("1"));
    fixture.Respond(0, "<1>");
    fixture.Run();
    fixture.server.CloseAll();
    CHECK(Summary(reports).empty());
  }
}

SCENARIO("Thousands of requests in one write run a few at a time", "[pipeline]")
{
  constexpr size_t kCount = 5000;
  PipelineFixture fixture;
  std::string requests;
  for (size_t count = 0; count < kCount; ++count) {
    requests += Get("x");
  }
  size_t sent = 0;
  size_t answered = 0;
  size_t most = 0;
  fixture.client.non_blocking(true);
  for (int round = 0; answered < kCount && round < 20000; ++round) {
    boost::system::error_code error;
    sent += fixture.client.write_some(
      asio::buffer(requests.data() + sent, requests.size() - sent), error);
    fixture.context.restart();
    fixture.context.run_for(std::chrono::microseconds(500));
    most = std::max(most, fixture.exchanges.size());
    answered += fixture.exchanges.size();
    auto running = std::move(fixture.exchanges);
    fixture.exchanges.clear();
    // The newest is answered first, so that all others wait for the oldest.
    for (auto entry = running.rbegin(); entry != running.rend(); ++entry) {
      (*entry)->Respond(TextResponse(200, "<x>"));
    }
    fixture.ReadAvailable();
  }
  for (int round = 0; CountOf(fixture.received, "<x>") < kCount && round < 100;
       ++round) {
    fixture.Run();
  }
  CHECK(answered == kCount);
  CHECK(most <= RequestPipeline::kMaxRequests);
  CHECK(CountOf(fixture.received, "<x>") == kCount);
}

namespace {

/** Random requests, in random pieces, answered in random order. */
class PipelineFuzz
{
public:
  explicit PipelineFuzz(uint32_t aSeed)
    : random(aSeed)
  {
  }

  void Run()
  {
    this->MakeRequests();
    for (int round = 0; round < 400 && !this->IsDone(); ++round) {
      this->SendPiece();
      this->fixture.context.restart();
      this->fixture.context.run_for(std::chrono::microseconds(200));
      this->CheckRunning();
      this->RespondToOne();
      this->fixture.ReadAvailable();
    }
    this->fixture.Run();
    // Every request that was passed on is answered, once and in order; what
    // follows the one that closed the connection is not run.
    CHECK(this->fixture.Answers() == this->expected.substr(0, this->passedOn));
    CHECK(this->passedOn == this->runnable);
  }

private:
  size_t Below(size_t aBound) { return this->random() % aBound; }

  void MakeRequests()
  {
    size_t count = 1 + this->Below(20);
    bool closed = false;
    for (size_t index = 0; index < count; ++index) {
      std::string name(1, static_cast<char>('a' + index));
      switch (this->Below(12)) {
        case 0:
        case 1:
          this->text += Post(name);
          break;
        case 2:
          this->text += "POST /" + name +
                        " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                        "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
          break;
        case 3:
          this->text += "GET /" + name +
                        " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
          this->runnable += closed ? 0 : 1;
          this->expected += name;
          closed = true;
          continue;
        case 4:
          this->text += "garbled\r\n\r\n";
          closed = true;
          continue;
        default:
          this->text += Get(name);
      }
      this->expected += name;
      this->runnable += closed ? 0 : 1;
    }
  }

  void SendPiece()
  {
    size_t size =
      std::min(1 + this->Below(120), this->text.size() - this->sent);
    boost::system::error_code ignored; // The server may have closed it.
    this->sent += this->fixture.client.write_some(
      asio::buffer(this->text.data() + this->sent, size), ignored);
  }

  /** A request that must not run beside others is alone. */
  void CheckRunning()
  {
    for (auto& exchange : this->fixture.exchanges) {
      this->running.push_back(exchange);
      ++this->passedOn;
    }
    this->fixture.exchanges.clear();
    for (const auto& exchange : this->running) {
      if (exchange->request.method() == http::verb::post) {
        CHECK(this->running.size() == 1);
        CHECK(exchange->request.body() == "abc");
      }
    }
  }

  void RespondToOne()
  {
    if (this->running.empty() || this->Below(3) == 0) {
      return;
    }
    auto chosen =
      this->running.begin() + static_cast<int>(this->Below(running.size()));
    auto name = std::string((*chosen)->request.target()).substr(1);
    (*chosen)->Respond(TextResponse(200, "<" + name + ">"));
    this->running.erase(chosen);
  }

  bool IsDone() const
  {
    return this->sent == this->text.size() && this->running.empty() &&
           this->passedOn >= this->runnable;
  }

  std::mt19937 random;
  PipelineFixture fixture;
  std::deque<std::shared_ptr<Exchange>> running;
  std::string text;
  std::string expected; ///< Names of the requests, in order.
  size_t sent = 0;
  size_t passedOn = 0;
  size_t runnable = 0; ///< Requests before the end of the connection.
};

} // namespace

TEST_CASE("Pipelined requests in any pieces are answered in order",
          "[pipeline][fuzz]")
{
  for (uint32_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    PipelineFuzz(seed).Run();
  }
}
