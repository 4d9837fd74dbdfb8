#include <thread>

#include <catch2/catch.hpp>

#include "http/http.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A peer that plays a script: it reads a request and writes given bytes. */
class ScriptedPeer
{
public:
  ScriptedPeer(asio::io_context& aContext, std::vector<std::string> aAnswers)
    : acceptor(aContext, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , answers(std::move(aAnswers))
  {
    this->Accept();
  }

  Tcp::endpoint Address() const { return this->acceptor.local_endpoint(); }

  bool closeAfterAnswer = false;
  int connections = 0;
  int requests = 0;
  bool clientGone = false;

private:
  struct Peer
  {
    explicit Peer(Tcp::socket aSocket)
      : socket(std::move(aSocket))
    {
    }
    Tcp::socket socket;
    std::string text;
  };

  void Accept()
  {
    this->acceptor.async_accept(
      [this](boost::system::error_code aError, Tcp::socket aSocket) {
        if (!aError) {
          ++this->connections;
          this->Read(std::make_shared<Peer>(std::move(aSocket)));
          this->Accept();
        }
      });
  }

  void Read(const std::shared_ptr<Peer>& aPeer)
  {
    asio::async_read_until(
      aPeer->socket,
      asio::dynamic_buffer(aPeer->text),
      "\r\n\r\n",
      [this, aPeer](boost::system::error_code aError, size_t aSize) {
        if (aError) {
          this->clientGone = true;
          return;
        }
        aPeer->text.erase(0, aSize);
        std::string answer =
          static_cast<size_t>(this->requests) < this->answers.size()
            ? this->answers[this->requests]
            : "";
        ++this->requests;
        asio::write(aPeer->socket, asio::buffer(answer));
        if (this->closeAfterAnswer) {
          return;
        }
        this->Read(aPeer);
      });
  }

  Tcp::acceptor acceptor;
  std::vector<std::string> answers;
};

/** Keeps what a call brought. */
struct Gathered : ResponseReceiver
{
  std::optional<HttpResponse> whole;
  std::optional<ResponseHeaders> head;
  std::string pieces;
  bool ended = false;
  std::optional<CallFailure> failure;

