#include <catch2/catch.hpp>

#include "http/callfixture.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

/** A call that uploads a long body to a server that does not read it, so that
 * the request is still being written when the server responds. The test plays
 * the server. */
class UploadFixture : public CallFixture
{
public:
  UploadFixture()
    : acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , server(context)
  {
    HttpRequest request(http::verb::post, "/x", 11);
    request.set(http::field::host, "a.example");
    request.set("X-Id", "1");
    request.body() = std::string(kUploadBytes, 'x');
    request.prepare_payload();
    CallOptions options;
    options.timeout = std::chrono::seconds(5);
    options.correlationField = "X-Id";
    options.mayRepeatResponses = true;
    options.mayProcessPart = true;
    UpstreamCall::Start(this->pool,
                        this->acceptor.local_endpoint(),
                        std::move(request),
                        options,
                        this->collected);
    this->acceptor.async_accept(
      this->server,
      [this](boost::system::error_code aError) { this->accepted = !aError; });
    this->RunUntil(
      [&] { return this->accepted && this->server.available() > 0; });
    // Until the system takes no more of the request.
    this->context.run_for(std::chrono::milliseconds(20));
  }

  void Write(const std::string& aText)
  {
    asio::write(this->server, asio::buffer(aText));
  }

  /** Writes the beginning of the response, and waits until the caller has it.
   */
  void Begin(const std::string& aFields)
  {
    this->Write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + aFields + "\r\n");
    this->RunUntil([&] { return this->collected->headers.has_value(); });
    REQUIRE(this->collected->headers);
  }

  /** Closes the connection, which resets it, since bytes are unread. */
  void Close() { this->server.close(); }

  void Reset()
  {
    this->server.set_option(asio::socket_base::linger(true, 0));
    this->server.close();
  }

  /** Ends the server's direction of the connection. */
  void Shutdown() { this->server.shutdown(Tcp::socket::shutdown_send); }

  /** Reads the request until it has so many bytes, or the caller closes the
   * connection.
   * @return Number of bytes. */
  size_t ReadBytes(size_t aLeast)
  {
    std::string bytes(256 * 1024, '\0');
    size_t total = 0;
    this->server.non_blocking(true);
    this->RunUntil([&] {
      boost::system::error_code error;
      while (total < aLeast && !error) {
        total += this->server.read_some(asio::buffer(bytes), error);
      }
      return total >= aLeast || error != asio::error::would_block;
    });
    return total;
  }

  void RunUntilComplete()
  {
    this->RunUntil([&] { return this->collected->IsComplete(); });
  }

  static constexpr size_t kUploadBytes = 32 * 1024 * 1024;
  std::shared_ptr<CollectedResponse> collected =
    std::make_shared<CollectedResponse>();

private:
  Tcp::acceptor acceptor;
  Tcp::socket server;
  bool accepted = false;
};

/** Long enough that a part of it is passed on before the response ends. */
const std::string kPart(100000, 'p');

} // namespace

// Guards against a part of a response that is taken as complete: the reset of
// the connection was reported to the write of the request, and the read found
// the same as at a regular end.
SCENARIO("A response that is broken off while its request is being written is "
         "not complete",
         "[http][early]")
{
  for (bool withReset : { true, false }) {
    for (bool partIsRead : { true, false }) {
      for (const auto& [name, fields, framing] :
           { std::tuple("without a length", "", ""),
             std::tuple("with a length", "Content-Length: 999999\r\n", ""),
             std::tuple(
               "in chunks", "Transfer-Encoding: chunked\r\n", "f423f\r\n") }) {
        GIVEN(std::string("a response ") + name + ", a part that was" +
              (partIsRead ? " read, " : " not read, ") +
              (withReset ? "and a reset" : "and a close with unread bytes"))
        {
          UploadFixture fixture;
          fixture.Begin(fields);
          fixture.Write(framing + kPart);
          if (partIsRead) {
            fixture.RunUntil(
              [&] { return !fixture.collected->chunks.empty(); });
            fixture.context.run_for(std::chrono::milliseconds(20));
            REQUIRE_FALSE(fixture.collected->chunks.empty());
          }
          if (withReset) {
            fixture.Reset();
          } else {
            fixture.Close();
          }
          fixture.RunUntilComplete();
          CHECK_FALSE(fixture.collected->ended);
          CHECK_FALSE(fixture.collected->response);
          REQUIRE(fixture.collected->failure);
          CHECK_FALSE(fixture.collected->failure->timedOut);
          CHECK(fixture.collected->failure->stage ==
                CallStage::ResponseStarted);
        }
      }
    }
  }
}

// Guards against a response that is lost although its server sent all of it
// before it had the whole request.
SCENARIO("A response that ends regularly while its request is being written is "
         "complete",
         "[http][early]")
{
  UploadFixture fixture;
  fixture.Begin("");
  fixture.Write(kPart);
  std::string body = kPart;

  GIVEN("a server that reads on")
  {
    fixture.Shutdown();
    fixture.ReadBytes(UploadFixture::kUploadBytes);
  }
  GIVEN("a server that reads nothing, and keeps the connection")
  {
    fixture.Shutdown();
  }
  GIVEN("a server that closes the connection, which resets it after the end")
  {
    fixture.Shutdown();
    fixture.Close();
  }
  GIVEN("a server that has read the whole request before it ends")
  {
    CHECK(fixture.ReadBytes(UploadFixture::kUploadBytes) >=
          UploadFixture::kUploadBytes);
    fixture.Write(kPart);
    fixture.Close();
    body += kPart;
  }
  fixture.RunUntilComplete();
  CHECK_FALSE(fixture.collected->failure);
  CHECK(fixture.collected->ended);
  CHECK(fixture.collected->chunks == body);
}

// Guards against a complete response that is lost: the connection failed before
// its head was read, and the write of the request was told first.
SCENARIO("A complete response is read although writing its request failed",
         "[http][early]")
{
  UploadFixture fixture;

  for (const auto& [name, text, complete] :
       { std::tuple("without a length", "\r\nbody", true),
         std::tuple("with a length", "Content-Length: 4\r\n\r\nbody", true),
         std::tuple(
           "whose body is cut", "Content-Length: 9\r\n\r\nbody", false),
         std::tuple("whose head is cut", "X-A: b\r\n", false) }) {
    GIVEN(std::string("a response ") + name + ", then the end and a reset")
    {
      fixture.Write(std::string("HTTP/1.1 200 OK\r\nX-Id: 1\r\n") + text);
      fixture.Shutdown();
      fixture.Close();
      fixture.RunUntilComplete();
      CHECK(fixture.collected->failure.has_value() != complete);
      if (fixture.collected->failure) {
        CHECK(fixture.collected->failure->stage != CallStage::NotSent);
        CHECK_FALSE(fixture.collected->failure->timedOut);
      }
    }
  }
  GIVEN("a part of a response without a length, then a reset")
  {
    fixture.Write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart");
    fixture.Close();
    fixture.RunUntilComplete();
    CHECK_FALSE(fixture.collected->ended);
    CHECK(fixture.collected->failure);
  }
  GIVEN("nothing, then a reset")
  {
    fixture.Close();
    fixture.RunUntilComplete();
    REQUIRE(fixture.collected->failure);
    CHECK(fixture.collected->failure->stage == CallStage::Sent);
    CHECK(fixture.collected->failure->error.operation == "send request");
  }
}
