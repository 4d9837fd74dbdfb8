#include <thread>

#include <catch2/catch.hpp>

#include "http/callfixture.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

using std::chrono::milliseconds;

// Guards against responses that had arrived in time and were thrown away, since
// the process had no processor when they did.
SCENARIO("A call times out although its response has arrived",
         "[http][stall][knownred]")
{
  CallFixture fixture;
  CallOptions options;
  options.timeout = milliseconds(200);
  auto collected = std::make_shared<CollectedResponse>();
  Tcp::acceptor acceptor(fixture.context,
                         Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  Tcp::socket server(fixture.context);
  bool accepted = false;
  acceptor.async_accept(
    server, [&](boost::system::error_code aError) { accepted = !aError; });
  UpstreamCall::Start(fixture.pool,
                      acceptor.local_endpoint(),
                      RequestOf("1"),
                      options,
                      collected);
  fixture.RunUntil([&] { return accepted && server.available() > 0; });

  GIVEN("a response that arrives while the process does not run")
  {
    auto length = GENERATE(as<size_t>(), 3, 20000);
    asio::write(server,
                asio::buffer(ResponseText("1", std::string(length, 'x'))));
    std::this_thread::sleep_for(milliseconds(400));
    WHEN("the process runs again after the time limit of the call")
    {
      fixture.RunUntil([&] { return collected->IsComplete(); });
      THEN("the response is passed on")
      {
        REQUIRE(collected->response);
        CHECK(collected->response->body().size() == length);
      }
    }
  }
}
