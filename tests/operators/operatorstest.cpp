#include <sstream>

#include <catch2/catch.hpp>
#include <httplib.h>

#include "audit/faultystore.h"
#include "fescuetillerd/countingstore.h"
#include "fescuetillerd/drainstate.h"
#include "fescuetillerd/httpserver.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

Row
DrainRow(const std::string& aName, bool aDrain, RowVersion aVersion)
{
  Drain drain;
  drain.name = aName;
  drain.drain = aDrain;
  drain.version = aVersion;
  return ToRow(drain);
}

} // namespace

TEST_CASE("A daemon follows the newest drain of its own name", "[operators]")
{
  std::vector<bool> changes;
  DrainState state("agenda-1", [&](bool aDrain) { changes.push_back(aDrain); });
  state.Apply({ DrainRow("agenda-1", true, 5) });
  REQUIRE(changes == std::vector<bool>{ true });

  SECTION("an older row does not undo it")
  {
    state.Apply({ DrainRow("agenda-1", false, 4) });
    CHECK(state.Current().drain);
  }
  SECTION("the same row again changes nothing")
  {
    state.Apply({ DrainRow("agenda-1", true, 5) });
    state.Apply({ DrainRow("agenda-1", true, 6) });
    CHECK(changes.size() == 1);
    CHECK(state.Current().version == 6);
  }
  SECTION("a newer row undoes it")
  {
    state.Apply({ DrainRow("agenda-1", false, 6) });
    CHECK(changes == std::vector<bool>{ true, false });
  }
  SECTION("rows of other members and malformed ones are passed over")
  {
    state.Apply({ DrainRow("agenda-2", false, 9),
                  { DrainKey("agenda-1"), "\xff", 9, false },
                  { DrainKey("agenda-1"), "", 9, true } });
    CHECK(state.Current().drain);
  }
}

TEST_CASE("Calls to the table service are counted", "[operators]")
{
  MemoryTableStore memory;
  auto faulty = std::make_unique<FaultyStore>(memory);
  faulty->transactFaults = { StoreFault::AnswerLost, StoreFault::Unreachable };
  faulty->readFaults = { StoreFault::Unreachable };
  StoreCounters counters;
  CountingStore store(std::move(faulty), counters);
  Transaction change{ {}, { DrainRow("agenda-1", true, 0) } };
  CHECK_FALSE(store.Transact(change));
  CHECK_FALSE(store.Transact(change));
  CHECK(store.Transact(change));
  CHECK(store.Transact(change));
  CHECK_FALSE(store.ReadRows({ DrainKey("agenda-1") }));
  std::ostringstream text;
  PrometheusWriter writer(text);
  counters.Write(writer);
  for (const char* line : { "store_calls_total{operation=\"transact\"} 4\n",
                            "store_calls_total{operation=\"read_rows\"} 1\n",
                            "store_errors_total{code=\"unknown\"} 1\n",
                            "store_errors_total{code=\"unavailable\"} 2\n",
                            "store_retries_total 2\n" }) {
    CAPTURE(line, text.str());
    CHECK(text.str().find(line) != std::string::npos);
  }
}

TEST_CASE("What clients may send is limited", "[operators]")
{
  HttpServer server(2);
  constexpr size_t kMostBytes = 1000;
  server.Limit(Limits(), kMostBytes);
  server.Handlers().Post(
    "/x", [](const httplib::Request&, httplib::Response& aResponse) {
      aResponse.set_content("ok", "text/plain");
    });
  auto port = server.Start("127.0.0.1", 0);
  REQUIRE(port);
  httplib::Client client("127.0.0.1", *port);
  auto post = [&](size_t aBytes) {
    auto response = client.Post("/x", std::string(aBytes, 'a'), "text/plain");
    return response ? response->status : 0;
  };
  CHECK(post(kMostBytes) == 200);
  CHECK(server.Refused() == 0);
  CHECK(post(kMostBytes + 1) == 413);
  CHECK(server.Refused() == 1);
  CHECK(post(kMostBytes) == 200);
}
