#include <catch2/catch.hpp>

#include "http/callfixture.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

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
