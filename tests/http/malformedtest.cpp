#include <catch2/catch.hpp>

#include "http/callfixture.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

/** Whether a response of a peer fails its call, is reported as malformed, and
 * spoils neither the next call nor a later one over the same connection.
 * @param aReused Whether the connection has carried another response before. */
bool
FailsAlone(const std::string& aResponse, HttpRequest aRequest, bool aReused)
{
  CallFixture fixture;
  std::vector<std::string> responses{ aResponse, ResponseText("2", "two") };
  if (aReused) {
    responses.insert(responses.begin(), ResponseText("0", "zero"));
  }
  ScriptedPeer peer(fixture.context, responses);
  if (aReused) {
    REQUIRE(fixture.Call(peer.Address(), "0")->response);
  }
  auto call = fixture.Call(peer.Address(), std::move(aRequest));
  auto next = fixture.Call(peer.Address(), "2");
  return call->failure && !call->failure->timedOut &&
         call->failure->stage != CallStage::NotSent && !call->response &&
         !call->ended &&
         fixture.HasReported(UnexpectedData::Kind::Malformed, false) &&
         next->response && next->response->body() == "two" &&
         peer.connections == 2;
}

/** Checks that a response to a GET and to a HEAD request is recognized as
 * malformed, on a new and on a used connection. */
void
CheckIsMalformed(const std::string& aResponse)
{
  auto headRequest = RequestOf("1");
  headRequest.method(http::verb::head);
  CAPTURE(aResponse);
  CHECK(FailsAlone(aResponse, RequestOf("1"), false));
  CHECK(FailsAlone(aResponse, RequestOf("1"), true));
  CHECK(FailsAlone(aResponse, headRequest, false));
}

/** Checks the same for a response that is well-formed but for some lines, which
 * precede or follow its other fields. */
void
CheckLinesAreMalformed(const std::string& aLines)
{
  const std::string kStatus = "HTTP/1.1 200 OK\r\n";
  const std::string kFields = "X-Id: 1\r\nContent-Length: 3\r\n";
  CheckIsMalformed(kStatus + aLines + kFields + "\r\none");
  CheckIsMalformed(kStatus + kFields + aLines + "\r\none");
}

/** A response with further fields. */
std::string
ResponseWith(const std::string& aFields, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + aFields + "\r\n" + aBody;
}

std::string
ResponseWithStatus(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus + "\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody";
}

} // namespace

// Guards against operators who cannot see that a server sends malformed
// responses: log and metrics only told that a response was missing.
SCENARIO("Data that cannot be parsed as a response is reported",
         "[http][malformed]")
{
  CallFixture fixture;
  const std::string kHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";

  GIVEN("bytes that are no response")
  {
    ScriptedPeer peer(fixture.context, { "garbled\r\n\r\n" });
    REQUIRE(fixture.Call(peer.Address(), "1")->failure);
    REQUIRE(fixture.HasReported(UnexpectedData::Kind::Malformed, false));
    CHECK(fixture.unexpected[0].reason == "bad version");
    CHECK(fixture.unexpected[0].status == 0);
    CHECK(fixture.unexpected[0].requestId == "1");
  }
  GIVEN("a malformed chunk")
  {
    ScriptedPeer peer(
      fixture.context,
      { kHead + "Transfer-Encoding: chunked\r\n\r\nno chunk\r\n" });
    REQUIRE(fixture.Call(peer.Address(), "1")->failure);
    REQUIRE(fixture.HasReported(UnexpectedData::Kind::Malformed, false));
    CHECK(fixture.unexpected[0].reason == "bad chunk");
    CHECK(fixture.unexpected[0].status == 200);
    CHECK(fixture.unexpected[0].responseId == "1");
  }
  GIVEN("a response that breaks off")
  {
    ScriptedPeer peer(fixture.context,
                      { kHead + "Content-Length: 9\r\n\r\nfour" });
    peer.closeAfterResponse = true;
    REQUIRE(fixture.Call(peer.Address(), "1")->failure);
    THEN("it is not reported as malformed")
    {
      CHECK(fixture.unexpected.empty());
    }
  }
}