  void OnCompleteResponse(HttpResponse aResponse) override
  {
    this->whole = aResponse;
  }
  void OnHeaders(ResponseHeaders aHeaders) override { this->head = aHeaders; }
  void OnBodyChunk(asio::const_buffer aChunk,
                   std::function<void()> aNext) override
  {
    this->pieces.append(static_cast<const char*>(aChunk.data()), aChunk.size());
    aNext();
  }
  void OnBodyEnd() override { this->ended = true; }
  void OnFailure(const CallFailure& aFailure) override
  {
    this->failure = aFailure;
  }
  bool Done() const
  {
    return this->whole || this->ended || this->failure.has_value();
  }
};

HttpRequest
RequestOf(const std::string& aId)
{
  HttpRequest request(http::verb::get, "/x", 11);
  request.set(http::field::host, "a.example");
  request.set("X-Id", aId);
  return request;
}

std::string
Answer(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nX-Id: " + aId +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

/** One context with a pool, run by hand. */
struct Fixture
{
  asio::io_context context{ 1 };
  ConnectionPool pool{ context };

  std::shared_ptr<Gathered> Call(const Tcp::endpoint& aPeer,
                                 const std::string& aId,
                                 Duration aTimeout = seconds(2))
  {
    CallOptions options;
    options.timeout = aTimeout;
    options.correlationField = "X-Id";
    auto gathered = std::make_shared<Gathered>();
    UpstreamCall::Start(this->pool, aPeer, RequestOf(aId), options, gathered);
    this->RunUntil([&] { return gathered->Done(); });
    return gathered;
  }

  void RunUntil(const std::function<bool()>& aDone)
  {
    auto end = std::chrono::steady_clock::now() + seconds(5);
    while (!aDone() && std::chrono::steady_clock::now() < end) {
      this->context.run_for(milliseconds(2));
    }
  }
};

} // namespace

SCENARIO("A call brings the whole answer to its own request", "[http]")
{
  Fixture fixture;

  GIVEN("two answers on a kept connection")
  {
    ScriptedPeer peer(fixture.context,
                      { Answer("1", "one"), Answer("2", "two") });
    auto first = fixture.Call(peer.Address(), "1");
    auto second = fixture.Call(peer.Address(), "2");
    REQUIRE(first->whole);
    REQUIRE(second->whole);
    CHECK(first->whole->body() == "one");
    CHECK(second->whole->body() == "two");
    CHECK(peer.connections == 1);
  }
  GIVEN("a second answer to the first request")
  {
    ScriptedPeer peer(
      fixture.context,
      { Answer("1", "one") + Answer("1", "again"), Answer("2", "two") });
    auto first = fixture.Call(peer.Address(), "1");
    auto second = fixture.Call(peer.Address(), "2");
    THEN("it reaches nobody")
    {
      REQUIRE(first->whole);
      CHECK(first->whole->body() == "one");
      REQUIRE(second->whole);
      CHECK(second->whole->body() == "two");
    }
  }
  GIVEN("an answer to an earlier request before the own one")
  {
    ScriptedPeer peer(fixture.context,
                      { Answer("0", "late") + Answer("1", "one") });
    auto call = fixture.Call(peer.Address(), "1");
    THEN("it is passed over")
    {
      REQUIRE(call->whole);
      CHECK(call->whole->body() == "one");
    }
  }
  GIVEN("an answer that ends early")
  {
    ScriptedPeer peer(
      fixture.context,
      { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nfive5" });
    peer.closeAfterAnswer = true;
    auto call = fixture.Call(peer.Address(), "1");
    THEN("it does not count as an answer")
    {
      CHECK_FALSE(call->whole);
      REQUIRE(call->failure);
      CHECK(call->failure->stage == CallStage::ResponseStarted);
    }
  }
  GIVEN("bytes that are no answer")
  {
    ScriptedPeer peer(fixture.context, { "garbled\r\n\r\n" });
    auto call = fixture.Call(peer.Address(), "1");
    THEN("the request may have run")
    {
      REQUIRE(call->failure);
      CHECK(call->failure->stage == CallStage::Sent);
    }
  }
  GIVEN("a long answer in chunks")
  {
    std::string body(200000, 'x');
    ScriptedPeer peer(fixture.context,
                      { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: "
                        "chunked\r\n\r\n30d40\r\n" +
                        body + "\r\n0\r\n\r\n" });
    auto call = fixture.Call(peer.Address(), "1");
    CHECK(call->ended);
    CHECK(call->pieces == body);
  }
  GIVEN("a long answer without a length that is cut")
  {
    ScriptedPeer peer(fixture.context,
                      { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: "
                        "chunked\r\n\r\n30d40\r\nxxx" });
    peer.closeAfterAnswer = true;
    auto call = fixture.Call(peer.Address(), "1");
    CHECK_FALSE(call->ended);
    REQUIRE(call->failure);
  }
  GIVEN("a peer that never answers")
  {
    ScriptedPeer peer(fixture.context, { "" });
    auto call = fixture.Call(peer.Address(), "1", milliseconds(100));
    THEN("the call ends with its time, and the peer is told")
    {
      REQUIRE(call->failure);
      CHECK(call->failure->stage == CallStage::Sent);
      fixture.RunUntil([&] { return peer.clientGone; });
      CHECK(peer.clientGone);
    }
  }
  GIVEN("a call without any time left")
  {
    // Found on a played day: a call whose time was over by the time that it was
    // connected was sent nevertheless, and counted as not sent (REFUSED
    // broken).
    ScriptedPeer peer(fixture.context, { Answer("0", "zero"), "" });
    REQUIRE(fixture.Call(peer.Address(), "0")->whole);
    auto call = fixture.Call(peer.Address(), "1", Duration(0));
    fixture.context.run_for(milliseconds(20));
    THEN("nothing is sent")
    {
      CHECK(peer.requests == 1);
      REQUIRE(call->failure);
      CHECK(call->failure->stage == CallStage::NotSent);
    }
  }
  GIVEN("nobody who listens")
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
  GIVEN("a kept connection that the peer closed meanwhile")
  {
    auto peer = std::make_unique<ScriptedPeer>(
      fixture.context,
      std::vector<std::string>{ Answer("1", "one"), Answer("2", "two") });
    peer->closeAfterAnswer = true;
    REQUIRE(fixture.Call(peer->Address(), "1")->whole);
    fixture.context.run_for(milliseconds(20));
    auto second = fixture.Call(peer->Address(), "2");
    THEN("a new one is opened")
    {
      REQUIRE(second->whole);
      CHECK(second->whole->body() == "two");
      CHECK(peer->connections == 2);
    }
  }
}

namespace {

/** A server and a plain client socket to it. */
struct ServerFixture
{
  asio::io_context context{ 1 };
  std::vector<std::shared_ptr<Exchange>> exchanges;
  HttpServer server{ context, [this](std::shared_ptr<Exchange> aExchange) {
                      this->exchanges.push_back(std::move(aExchange));
                    } };
  Tcp::socket client{ context };
  std::string received;

  ServerFixture()
  {
    REQUIRE(
      this->server.Listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
    this->client.connect(this->server.Address());
    this->client.non_blocking(true);
  }

  void Send(const std::string& aText)
  {
    asio::write(this->client, asio::buffer(aText));
    this->Run();
  }

  /** Lets the server work and takes what it wrote. @return Whether the
   * connection is still open. */
  bool Run()
  {
    this->context.restart();
    this->context.run_for(milliseconds(30));
    return this->Take();
  }

  /** Takes what the server wrote. @return Whether the connection is open. */
  bool Take()
  {
    char bytes[65536];
    boost::system::error_code error;
    auto size = this->client.read_some(asio::buffer(bytes), error);
    this->received.append(bytes, size);
    return !error || error == asio::error::would_block;
  }
};

} // namespace

SCENARIO("A server answers each request on its connection", "[http]")
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
    THEN("the second is read once the first is answered")
    {
      REQUIRE(fixture.exchanges.size() == 1);
      fixture.exchanges[0]->Respond(TextResponse(200, "one"));
      fixture.Run();
      REQUIRE(fixture.exchanges.size() == 2);
      CHECK(fixture.exchanges[1]->request.target() == "/2");
    }
  }
  GIVEN("a client that leaves before its answer")
  {
    bool gone = false;
    fixture.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    fixture.exchanges[0]->onClientDisconnect = [&] { gone = true; };
    fixture.client.close();
    fixture.context.restart();
    fixture.context.run_for(milliseconds(30));
    THEN("the handler is told")
    {
      CHECK(gone);
    }
  }
  GIVEN("a body in chunks")
  {
    fixture.Send("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    REQUIRE(fixture.exchanges.size() == 1);
    CHECK(fixture.exchanges[0]->request.body() == "abc");
  }
  GIVEN("an answer in pieces that breaks off")
  {
    fixture.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    ResponseHeaders head;
    head.message.result(200);
    fixture.exchanges[0]->StartResponse(head);
    std::string piece = "abc";
    fixture.exchanges[0]->WriteChunk(asio::buffer(piece), [] {});
    fixture.Run();
    fixture.exchanges[0]->Abort();
    THEN("it does not look complete")
    {
      CHECK_FALSE(fixture.Run());
      CHECK(fixture.received.find("abc") != std::string::npos);
      CHECK(fixture.received.find("\r\n0\r\n") == std::string::npos);
    }
  }
  GIVEN("bytes that are no request")
  {
    fixture.Send("garbled\r\n\r\n");
    THEN("it is answered 400 and closed")
    {
      CHECK(fixture.received.find("HTTP/1.1 400") == 0);
      CHECK(fixture.exchanges.empty());
    }
  }
  GIVEN("a header beyond the limit")
  {
    fixture.Send("GET /1 HTTP/1.1\r\nHost: a\r\nX: " + std::string(20000, 'x') +
                 "\r\n\r\n");
    CHECK(fixture.received.find("HTTP/1.1 431") == 0);
  }
  GIVEN("a body beyond the limit")
  {
    fixture.Send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: "
                 "99999999\r\n\r\n");
    CHECK(fixture.received.find("HTTP/1.1 413") == 0);
  }
  GIVEN("a server that is about to stop")
  {
    fixture.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    fixture.server.StopAccepting();
    THEN("the running request is answered, and the connection then closed")
    {
      fixture.exchanges[0]->Respond(TextResponse(200, "one"));
      fixture.Run();
      CHECK(fixture.received.find("Connection: close") != std::string::npos);
      CHECK(fixture.received.find("one") != std::string::npos);
    }
  }
  GIVEN("a server that stops while the connection idles")
  {
    fixture.Run();
    fixture.server.StopAccepting();
    THEN("the connection is closed, so that no request is cut later")
    {
      CHECK_FALSE(fixture.Run());
    }
  }
  GIVEN("a long answer to a client that reads slowly")
  {
    constexpr size_t kLong = 32 * 1024 * 1024;
    fixture.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(fixture.server.HasPendingResponses());
    fixture.exchanges[0]->Respond(TextResponse(200, std::string(kLong, 'x')));
    fixture.exchanges.clear();
    fixture.Run();
    THEN("the server is not done before the whole answer is out")
    {
      CHECK(fixture.server.HasPendingResponses());
      for (int round = 0; fixture.received.size() < kLong && round < 5000;
           ++round) {
        fixture.context.restart();
        fixture.context.run_for(std::chrono::microseconds(200));
        fixture.Take();
      }
      CHECK(fixture.received.size() > kLong);
      fixture.Run();
      CHECK_FALSE(fixture.server.HasPendingResponses());
    }
  }
  GIVEN("a part of a request when the server closes all connections")
  {
    fixture.Send("GET /1 HTTP/1.1\r\nHo");
    fixture.server.CloseAll();
    THEN("the connection is closed and the request never comes in")
    {
      CHECK_FALSE(fixture.Run());
      CHECK(fixture.exchanges.empty());
    }
  }
}
