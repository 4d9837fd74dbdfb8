#include <catch2/catch.hpp>

#include "fescuetillerd/peerbootstrap.h"
#include "standins/memorystore.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(seconds(100));

/** A PeerBootstrap, and a peer that responds to reads with its own rows. */
struct BootstrapFixture
{
  asio::io_context context{ 1 };
  MemoryStore peerRows;
  bool peerResponds = true;
  size_t peerRequests = 0;
  HttpServer peer{ context, [this](const std::shared_ptr<Exchange>& aExchange) {
                    this->Respond(aExchange);
                  } };
  ConnectionPool pool{ context };
  EventLog log{ "test", { 0, 0, 0 } };
  bool needed = true;
  std::vector<StoreRow> loaded;
  PeerBootstrap bootstrap{
    pool,
    log,
    { [this] { return this->needed; },
      [this](const StoreRows& aRows) { this->AddRows(aRows); },
      [] {
        return std::vector<std::string>{ "agenda", "dossier" };
      },
      [this](const StoreRows& aRows) { this->AddRows(aRows); } }
  };

  BootstrapFixture()
  {
    REQUIRE(
      this->peer.Listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
    RangeRecord range{ "agenda", { 0, 9 }, "m1", 1, "" };
    RangeRecord other{ "dossier", { 0, 9 }, "m2", 1, "" };
    this->peerRows.Apply(
      { {},
        { { ConfigurationKey(), "{}", 0, false }, ToRow(range), ToRow(other) },
        {} });
  }

  void ContactPeer(Time aNow)
  {
    this->bootstrap.OnPeerContact(aNow, this->peer.Address());
    this->context.restart();
    this->context.run_for(milliseconds(50));
  }

private:
  void AddRows(const StoreRows& aRows)
  {
    this->loaded.insert(
      this->loaded.end(), aRows.rows.begin(), aRows.rows.end());
  }

  void Respond(const std::shared_ptr<Exchange>& aExchange)
  {
    ++this->peerRequests;
    const auto& request = aExchange->request;
    auto from = ParseReadRequest(std::string(request.method_string()),
                                 std::string(request.target()));
    REQUIRE(from);
    if (!this->peerResponds) {
      aExchange->Respond(TextResponse(503, ""));
      return;
    }
    auto response = TextResponse(200, EncodeRows(this->peerRows.Read(*from)));
    aExchange->Respond(std::move(response));
  }
};

} // namespace

SCENARIO("A daemon that starts in an outage loads rows from another one",
         "[newcomer]")
{
  BootstrapFixture fixture;

  GIVEN("a peer that has all rows")
  {
    fixture.ContactPeer(kStart);
    THEN("configuration and rows of all services are loaded")
    {
      CHECK(fixture.bootstrap.HasLoaded());
      REQUIRE(fixture.loaded.size() == 3);
      CHECK(fixture.loaded[0].key == ConfigurationKey());
    }
    THEN("it is read from again, but not at once")
    {
      auto before = fixture.peerRequests;
      fixture.ContactPeer(kStart + seconds(1));
      CHECK(fixture.peerRequests == before);
      fixture.ContactPeer(kStart + seconds(3));
      CHECK(fixture.peerRequests > before);
    }
  }
  GIVEN("a peer that has no rows yet")
  {
    fixture.peerResponds = false;
    fixture.ContactPeer(kStart);
    THEN("nothing is loaded, and the next contact is used")
    {
      CHECK_FALSE(fixture.bootstrap.HasLoaded());
      fixture.peerResponds = true;
      fixture.ContactPeer(kStart + seconds(3));
      CHECK(fixture.bootstrap.HasLoaded());
    }
  }
  GIVEN("a store that has been reached")
  {
    fixture.needed = false;
    fixture.ContactPeer(kStart);
    THEN("no peer is read from")
    {
      CHECK(fixture.peerRequests == 0);
    }
  }
}

SCENARIO("A daemon returns the rows that it knows as the store does",
         "[newcomer]")
{
  ClusterView view;
  for (uint32_t part = 0; part < 5; ++part) {
    RangeRecord range{ "agenda", { part * 10, part * 10 + 9 }, "m1", 1, "" };
    auto row = ToRow(range);
    row.version = 7 + part;
    view.Apply(row);
  }
  auto from = RangeKey("agenda", 10);

  THEN("they start at a key, are in order, and come in pages")
  {
    auto page = view.RowsOf(from, 2);
    REQUIRE(page.rows.size() == 2);
    CHECK(page.rows[0].key == from);
    CHECK(page.rows[0].version == 8);
    CHECK(page.hasMore);
    CHECK(page.version == 11);
    CHECK_FALSE(view.RowsOf(from, 4).hasMore);
  }
  THEN("encoding and parsing preserves them")
  {
    auto rows = view.RowsOf(from, 10);
    auto read = ParseRows(200, EncodeRows(rows));
    REQUIRE(read);
    CHECK(read->rows == rows.rows);
    CHECK(read->version == rows.version);
  }
  THEN("calls that are not reads are recognized")
  {
    CHECK(ParseReadRequest("GET",
                           EncodeReadRequest("cluster", "a/b", "c d").target) ==
          StoreKey{ "cluster", "a/b", "c d" });
    CHECK_FALSE(ParseReadRequest("POST", "/v1/rows-get?table=a"));
    CHECK_FALSE(ParseReadRequest("GET", "/v1/rows-feed?table=a"));
  }
}