// Guards against clients that got a response with a status such as 000, which
// a server in trouble had sent: the parser accepts any three digits.
SCENARIO("A response whose status is out of range is not passed on",
         "[http][malformed]")
{
  for (const char* status : { "000", "001", "099", "600", "601", "999" }) {
    CheckIsMalformed(ResponseWithStatus(std::string(status) + " Some"));
  }
  GIVEN("statuses at the ends of the range, also unknown ones")
  {
    for (const char* status : { "200", "299", "420", "599" }) {
      CallFixture fixture;
      ScriptedPeer peer(fixture.context,
                        { ResponseWithStatus(std::string(status) + " Some") });
      auto call = fixture.Call(peer.Address(), "1");
      REQUIRE(call->response);
      CHECK(std::to_string(call->response->result_int()) == status);
      CHECK(call->response->body() == "body");
    }
  }
  GIVEN("one that is out of range in an interim position")
  {
    CheckIsMalformed("HTTP/1.1 099 Some\r\n\r\n" + ResponseText("1", "one"));
  }
}

// Guards against a status line that is passed on although it is none.
SCENARIO("A malformed status line is not passed on", "[http][malformed]")
{
  for (const char* line : { "HTTP/1.1 20 OK",
                            "HTTP/1.1 2000 OK",
                            "HTTP/1.1 -20 OK",
                            "HTTP/1.1 2x0 OK",
                            "HTTP/1.1  200 OK",
                            "HTTP/1.1 200",
                            "HTTP/1.1200 OK",
                            "HTTP/1.1 OK",
                            "HTTP/1.2 200 OK",
                            "HTTP/2.0 200 OK",
                            "HTTP/11 200 OK",
                            "http/1.1 200 OK",
                            " HTTP/1.1 200 OK",
                            "\r\nHTTP/1.1 200 OK",
                            "HTTP/1.1 200 O\1K",
                            "HTTP/1.1 200 OK\r",
                            "HTTP/1.1 200 OK\nX-A: b" }) {
    CheckIsMalformed(std::string(line) +
                     "\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody");
  }
}

