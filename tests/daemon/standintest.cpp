#include <thread>

#include <catch2/catch.hpp>

#include "platform/platform.h"
#include "standins/reservedports.h"
#include "standins/slowlink.h"
#include "standins/storestandin.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool
RunUntil(asio::io_context& aContext, const std::function<bool()>& aCondition)
{
  auto end = std::chrono::steady_clock::now() + seconds(10);
  while (!aCondition() && std::chrono::steady_clock::now() < end) {
    aContext.run_for(milliseconds(2));
  }
  return aCondition();
}

} // namespace

// Guards against a link that also silences the next connection: tests of silent
// connections then failed when a daemon's first new connection was needed.
SCENARIO("Connections that are made after others were silenced work",
         "[standins][silence]")
{
  asio::io_context context{ 1 };
  StoreStandIn store(context);
  REQUIRE(store.Listen(0));
  store.SetConfiguration("text");
  SlowLink link(context, Loopback(store.Port()));
  REQUIRE(link.Listen());
  ConnectionPool pool(context);
  StoreClient client(pool, link.Address(), milliseconds(500));
  std::optional<Result<StoreRows>> rows;
  auto read = [&] {
    rows.reset();
    client.ReadFrom(ConfigurationKey(),
                    [&](Result<StoreRows> aRows) { rows = std::move(aRows); });
    REQUIRE(RunUntil(context, [&] { return rows.has_value(); }));
  };
  read();
  REQUIRE(*rows);

  link.SilenceConnections();
  read(); // Over the connection that is open.
  CHECK_FALSE(*rows);
  read(); // Over a new one.
  CHECK(*rows);
}

// Guards against two responses to one call: the second one replaced the first
// while it was being written, so that freed memory was sent.
SCENARIO("A change that comes as the wait of a call ends is sent once",
         "[standins][configuration]")
{
  constexpr size_t kBytes = 32 * 1024 * 1024; ///< More than sockets take.
  asio::io_context context{ 1 };
  StoreStandIn store(context);
  REQUIRE(store.Listen(0));
  store.SetConfiguration("text");
  Tcp::socket client(context);
  client.connect(Loopback(store.Port()));
  asio::write(client,
              asio::buffer(std::string(
                "GET /v1/rows-feed?table=op&after=2&wait-ms=300 HTTP/1.1\r\n"
                "Host: a\r\n\r\n")));
  context.run_for(milliseconds(100)); // The store begins to wait.

  // Both timers have expired when the context runs again, this one first.
  asio::steady_timer change(context);
  change.expires_after(milliseconds(1));
  change.async_wait([&](boost::system::error_code) {
    store.SetConfiguration(std::string(kBytes, 'x'));
  });
  std::this_thread::sleep_for(milliseconds(400));
  context.run_for(milliseconds(100));

  client.non_blocking(true);
  HttpResponse received;
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(4 * kBytes);
  bool complete = false;
  boost::system::error_code error;
  http::async_read(
    client, buffer, parser, [&](boost::system::error_code aError, size_t) {
      error = aError;
      complete = true;
    });
  REQUIRE(RunUntil(context, [&] { return complete; }));
  CHECK_FALSE(error);
  auto rows = nlohmann::json::parse(parser.get().body(), nullptr, false);
  REQUIRE(rows.is_object());
  REQUIRE(rows["rows"].size() == 1);
  CHECK(rows["rows"][0]["value"] == EncodeBase64(std::string(kBytes, 'x')));
}
