#include <catch2/catch.hpp>

#include "fescuetillerd/peerbootstrap.h"
#include "standins/memorystore.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(seconds(100));

/** A learner, and a peer that answers reads from rows of its own. */
struct Classroom
{
  asio::io_context context{ 1 };
  MemoryStore known;
  bool peerAnswers = true;
  size_t questions = 0;
  HttpServer peer{ context, [this](const std::shared_ptr<Exchange>& aExchange) {
                    this->Answer(aExchange);
                  } };
  ConnectionPool pool{ context };
  EventLog log{ "test", { 0, 0, 0 } };
  bool needed = true;
  std::vector<StoreRow> learned;
  PeerBootstrap learner{
    pool,
    log,
    { [this] { return this->needed; },
      [this](const StoreRows& aRows) { this->Take(aRows); },
      [] {
        return std::vector<std::string>{ "agenda", "dossier" };
      },
      [this](const StoreRows& aRows) { this->Take(aRows); } }
  };

  Classroom()
  {
    REQUIRE(
      this->peer.Listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
    RangeRecord range{ "agenda", { 0, 9 }, "m1", 1, "" };
    RangeRecord other{ "dossier", { 0, 9 }, "m2", 1, "" };
    this->known.Apply(
      { {},
        { { ConfigurationKey(), "{}", 0, false }, ToRow(range), ToRow(other) },
        {} });
  }

  void Hear(Time aNow)
  {
    this->learner.OnPeerContact(aNow, this->peer.Address());
    this->context.restart();
    this->context.run_for(milliseconds(50));
  }

private:
  void Take(const StoreRows& aRows)
  {
    this->learned.insert(
      this->learned.end(), aRows.rows.begin(), aRows.rows.end());
  }

  void Answer(const std::shared_ptr<Exchange>& aExchange)
  {
    ++this->questions;
    const auto& request = aExchange->request;
    auto from = ParseRead(std::string(request.method_string()),
                          std::string(request.target()));
    REQUIRE(from);
    if (!this->peerAnswers) {
      aExchange->Respond(TextResponse(503, ""));
      return;
    }
    auto response = TextResponse(200, EncodeRows(this->known.Read(*from)));
    aExchange->Respond(std::move(response));
  }
};

} // namespace

SCENARIO("A daemon that starts in an outage learns from another one",
         "[newcomer]")
{
  Classroom classroom;

  GIVEN("a peer that knows everything")
  {
    classroom.Hear(kStart);
    THEN("configuration and rows of all services are learned")
    {
      CHECK(classroom.learner.HasLoaded());
      REQUIRE(classroom.learned.size() == 3);
      CHECK(classroom.learned[0].key == ConfigurationKey());
    }
    THEN("it is not asked again at once, but later")
    {
      auto before = classroom.questions;
      classroom.Hear(kStart + seconds(1));
      CHECK(classroom.questions == before);
      classroom.Hear(kStart + seconds(3));
      CHECK(classroom.questions > before);
    }
  }
  GIVEN("a peer that knows nothing yet")
  {
    classroom.peerAnswers = false;
    classroom.Hear(kStart);
    THEN("nothing is learned, and the next one is asked")
    {
      CHECK_FALSE(classroom.learner.HasLoaded());
      classroom.peerAnswers = true;
      classroom.Hear(kStart + seconds(3));
      CHECK(classroom.learner.HasLoaded());
    }
  }
  GIVEN("a store that is reached")
  {
    classroom.needed = false;
    classroom.Hear(kStart);
    THEN("no peer is asked")
    {
      CHECK(classroom.questions == 0);
    }
  }
}

SCENARIO("Rows that a daemon knows are given like those of the store",
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

  THEN("from a key on, in order, and page by page")
  {
    auto page = view.RowsOf(from, 2);
    REQUIRE(page.rows.size() == 2);
    CHECK(page.rows[0].key == from);
    CHECK(page.rows[0].version == 8);
    CHECK(page.more);
    CHECK(page.version == 11);
    CHECK_FALSE(view.RowsOf(from, 4).more);
  }
  THEN("they read back the same")
  {
    auto rows = view.RowsOf(from, 10);
    auto read = ParseRows(200, EncodeRows(rows));
    REQUIRE(read);
    CHECK(read->rows == rows.rows);
    CHECK(read->version == rows.version);
  }
  THEN("a call that reads nothing is told apart")
  {
    CHECK(ParseRead("GET", EncodeRead("cluster", "a/b", "c d").target) ==
          StoreKey{ "cluster", "a/b", "c d" });
    CHECK_FALSE(ParseRead("POST", "/v1/rows-get?table=a"));
    CHECK_FALSE(ParseRead("GET", "/v1/rows-feed?table=a"));
  }
}