// Guards against clients that got another signature than the server's: the
// parser joins a line that begins with a blank to the field before it.
SCENARIO("A response with a folded header line is not passed on",
         "[http][malformed]")
{
  const std::string kStatus = "HTTP/1.1 200 OK\r\n";
  const std::string kFields = "X-Id: 1\r\nContent-Length: 3\r\n";
  const std::string kEnd = "\r\none";

  GIVEN("a folded line")
  {
    for (const char* lines : { "X-Signature: a\r\n b\r\n",
                               "X-Signature: a\r\n\tb\r\n",
                               "X-Signature: a\r\n  b\r\n c\r\n",
                               "X-Signature: a\r\n X-B: c\r\n",
                               "X-Signature:\r\n a\r\n",
                               "X-Signature: a\r\n \r\n",
                               "X-Signature: a\r\n\t\r\n",
                               "X-Signature:\r\n \r\n",
                               "X-Signature:\r\n \t\r\n a\r\n" }) {
      CheckLinesAreMalformed(lines);
    }
  }
  GIVEN("one behind the status line")
  {
    CheckIsMalformed(kStatus + " X-A: b\r\n" + kFields + kEnd);
  }
  GIVEN("one in the id")
  {
    CheckIsMalformed(kStatus + "Content-Length: 3\r\nX-Id:\r\n 1\r\n" + kEnd);
  }
  GIVEN("one in an interim response")
  {
    CheckIsMalformed("HTTP/1.1 103 Early Hints\r\nLink: a\r\n b\r\n\r\n" +
                     kStatus + kFields + kEnd);
  }
  GIVEN("one in a trailer")
  {
    CallFixture fixture;
    ScriptedPeer peer(fixture.context,
                      { kStatus +
                        "X-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "3\r\none\r\n0\r\nA: b\r\n c\r\n\r\n" });
    auto call = fixture.Call(peer.Address(), "1");
    CHECK_FALSE(call->ended);
    CHECK(call->failure);
    CHECK(fixture.HasReported(UnexpectedData::Kind::Malformed, false));
  }
  GIVEN("a response that arrives byte by byte")
  {
    CallFixture fixture;
    CHECK(fixture.CallInPieces(kStatus + "A: b\r\n c\r\n" + kFields + kEnd)
            ->failure);
    auto sound = fixture.CallInPieces(kStatus + "A:  b  c \t\r\nB:\r\nC: \r\n" +
                                      kFields + kEnd);
    REQUIRE(sound->response);
    CHECK((*sound->response)["A"] == "b  c");
    CHECK((*sound->response)["B"].empty());
    CHECK((*sound->response)["C"].empty());
  }
}

// Guards against header lines that are passed on although they are none.
SCENARIO("A response with a malformed header line is not passed on",
         "[http][malformed]")
{
  for (const std::string& line : { std::string("X-A : b"),
                                   std::string("X A: b"),
                                   std::string("X-A\t: b"),
                                   std::string("X-\1A: b"),
                                   std::string("X-A\0: b", 7),
                                   std::string("X-\x7f: b"),
                                   std::string("X-\xe4: b"),
                                   std::string(": b"),
                                   std::string("no colon"),
                                   std::string("X(A): b"),
                                   std::string("X-A: b\1"),
                                   std::string("X-A: b\0", 7),
                                   std::string("X-A: b\rX-B: c"),
                                   std::string("X-A: b\nX-B: c"),
                                   std::string("\nX-A: b") }) {
    CheckLinesAreMalformed(line + "\r\n");
  }
}

// Guards against clients that got the framing of chunks as a part of the body:
// the parser takes a response whose last transfer coding is not "chunked" for
// one that ends with its connection, and the field is not passed on.
SCENARIO("A response with an unknown transfer coding is not passed on",
         "[http][malformed]")
{
  const std::string kChunks = "3\r\none\r\n0\r\n\r\n";

  for (const char* fields :
       { "Transfer-Encoding:\r\n",
         "Transfer-Encoding: ,\r\n",
         "Transfer-Encoding: xchunked\r\n",
         "Transfer-Encoding: chunkedx\r\n",
         "Transfer-Encoding: chunked, identity\r\n",
         "Transfer-Encoding: identity\r\n",
         "Transfer-Encoding: gzip\r\n",
         "Transfer-Encoding: gzip, chunked\r\n",
         "Transfer-Encoding: chunked, chunked\r\n",
         "Transfer-Encoding: chunked;a=b\r\n",
         "Transfer-Encoding: \"chunked\"\r\n",
         "Transfer-Encoding: chunked chunked\r\n",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
         "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding:\r\n",
         "Transfer-Encoding: xchunked\r\nContent-Length: 3\r\n",
         "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
         "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n" }) {
    CheckIsMalformed(ResponseWith(fields, kChunks));
  }
  GIVEN("chunks in a response of HTTP/1.0, which does not know them")
  {
    CheckIsMalformed("HTTP/1.0 200 OK\r\nX-Id: 1\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n" +
                     kChunks);
  }
  GIVEN("chunks, written in any case and with blanks")
  {
    for (const char* field : { "transfer-encoding:chunked\r\n",
                               "Transfer-Encoding: Chunked\r\n",
                               "Transfer-Encoding:  CHUNKED \t\r\n" }) {
      CallFixture fixture;
      ScriptedPeer peer(fixture.context, { ResponseWith(field, kChunks) });
      auto call = fixture.Call(peer.Address(), "1");
      CHECK(call->ended);
      CHECK(call->chunks == "one");
    }
  }
}

// Guards against a body of another size than the server's.
SCENARIO("A response with a malformed length or chunk is not passed on",
         "[http][malformed]")
{
  const std::string kHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";

  for (const char* length : { "",
                              "x",
                              "-3",
                              "+3",
                              "0x3",
                              "3 3",
                              "3,",
                              "3, 4",
                              "3\r\nContent-Length: 4",
                              "3.0",
                              "99999999999999999999" }) {
    CheckIsMalformed(kHead + "Content-Length: " + length + "\r\n\r\none");
  }
  GIVEN("chunks")
  {
    for (const char* chunks : { "\r\n",
                                "x\r\none",
                                "-3\r\none",
                                "0x3\r\none\r\n0\r\n\r\n",
                                "3 x\r\none",
                                " 3\r\none",
                                "3\none\n0\n\n\r\n",
                                "3\r\nones\r\n0\r\n\r\n",
                                "3\r\none0\r\n\r\n",
                                "11111111111111113\r\none",
                                "3;\r\none\r\n",
                                "3;a=\r\none\r\n",
                                "0\r\nno colon\r\n\r\n",
                                "0\r\nA : b\r\n\r\n",
                                "0\r\nContent-Length: 3\r\n\r\n" }) {
      CallFixture fixture;
      ScriptedPeer peer(
        fixture.context,
        { kHead + "Transfer-Encoding: chunked\r\n\r\n" + chunks });
      auto call = fixture.Call(peer.Address(), "1");
      CAPTURE(chunks);
      CHECK_FALSE(call->ended);
      REQUIRE(call->failure);
      CHECK_FALSE(call->failure->timedOut);
      CHECK(fixture.HasReported(UnexpectedData::Kind::Malformed, false));
    }
  }
}

// Guards against a request that fails for the response to another one: a server
// sent a body late where none may follow, and it was read at the place of the
// next response.
SCENARIO("A connection is not used again if a body may follow that is not read",
         "[http][malformed]")
{
  CallFixture fixture;

  for (const char* status : { "204 No Content", "304 Not Modified" }) {
    for (const char* field :
         { "Content-Length: 13\r\n", "Transfer-Encoding: chunked\r\n" }) {
      GIVEN(std::string(status) + ", " + field)
      {
        ScriptedPeer peer(fixture.context,
                          { std::string("HTTP/1.1 ") + status +
                            "\r\nX-Id: 1\r\n" + field + "\r\n" });
        auto call = fixture.Call(peer.Address(), "1");
        REQUIRE(call->response);
        CHECK(call->response->body().empty());
        CHECK(fixture.pool.Take(peer.Address(), BootClock::now()) == nullptr);
      }
    }
    for (const char* field : { "", "Content-Length: 0\r\n" }) {
      GIVEN(std::string(status) + ", no body is stated " + field)
      {
        ScriptedPeer peer(fixture.context,
                          { std::string("HTTP/1.1 ") + status +
                            "\r\nX-Id: 1\r\n" + field + "\r\n" });
        REQUIRE(fixture.Call(peer.Address(), "1")->response);
        CHECK(fixture.pool.Take(peer.Address(), BootClock::now()) != nullptr);
      }
    }
  }
}

// Guards against a body that is taken for the response: no body may follow an
// interim response, and behind 101 the connection no longer carries HTTP.
SCENARIO("What follows a malformed interim response is not the response",
         "[http][malformed]")
{
  const std::string kFinal = ResponseText("1", "one");

  for (const char* interim : { "103 Early Hints\r\nContent-Length: 60\r\n",
                               "100 Continue\r\nTransfer-Encoding: chunked\r\n",
                               "101 Switching Protocols\r\nUpgrade: other\r\n",
                               "101 Switching Protocols\r\n" }) {
    CheckIsMalformed(std::string("HTTP/1.1 ") + interim + "\r\n" + kFinal);
  }
  GIVEN("sound interim responses")
  {
    for (const char* interim : { "100 Continue\r\n",
                                 "102 Processing\r\n",
                                 "103 Early Hints\r\nLink: a\r\n",
                                 "199 Some\r\nContent-Length: 0\r\n" }) {
      CallFixture fixture;
      ScriptedPeer peer(
        fixture.context,
        { std::string("HTTP/1.1 ") + interim + "\r\n" + kFinal });
      auto call = fixture.Call(peer.Address(), "1");
      REQUIRE(call->response);
      CHECK(call->response->body() == "one");
      CHECK(call->response->count("Link") == 0);
    }
  }
}

// Guards against a trailer that is taken for a field of the head: a response
// without an id counts only on a connection that is then closed.
SCENARIO("Trailers do not change what the head of a response says",
         "[http][malformed]")
{
  CallFixture fixture;
  ScriptedPeer peer(fixture.context,
                    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "3\r\none\r\n0\r\nX-Id: 1\r\nX-Not-Executed: 1\r\n\r\n",
                      ResponseText("2", "two") });
  auto call = fixture.Call(peer.Address(), "1");
  CHECK(call->ended);
  CHECK(call->chunks == "one");
  CHECK(call->headers->message.count("X-Not-Executed") == 0);
  REQUIRE(fixture.Call(peer.Address(), "2")->response);
  CHECK(peer.connections == 2);
}

// Guards against a call whose outcome is taken as known although the store, or
// another daemon, sent no well-formed response.
SCENARIO("A malformed response to a call of the daemon is an error",
         "[http][malformed]")
{
  CallFixture fixture;
  for (const std::string& response :
       { std::string("HTTP/1.1 000 Some\r\nContent-Length: 2\r\n\r\n{}"),
         std::string("HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 2"
                     "\r\n\r\n{}"),
         std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\n"
                     "2\r\n{}\r\n0\r\n\r\n") }) {
    ScriptedPeer peer(fixture.context, { response });
    std::optional<Result<HttpResponse>> result;
    Fetch(fixture.pool,
          peer.Address(),
          RequestOf("1"),
          CallOptions(),
          [&](Result<HttpResponse> aResult) { result = std::move(aResult); });
    fixture.RunUntil([&] { return result.has_value(); });
    CAPTURE(response);
    REQUIRE(result);
    REQUIRE_FALSE(*result);
    CHECK(result->error().code == ErrorCode::Unknown);
  }
}
