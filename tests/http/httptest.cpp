#include <thread>

#include <catch2/catch.hpp>

#include "http/callfixture.h"
#include "http/serverfixture.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

using std::chrono::milliseconds;
using std::chrono::seconds;

SCENARIO("A call returns the complete response to its own request", "[http]")
{
  CallFixture fixture;

  GIVEN("two requests on a persistent connection")
  {
    ScriptedPeer peer(fixture.context,
                      { ResponseText("1", "one"), ResponseText("2", "two") });
    auto first = fixture.Call(peer.Address(), "1");
    auto second = fixture.Call(peer.Address(), "2");
    REQUIRE(first->response);
    REQUIRE(second->response);
    CHECK(first->response->body() == "one");
    CHECK(second->response->body() == "two");
    CHECK(peer.connections == 1);
  }
  GIVEN("a second response to the first request")
  {
    ScriptedPeer peer(fixture.context,
                      { ResponseText("1", "one") + ResponseText("1", "again"),
                        ResponseText("2", "two") });
    auto first = fixture.Call(peer.Address(), "1");
    auto second = fixture.Call(peer.Address(), "2");
    THEN("it is discarded")
    {
      REQUIRE(first->response);
      CHECK(first->response->body() == "one");
      REQUIRE(second->response);
      CHECK(second->response->body() == "two");
      CHECK(fixture.HasReported(UnexpectedData::Kind::AfterResponse, false));
    }
  }
  GIVEN("a response to an earlier request before the expected one")
  {
    ScriptedPeer peer(fixture.context,
                      { ResponseText("0", "late") + ResponseText("1", "one") });
    auto call = fixture.Call(peer.Address(), "1");
    THEN("it is skipped")
    {
      REQUIRE(call->response);
      CHECK(call->response->body() == "one");
      CHECK(fixture.HasReported(UnexpectedData::Kind::OtherId, false));
    }
  }
  GIVEN("a response that ends early")
  {
    ScriptedPeer peer(
      fixture.context,
      { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nfive5" });
    peer.closeAfterResponse = true;
    auto call = fixture.Call(peer.Address(), "1");
    THEN("the call fails")
    {
      CHECK_FALSE(call->response);
      REQUIRE(call->failure);
      CHECK(call->failure->stage == CallStage::ResponseStarted);
    }
  }
  GIVEN("bytes that are not a response")
  {
    ScriptedPeer peer(fixture.context, { "garbled\r\n\r\n" });
    auto call = fixture.Call(peer.Address(), "1");
    THEN("the request counts as possibly processed")
    {
      REQUIRE(call->failure);
      CHECK(call->failure->stage == CallStage::Sent);
    }
  }
  GIVEN("a long response in chunks")
  {
    std::string body(200000, 'x');
    ScriptedPeer peer(fixture.context,
                      { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: "
                        "chunked\r\n\r\n30d40\r\n" +
                        body + "\r\n0\r\n\r\n" });
    auto call = fixture.Call(peer.Address(), "1");
    CHECK(call->ended);
    CHECK(call->chunks == body);
  }
  GIVEN("a long response without a length that is truncated")
  {
    ScriptedPeer peer(fixture.context,
                      { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: "
                        "chunked\r\n\r\n30d40\r\nxxx" });
    peer.closeAfterResponse = true;
    auto call = fixture.Call(peer.Address(), "1");
    CHECK_FALSE(call->ended);
    REQUIRE(call->failure);
  }
  GIVEN("a peer that never responds")
  {
    ScriptedPeer peer(fixture.context, { "" });
    auto call = fixture.Call(peer.Address(), "1", milliseconds(100));
    THEN("the call times out and its connection is closed")
    {
      REQUIRE(call->failure);
      CHECK(call->failure->stage == CallStage::Sent);
      fixture.RunUntil([&] { return peer.clientDisconnected; });
      CHECK(peer.clientDisconnected);
    }
  }
  GIVEN("a long response that stalls")
  {
    // Guards against waiting without end for the rest of a response whose call
    // has a stall timeout.
    ScriptedPeer peer(fixture.context,
                      { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: "
                        "chunked\r\n\r\n30d40\r\nxxx" });
    auto call =
      fixture.Call(peer.Address(), "1", seconds(60), milliseconds(100));
    THEN("the call fails after the stall timeout")
    {
      CHECK_FALSE(call->ended);
      REQUIRE(call->failure);
      CHECK(call->failure->stage == CallStage::ResponseStarted);
      CHECK(call->failure->error.operation == "wait for rest of answer");
    }
  }
  GIVEN("a call whose timeout has passed")
  {
    // Guards against sending a request whose timeout passed while connecting,
    // and reporting it as not sent.
    ScriptedPeer peer(fixture.context, { ResponseText("0", "zero"), "" });
    REQUIRE(fixture.Call(peer.Address(), "0")->response);
    auto call = fixture.Call(peer.Address(), "1", Duration(0));
    fixture.context.run_for(milliseconds(20));
    THEN("nothing is sent")
    {
      CHECK(peer.requests == 1);
      REQUIRE(call->failure);
      CHECK(call->failure->stage == CallStage::NotSent);
    }
  }
  GIVEN("an address on which no process listens")
  {
    Tcp::acceptor closed(fixture.context,
                         Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    auto address = closed.local_endpoint();
    closed.close();
    auto call = fixture.Call(address, "1");
    REQUIRE(call->failure);
    CHECK(call->failure->stage == CallStage::NotSent);
    CHECK(call->failure->connectionRefused);
  }
  GIVEN("a persistent connection that the peer has closed")
  {
    auto peer = std::make_unique<ScriptedPeer>(
      fixture.context,
      std::vector<std::string>{ ResponseText("1", "one"),
                                ResponseText("2", "two") });
    peer->closeAfterResponse = true;
    REQUIRE(fixture.Call(peer->Address(), "1")->response);
    fixture.context.run_for(milliseconds(20));
    auto second = fixture.Call(peer->Address(), "2");
    THEN("a new connection is opened")
    {
      REQUIRE(second->response);
      CHECK(second->response->body() == "two");
      CHECK(peer->connections == 2);
    }
  }
}

namespace {

/** A server that responds to a request with a text, and then repeats another
 * one until the client closes the connection. */
class EndlessPeer
{
public:
  EndlessPeer(asio::io_context& aContext,
              std::string aBegin,
              const std::string& aRepeated)
    : acceptor(aContext, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , socket(aContext)
    , begin(std::move(aBegin))
  {
    constexpr size_t kPieceBytes = 16 * 1024;
    while (!aRepeated.empty() && this->repeated.size() < kPieceBytes) {
      this->repeated += aRepeated;
    }
    this->acceptor.async_accept(this->socket,
                                [this](boost::system::error_code aError) {
                                  REQUIRE_FALSE(aError);
                                  this->Write(this->begin);
                                });
  }

  Tcp::endpoint Address() const { return this->acceptor.local_endpoint(); }

  bool clientDisconnected = false;
  size_t written = 0; ///< Bytes.

private:
  void Write(const std::string& aText)
  {
    asio::async_write(this->socket,
                      asio::buffer(aText),
                      [this](boost::system::error_code aError, size_t aSize) {
                        this->written += aSize;
                        this->clientDisconnected = aError.failed();
                        if (!aError && !this->repeated.empty()) {
                          this->Write(this->repeated);
                        }
                      });
  }

  Tcp::acceptor acceptor;
  Tcp::socket socket;
  std::string begin;
  std::string repeated;
};

} // namespace

// Guards against reading what a peer in trouble sends for as long as it sends
// it.
// Guards against callers that got the answer to another request, since its
// server had sent that one twice, without the id the second time.
SCENARIO("A response without an id is not taken for that of another request",
         "[http][mixed]")
{
  CallFixture fixture;
  const std::string kWithoutId =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain";

  GIVEN("one that arrives with the next request of its connection")
  {
    ScriptedPeer peer(
      fixture.context,
      { ResponseText("1", "one"), kWithoutId + ResponseText("2", "two") });
    REQUIRE(fixture.Call(peer.Address(), "1")->response);
    auto second = fixture.Call(peer.Address(), "2");
    THEN("it is skipped")
    {
      REQUIRE(second->response);
      CHECK(second->response->body() == "two");
      CHECK(peer.connections == 1);
      CHECK(fixture.HasReported(UnexpectedData::Kind::NoId, false));
    }
  }
  GIVEN("one that arrives while its connection is idle")
  {
    ScriptedPeer peer(fixture.context,
                      { ResponseText("1", "one"), ResponseText("2", "two") });
    REQUIRE(fixture.Call(peer.Address(), "1")->response);
    peer.SendToLastClient(kWithoutId);
    auto second = fixture.Call(peer.Address(), "2");
    THEN("the connection is not used again")
    {
      REQUIRE(second->response);
      CHECK(second->response->body() == "two");
      CHECK(peer.connections == 2);
      CHECK(fixture.HasReported(UnexpectedData::Kind::WhileIdle, false));
    }
  }
  GIVEN("one after the response to another request, on a new connection")
  {
    ScriptedPeer peer(
      fixture.context,
      { ResponseText("0", "zero") + kWithoutId + ResponseText("1", "one") });
    auto call = fixture.Call(peer.Address(), "1");
    THEN("it is skipped")
    {
      REQUIRE(call->response);
      CHECK(call->response->body() == "one");
    }
  }
  GIVEN("one in chunks, before a short response")
  {
    ScriptedPeer peer(fixture.context,
                      { ResponseText("1", "one"),
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "5\r\nagain\r\n0\r\n\r\n" +
                          ResponseText("2", "two") });
    REQUIRE(fixture.Call(peer.Address(), "1")->response);
    auto second = fixture.Call(peer.Address(), "2");
    THEN("it is skipped")
    {
      REQUIRE(second->response);
      CHECK(second->response->body() == "two");
    }
  }
  GIVEN("one without a length, which ends with the connection")
  {
    ScriptedPeer peer(
      fixture.context,
      { ResponseText("1", "one"), "HTTP/1.1 200 OK\r\n\r\nagain" });
    REQUIRE(fixture.Call(peer.Address(), "1")->response);
    peer.closeAfterResponse = true;
    auto second = fixture.Call(peer.Address(), "2");
    THEN("the outcome of the request is unknown")
    {
      REQUIRE(second->failure);
      CHECK(second->failure->stage == CallStage::Sent);
    }
  }
  GIVEN("one without a length, on a connection that stays open")
  {
    ScriptedPeer peer(
      fixture.context,
      { ResponseText("1", "one"),
        "HTTP/1.1 200 OK\r\n\r\nagain" + ResponseText("2", "two") });
    REQUIRE(fixture.Call(peer.Address(), "1")->response);
    auto second = fixture.Call(peer.Address(), "2");
    THEN("the call fails at once, since its end is unknown")
    {
      REQUIRE(second->failure);
      CHECK(second->failure->stage == CallStage::Sent);
      CHECK_FALSE(second->failure->timedOut);
    }
  }
  GIVEN("a request without an id")
  {
    ScriptedPeer peer(
      fixture.context,
      { ResponseText("1", "one"), kWithoutId + ResponseText("", "two") });
    REQUIRE(fixture.Call(peer.Address(), "1")->response);
    auto second = fixture.Call(peer.Address(), "", milliseconds(100));
    THEN("no response on a used connection counts")
    {
      CHECK_FALSE(second->response);
    }
  }
  GIVEN("a server that never sends ids")
  {
    ScriptedPeer peer(fixture.context, { kWithoutId, kWithoutId });
    auto first = fixture.Call(peer.Address(), "1");
    auto second = fixture.Call(peer.Address(), "2");
    THEN("each response arrives on a connection of its own")
    {
      REQUIRE(first->response);
      REQUIRE(second->response);
      CHECK(peer.connections == 2);
    }
  }
}

// Guards against callers that were told that their request had not run: a
// second copy of the refusal of one attempt was taken for the answer to the
// next one, which ran.
SCENARIO("A request that is sent again does not get the response to an earlier "
         "attempt",
         "[http][mixed]")
{
  CallFixture fixture;
  const std::string kRefusal = "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\n"
                               "Content-Length: 0\r\n\r\n";

  GIVEN("a refusal that arrives once more with the next attempt")
  {
    ScriptedPeer peer(fixture.context,
                      { kRefusal, kRefusal + ResponseText("1", "one") });
    REQUIRE(fixture.Call(peer.Address(), "1")->response);
    auto second = fixture.Call(peer.Address(), "1");
    THEN("the next attempt is not sent over the same connection")
    {
      CHECK(peer.connections == 2);
    }
  }
  GIVEN("other requests between the attempts")
  {
    ScriptedPeer peer(fixture.context,
                      { kRefusal,
                        ResponseText("2", "two"),
                        kRefusal + ResponseText("1", "one"),
                        ResponseText("3", "three") });
    REQUIRE(fixture.Call(peer.Address(), "1")->response);
    REQUIRE(fixture.Call(peer.Address(), "2")->response);
    CHECK(peer.connections == 1);
    fixture.Call(peer.Address(), "1");
    THEN("it is not either, and the connection serves other requests")
    {
      CHECK(peer.connections == 2);
      // The first connection was closed, so that their number does not grow.
      CHECK(fixture.pool.Take(peer.Address(), BootClock::now(), "1") ==
            nullptr);
      auto third = fixture.Call(peer.Address(), "3");
      REQUIRE(third->response);
      CHECK(third->response->body() == "three");
    }
  }
}

// Guards against a response to an earlier HEAD request, whose end is unknown
// when another request waits.
SCENARIO("A connection to a peer that may repeat responses is not used again "
         "after a HEAD request",
         "[http][mixed]")
{
  CallFixture fixture;
  const std::string kHead =
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\n";
  auto request = RequestOf("1");
  request.method(http::verb::head);

  GIVEN("a response that is repeated with the next request")
  {
    ScriptedPeer peer(fixture.context, { kHead, ResponseText("2", "two") });
    REQUIRE(fixture.Call(peer.Address(), request)->response);
    auto second = fixture.Call(peer.Address(), "2");
    REQUIRE(second->response);
    CHECK(second->response->body() == "two");
    CHECK(peer.connections == 2);
  }
  GIVEN("a connection that has carried another request")
  {
    ScriptedPeer peer(fixture.context, { ResponseText("0", "zero"), kHead });
    REQUIRE(fixture.Call(peer.Address(), "0")->response);
    REQUIRE(fixture.Call(peer.Address(), request)->response);
    THEN("it is not used for a HEAD request either")
    {
      CHECK(peer.connections == 2);
    }
  }
  GIVEN("a response to another request before the expected one")
  {
    ScriptedPeer peer(fixture.context, { ResponseText("0", "zero") + kHead });
    auto call = fixture.Call(peer.Address(), request);
    THEN("the call fails, since its end is unknown")
    {
      REQUIRE(call->failure);
      CHECK(call->failure->stage == CallStage::Sent);
    }
  }
}

// Guards against callers that were told that their request had not run: its
// server had begun to process it before it had read the whole body.
SCENARIO("A request of which a part was sent may have been processed",
         "[http][mixed]")
{
  CallFixture fixture;
  ScriptedPeer peer(fixture.context, { "" });
  peer.closeAfterResponse = true;
  auto request = RequestOf("1");
  request.method(http::verb::post);
  request.body() = std::string(32 * 1024 * 1024, 'x');
  request.prepare_payload();
  auto call = fixture.Call(peer.Address(), request);
  REQUIRE(call->failure);
  CHECK(call->failure->stage == CallStage::Sent);
}

// Guards against requests that were cut although their peer was at work: the
// process had lost the processor for longer than the connection may take, so
// the timer that the open connection had ended was handled after the request
// was written.
SCENARIO("A call goes on if its time to connect passed while the process had "
         "no processor",
         "[http][stall]")
{
  CallFixture fixture;
  CallOptions options;
  auto collected = std::make_shared<CollectedResponse>();

  GIVEN("a connection that is open when the process runs again")
  {
    options.connectTimeout = milliseconds(20);
    ScriptedPeer peer(fixture.context, { ResponseText("1", "one") });
    UpstreamCall::Start(
      fixture.pool, peer.Address(), RequestOf("1"), options, collected);
    fixture.context.poll_one(); // Begins to connect.
    std::this_thread::sleep_for(milliseconds(100));
    fixture.RunUntil([&] { return collected->IsComplete(); });
    CHECK_FALSE(collected->failure);
    REQUIRE(collected->response);
    CHECK(collected->response->body() == "one");
  }
  GIVEN("a response that never comes")
  {
    ScriptedPeer peer(fixture.context, { "" });
    options.timeout = milliseconds(100);
    UpstreamCall::Start(
      fixture.pool, peer.Address(), RequestOf("1"), options, collected);
    fixture.context.poll_one();
    std::this_thread::sleep_for(milliseconds(50));
    fixture.RunUntil([&] { return collected->IsComplete(); });
    REQUIRE(collected->failure);
    CHECK(collected->failure->timedOut);
  }
}

// Guards against a process that ends: memory for the length that a response
// states was allocated, although no body follows.
SCENARIO("The stated length of a response without a body has no effect",
         "[http][mixed]")
{
  CallFixture fixture;
  const std::string kLength = "X-Id: 1\r\nContent-Length: "
                              "18446744073709551614\r\n\r\n";

  GIVEN("a HEAD request")
  {
    ScriptedPeer peer(fixture.context, { "HTTP/1.1 200 OK\r\n" + kLength });
    auto request = RequestOf("1");
    request.method(http::verb::head);
    auto call = fixture.Call(peer.Address(), request);
    REQUIRE(call->response);
    CHECK(call->response->body().empty());
  }
  GIVEN("a response with status 204")
  {
    ScriptedPeer peer(fixture.context,
                      { "HTTP/1.1 204 No Content\r\n" + kLength });
    auto call = fixture.Call(peer.Address(), "1");
    REQUIRE(call->response);
    CHECK(call->response->body().empty());
  }
}

// Guards against a response whose head consists of those of two: a repeated
// response was broken off inside its head, and the rest of the line took in the
// status line of the next one.
SCENARIO("A repeated response that ends inside its head does not join the next "
         "one",
         "[http][mixed]")
{
  CallFixture fixture;
  const std::string kHead = "HTTP/1.1 503 Service Unavailable\r\n"
                            "X-Not-Executed: 1\r\nServer: some\r\n";
  for (const auto& repeated :
       { kHead + "Content-Length: 0\r\n\r\n",
         kHead + "X-Id: 1\r\nContent-Length: 0\r\n\r\n" }) {
    for (size_t size = 1; size <= repeated.size(); ++size) {
      ScriptedPeer peer(
        fixture.context,
        { ResponseText("1", "one"),
          repeated.substr(0, size) + ResponseText("2", "two") });
      REQUIRE(fixture.Call(peer.Address(), "1")->response);
      auto second = fixture.Call(peer.Address(), "2");
      INFO("broken off after " << size << " bytes");
      if (second->response) {
        CHECK(second->response->result_int() == 200);
        CHECK(second->response->body() == "two");
        CHECK(second->response->count("X-Not-Executed") == 0);
      } else {
        REQUIRE(second->failure);
        CHECK(second->failure->stage == CallStage::Sent);
        CHECK_FALSE(second->failure->timedOut);
      }
      fixture.pool.CloseIdle(peer.Address());
    }
  }
}

// Guards against a response whose head is broken off and that looks complete.
SCENARIO("A response that ends inside its head is not a response",
         "[http][mixed]")
{
  CallFixture fixture;
  const std::string kWhole = ResponseText("1", "one");
  auto end = kWhole.find("\r\n\r\n") + 4;

  for (bool reused : { false, true }) {
    GIVEN(std::string(reused ? "a used connection" : "a new connection"))
    {
      for (size_t size = 1; size < end; ++size) {
        std::vector<std::string> responses{ kWhole.substr(0, size) };
        if (reused) {
          responses.insert(responses.begin(), ResponseText("0", "zero"));
        }
        ScriptedPeer peer(fixture.context, responses);
        if (reused) {
          REQUIRE(fixture.Call(peer.Address(), "0")->response);
        }
        peer.closeAfterResponse = true;
        auto call = fixture.Call(peer.Address(), "1");
        CHECK_FALSE(call->response);
        REQUIRE(call->failure);
        CHECK(call->failure->stage == CallStage::Sent);
        fixture.pool.CloseIdle(peer.Address());
      }
    }
  }
}

SCENARIO("A call ends although its peer sends without end", "[http][endless]")
{
  CallFixture fixture;
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

  for (const auto& [name, begin, repeated] :
       { std::tuple("a status line", std::string("HTTP/1.1 200 "), "x"),
         std::tuple("a header line", head + "A: ", "x"),
         std::tuple("header lines", head, "A: b\r\n"),
         std::tuple("bytes that are no response", std::string(), "x"),
         std::tuple("empty lines", std::string(), "\r\n"),
         std::tuple(
           "interim responses", std::string(), "HTTP/1.1 100 Continue\r\n\r\n"),
         std::tuple("responses to other requests",
                    std::string(),
                    "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 0"
                    "\r\n\r\n"),
         std::tuple("a body without a length", head + "\r\n", "x"),
         std::tuple("chunks", head + chunked, "1\r\nx\r\n"),
         std::tuple("a chunk's extension", head + chunked + "1;", "x"),
         std::tuple("trailers", head + chunked + "0\r\n", "A: b\r\n") }) {
    GIVEN(std::string("a peer that sends without end ") + name)
    {
      EndlessPeer peer(fixture.context, begin, repeated);
      auto call = fixture.Call(peer.Address(), "1", milliseconds(300));
      THEN("the call fails, and closes the connection")
      {
        CHECK_FALSE(call->ended);
        CHECK_FALSE(call->response);
        REQUIRE(call->failure);
        CHECK(call->failure->stage != CallStage::NotSent);
        fixture.RunUntil([&] { return peer.clientDisconnected; });
        CHECK(peer.clientDisconnected);
      }
    }
  }
  GIVEN("a peer that sends without end after a complete response")
  {
    EndlessPeer peer(fixture.context, ResponseText("1", "one"), "x");
    auto call = fixture.Call(peer.Address(), "1");
    THEN("the response is complete, and its connection is not used again")
    {
      REQUIRE(call->response);
      CHECK(call->response->body() == "one");
      fixture.context.run_for(milliseconds(20));
      CHECK(fixture.pool.Take(peer.Address(), BootClock::now()) == nullptr);
    }
  }
  GIVEN("a long response whose timeout ends when it begins")
  {
    EndlessPeer peer(fixture.context,
                     head + chunked,
                     "400\r\n" + std::string(1024, 'x') + "\r\n");
    CallOptions options;
    options.timeout = milliseconds(300);
    options.stallTimeout = milliseconds(300);
    std::optional<Result<HttpResponse>> result;
    Fetch(fixture.pool,
          peer.Address(),
          RequestOf("1"),
          options,
          [&](Result<HttpResponse> aResult) { result = std::move(aResult); });
    fixture.RunUntil([&] { return result.has_value(); });
    THEN("it fails at the size limit, and the connection is closed")
    {
      REQUIRE(result);
      CHECK_FALSE(*result);
      fixture.RunUntil([&] { return peer.clientDisconnected; });
      CHECK(peer.clientDisconnected);
    }
  }
}

// Guards against a process that runs out of memory: the bytes of a chunk's
// extension or of trailers were kept until the call timed out.
SCENARIO(
  "A call ends when what precedes or frames its response exceeds a limit",
  "[http][endless]")
{
  CallFixture fixture;
  const std::string chunked = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n";
  for (const auto& [name, begin, repeated] :
       { std::tuple("a chunk's extension", chunked + "1;", "x"),
         std::tuple("the extension of the last chunk", chunked + "0;", "x"),
         std::tuple("trailers", chunked + "1\r\nx\r\n0\r\n", "A: b\r\n"),
         std::tuple("a trailer", chunked + "0\r\nA: ", "x"),
         std::tuple("interim responses",
                    std::string(),
                    "HTTP/1.1 100 Continue\r\n\r\n") }) {
    GIVEN(std::string("a peer that sends without end ") + name)
    {
      // Bytes that the sockets of both sides hold are written, too.
      constexpr size_t kMaxWritten = 16 * 1024 * 1024;
      EndlessPeer peer(fixture.context, begin, repeated);
      auto call = fixture.Call(peer.Address(), "1", seconds(2));
      CHECK_FALSE(call->ended);
      REQUIRE(call->failure);
      CHECK_FALSE(call->failure->timedOut);
      fixture.RunUntil([&] { return peer.clientDisconnected; });
      CHECK(peer.written < kMaxWritten);
    }
  }
  GIVEN("a response in chunks whose extensions and trailers are short")
  {
    const std::string body = "1;a=b\r\nx\r\n0;a=b\r\nA: b\r\n\r\n";
    EndlessPeer peer(fixture.context, chunked + body, "");
    auto call = fixture.Call(peer.Address(), "1", seconds(2));
    CHECK(call->ended);
  }
}

SCENARIO("A server responds to each request on its connection", "[http]")
{
  ServerFixture fixture;

  GIVEN("two requests, one after the other")
  {
    fixture.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(fixture.exchanges.size() == 1);
    fixture.exchanges[0]->Respond(TextResponse(200, "one"));
    CHECK(fixture.Run());
    fixture.Send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(fixture.exchanges.size() == 2);
    CHECK(fixture.exchanges[1]->request.target() == "/2");
    CHECK(fixture.received.find("one") != std::string::npos);
  }
  GIVEN("two requests at once")
  {
    fixture.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: "
                 "a\r\n\r\n");
    THEN("the second is read after the response to the first")
    {
      REQUIRE(fixture.exchanges.size() == 1);
      fixture.exchanges[0]->Respond(TextResponse(200, "one"));
      fixture.Run();
      REQUIRE(fixture.exchanges.size() == 2);
      CHECK(fixture.exchanges[1]->request.target() == "/2");
    }
  }
  GIVEN("a client that disconnects before its response")
  {
    bool notified = false;
    fixture.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    fixture.exchanges[0]->onClientDisconnect = [&](ConnectionEnd) {
      notified = true;
    };
    fixture.client.close();
    fixture.context.restart();
    fixture.context.run_for(milliseconds(30));
    THEN("the handler is notified")
    {
      CHECK(notified);
    }
  }
  GIVEN("a body in chunks")
  {
    fixture.Send("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    REQUIRE(fixture.exchanges.size() == 1);
    CHECK(fixture.exchanges[0]->request.body() == "abc");
  }
  GIVEN("a response in chunks that is aborted")
  {
    fixture.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    ResponseHeaders headers;
    headers.message.result(200);
    fixture.exchanges[0]->StartResponse(headers);
    std::string chunk = "abc";
    fixture.exchanges[0]->WriteChunk(asio::buffer(chunk), [] {});
    fixture.Run();
    fixture.exchanges[0]->Abort();
    THEN("the client sees that it is incomplete")
    {
      CHECK_FALSE(fixture.Run());
      CHECK(fixture.received.find("abc") != std::string::npos);
      CHECK(fixture.received.find("\r\n0\r\n") == std::string::npos);
    }
  }
  GIVEN("HEAD requests")
  {
    // Guards against a body behind the response to HEAD, which the client took
    // for the beginning of the next response.
    const std::string kHead = "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n";
    fixture.Send(kHead);
    REQUIRE(fixture.exchanges.size() == 1);
    fixture.exchanges[0]->Respond(TextResponse(404, "no-route\n"));
    fixture.Run();
    fixture.Send(kHead);
    REQUIRE(fixture.exchanges.size() == 2);
    auto response = TextResponse(200, "");
    response.content_length(1000);
    fixture.exchanges[1]->Respond(response);
    CHECK(fixture.Run());
    THEN("the responses have no body, and keep the length that they state")
    {
      CHECK(fixture.received.find("no-route") == std::string::npos);
      auto second = fixture.received.find("HTTP/1.1 200");
      REQUIRE(second != std::string::npos);
      CHECK(fixture.received.substr(second - 4, 4) == "\r\n\r\n");
      CHECK(fixture.received.find("Content-Length: 1000", second) !=
            std::string::npos);
    }
  }
  GIVEN("responses with a status that allows no body")
  {
    for (unsigned status : { 204, 304 }) {
      fixture.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
      fixture.exchanges.back()->Respond(TextResponse(status, "text"));
      CHECK(fixture.Run());
    }
    CHECK(fixture.received.find("text\r") == std::string::npos);
    CHECK(fixture.received.find("text") == fixture.received.find("text/plain"));
    CHECK(fixture.received.substr(fixture.received.size() - 4) == "\r\n\r\n");
  }
  GIVEN("an HTTP/1.0 client and a response without a length")
  {
    // Guards against chunks, which such a client takes for the body.
    fixture.Send("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    REQUIRE(fixture.exchanges.size() == 1);
    fixture.exchanges[0]->StartResponse({});
    fixture.exchanges[0]->WriteChunk(asio::buffer("hello", 5), [] {});
    fixture.Run();
    THEN("the body ends with the connection")
    {
      fixture.exchanges[0]->EndResponse();
      CHECK_FALSE(fixture.Run());
      CHECK(fixture.received.substr(fixture.received.size() - 9) ==
            "\r\n\r\nhello");
    }
    THEN("a response that is broken off resets the connection")
    {
      fixture.exchanges[0]->Abort();
      fixture.context.run_for(milliseconds(30));
      char byte = 0;
      boost::system::error_code error;
      fixture.client.read_some(asio::buffer(&byte, 1), error);
      CHECK(error == asio::error::connection_reset);
    }
  }
  GIVEN("bytes that are not a request")
  {
    fixture.Send("garbled\r\n\r\n");
    THEN("the response is 400 and the connection is closed")
    {
      CHECK(fixture.received.find("HTTP/1.1 400") == 0);
      CHECK(fixture.exchanges.empty());
    }
  }
  GIVEN("a HEAD request with headers above the size limit")
  {
    fixture.Send("HEAD /a HTTP/1.1\r\nHost: " + std::string(20000, 'h') +
                 "\r\n\r\n");
    fixture.Run();
    CHECK(fixture.received.substr(fixture.received.size() - 4) == "\r\n\r\n");
  }
  GIVEN("headers above the size limit")
  {
    fixture.Send("GET /1 HTTP/1.1\r\nHost: a\r\nX: " + std::string(20000, 'x') +
                 "\r\n\r\n");
    CHECK(fixture.received.find("HTTP/1.1 431") == 0);
  }
  GIVEN("a body above the size limit")
  {
    fixture.Send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: "
                 "99999999\r\n\r\n");
    CHECK(fixture.received.find("HTTP/1.1 413") == 0);
  }
  GIVEN("a server that stops accepting during a request")
  {
    fixture.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    fixture.server.StopAccepting();
    THEN("the response is sent and the connection is closed")
    {
      fixture.exchanges[0]->Respond(TextResponse(200, "one"));
      fixture.Run();
      CHECK(fixture.received.find("Connection: close") != std::string::npos);
      CHECK(fixture.received.find("one") != std::string::npos);
    }
  }
  GIVEN("a server that stops accepting while the connection is idle")
  {
    fixture.Run();
    fixture.server.StopAccepting();
    THEN("the connection is closed, so that no later request is lost")
    {
      CHECK_FALSE(fixture.Run());
    }
  }
  // The next two guard against requests that are cut off without a response in
  // a planned stop: they had been sent, but the server had not read them yet.
  GIVEN("a request that has not been read when the server stops accepting")
  {
    fixture.Run();
    asio::write(
      fixture.client,
      asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")));
    fixture.server.StopAccepting();
    THEN("it is still pending, and answered before the connection is closed")
    {
      CHECK(fixture.server.HasPendingResponses());
      fixture.Run();
      REQUIRE(fixture.exchanges.size() == 1);
      fixture.exchanges[0]->Respond(TextResponse(200, "one"));
      fixture.Run();
      CHECK(fixture.received.find("Connection: close") != std::string::npos);
      CHECK(fixture.received.find("one") != std::string::npos);
      CHECK_FALSE(fixture.server.HasPendingResponses());
    }
  }
  // The next guards against a request that is reset by the close of its
  // connection, so that its sender cannot know whether it was run.
  GIVEN("an idle connection that gets a final response when the server stops")
  {
    fixture.Run();
    fixture.server.DismissClients(TextResponse(503, "stopping"));
    CHECK(fixture.server.HasDismissedClients());
    WHEN("the client has just sent a request")
    {
      fixture.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
      THEN("it gets the final response, and the request is not handled")
      {
        CHECK(fixture.received.find("stopping") != std::string::npos);
        CHECK(fixture.received.find("Connection: close") != std::string::npos);
        CHECK(fixture.exchanges.empty());
        CHECK_FALSE(fixture.server.HasPendingResponses());
      }
    }
    WHEN("another client connects")
    {
      Tcp::socket late(fixture.context);
      late.connect(fixture.server.Address());
      asio::write(
        late, asio::buffer(std::string("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")));
      fixture.Run();
      THEN("it gets the final response as well, until all are closed")
      {
        fixture.server.CloseAll();
        std::string received;
        boost::system::error_code error;
        asio::read(late, asio::dynamic_buffer(received), error);
        CHECK(received.find("stopping") != std::string::npos);
        CHECK(fixture.exchanges.empty());
        CHECK_FALSE(fixture.server.HasDismissedClients());
      }
    }
    WHEN("the client closes the connection")
    {
      fixture.client.close();
      fixture.context.restart();
      fixture.context.run_for(milliseconds(30));
      THEN("the server need not wait for it any more")
      {
        CHECK_FALSE(fixture.server.HasDismissedClients());
      }
    }
  }
  // Guards against a connection that is reset although its request was sent
  // before the stop: it had been accepted, but its session had not started.
  GIVEN("a connection that is accepted in the step in which the server stops")
  {
    Tcp::socket late(fixture.context);
    late.connect(fixture.server.Address());
    asio::write(
      late, asio::buffer(std::string("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")));
    fixture.context.poll_one();
    fixture.server.StopAccepting();
    THEN("its request is read and answered")
    {
      fixture.Run();
      REQUIRE(fixture.exchanges.size() == 1);
      fixture.exchanges[0]->Respond(TextResponse(200, "two"));
      fixture.Run();
      std::string received;
      boost::system::error_code error;
      asio::read(late, asio::dynamic_buffer(received), error);
      CHECK(error == asio::error::eof);
      CHECK(received.find("two") != std::string::npos);
    }
  }
  GIVEN("a connection that has not been accepted when the server stops")
  {
    fixture.Run();
    Tcp::socket late(fixture.context);
    auto address = fixture.server.Address();
    late.connect(address);
    asio::write(
      late, asio::buffer(std::string("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")));
    fixture.server.StopAccepting();
    THEN("its request is read and answered")
    {
      fixture.Run();
      REQUIRE(fixture.exchanges.size() == 1);
      fixture.exchanges[0]->Respond(TextResponse(200, "two"));
      fixture.Run();
      std::string received;
      boost::system::error_code error;
      asio::read(late, asio::dynamic_buffer(received), error);
      CHECK(error == asio::error::eof);
      CHECK(received.find("two") != std::string::npos);
    }
    THEN("later connections are refused")
    {
      Tcp::socket refused(fixture.context);
      boost::system::error_code error;
      fixture.Run();
      refused.connect(address, error);
      CHECK(error == asio::error::connection_refused);
    }
  }
  // Guards against requests that are reset by the idle timeout of their
  // connection: they had arrived, but the process had not read them yet.
  GIVEN("a request that has not been read when the idle timeout has passed")
  {
    fixture.Run();
    asio::write(
      fixture.client,
      asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")));
    fixture.server.CloseTimedOut(BootClock::now() + seconds(61));
    THEN("it is read and answered")
    {
      CHECK(fixture.Run());
      REQUIRE(fixture.exchanges.size() == 1);
      fixture.exchanges[0]->Respond(TextResponse(200, "one"));
      fixture.Run();
      CHECK(fixture.received.find("one") != std::string::npos);
    }
  }
  GIVEN("a long response to a client that reads slowly")
  {
    constexpr size_t kLong = 32 * 1024 * 1024;
    fixture.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(fixture.server.HasPendingResponses());
    fixture.exchanges[0]->Respond(TextResponse(200, std::string(kLong, 'x')));
    fixture.exchanges.clear();
    fixture.Run();
    THEN("the response is pending until it is written completely")
    {
      CHECK(fixture.server.HasPendingResponses());
      for (int round = 0; fixture.received.size() < kLong && round < 5000;
           ++round) {
        fixture.context.restart();
        fixture.context.run_for(std::chrono::microseconds(200));
        fixture.ReadAvailable();
      }
      CHECK(fixture.received.size() > kLong);
      fixture.Run();
      CHECK_FALSE(fixture.server.HasPendingResponses());
    }
  }
  GIVEN("an incomplete request when the server closes all connections")
  {
    fixture.Send("GET /1 HTTP/1.1\r\nHo");
    fixture.server.CloseAll();
    THEN("the connection is closed and no request reaches the handler")
    {
      CHECK_FALSE(fixture.Run());
      CHECK(fixture.exchanges.empty());
    }
  }
}

// Guards against requests that are passed on although their clients left while
// the connection waited to be accepted.
// Guards against a request that is run without its body, which is then run as a
// further request: with another transfer coding, the end of the body is
// unknown.
SCENARIO("A request with an unknown transfer coding is refused",
         "[http][framing]")
{
  ServerFixture fixture;
  const std::string inner = "DELETE /inner HTTP/1.1\r\nHost: a\r\n\r\n";

  for (const std::string fields : { "Transfer-Encoding: gzip\r\n",
                                    "Transfer-Encoding: identity\r\n",
                                    "Transfer-Encoding: chunked, gzip\r\n",
                                    "Transfer-Encoding: gzip, chunked\r\n",
                                    "Transfer-Encoding: xchunked\r\n",
                                    "Transfer-Encoding:\r\n",
                                    "Transfer-Encoding: chunked\r\n"
                                    "Transfer-Encoding: gzip\r\n",
                                    "Transfer-Encoding: chunked\r\n"
                                    "Transfer-Encoding: chunked\r\n" }) {
    GIVEN(fields)
    {
      std::string text = "POST /outer HTTP/1.1\r\nHost: a\r\n";
      text.append(fields).append("\r\n").append(inner);
      fixture.Send(text);
      fixture.Run();
      CHECK(fixture.exchanges.empty());
      CHECK(fixture.received.compare(0, 12, "HTTP/1.1 400") == 0);
      CHECK(fixture.received.rfind("HTTP/1.1") == 0); // One response.
    }
  }
  GIVEN("a body in chunks")
  {
    fixture.Send("POST /outer HTTP/1.1\r\nHost: a\r\n"
                 "Transfer-Encoding: Chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n");
    REQUIRE(fixture.exchanges.size() == 1);
    CHECK(fixture.exchanges[0]->request.body() == "x");
  }
}

SCENARIO("A request that is read when its client has left is not passed on",
         "[disconnect]")
{
  ServerFixture fixture;
  const std::string kRequest = "POST / HTTP/1.1\r\nHost: a\r\n";

  GIVEN("a client that leaves before its connection is accepted")
  {
    asio::write(fixture.client,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    fixture.client.close();
    fixture.context.run_for(milliseconds(30));
    CHECK(fixture.exchanges.empty());
  }
  GIVEN("a client that leaves after it has sent a body")
  {
    fixture.Send(kRequest + "Content-Length: 4\r\n\r\nab");
    asio::write(fixture.client, asio::buffer(std::string("cd")));
    fixture.client.close();
    fixture.context.run_for(milliseconds(30));
    CHECK(fixture.exchanges.empty());
  }
  GIVEN("a client that leaves after the next request of its connection")
  {
    fixture.Send(kRequest + "Content-Length: 0\r\n\r\n");
    REQUIRE(fixture.exchanges.size() == 1);
    fixture.exchanges[0]->Respond(TextResponse(200, "one"));
    fixture.Run();
    asio::write(fixture.client,
                asio::buffer(kRequest + "Content-Length: 0\r\n\r\n"));
    fixture.client.close();
    fixture.context.restart();
    fixture.context.run_for(milliseconds(30));
    CHECK(fixture.exchanges.size() == 1);
  }
}
