#include <random>

#include <catch2/catch.hpp>

#include "memory/memory.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ConnectionBudget
SmallBudget()
{
  ConnectionBudget budget;
  budget.total = 1000;
  budget.reserve = 200;
  budget.smallBytes = 20;
  budget.connectionBytes = 200;
  budget.addressBytes = 500;
  budget.listenerBytes = 750;
  budget.largeBytes = 5000;
  budget.connections = 64;
  budget.unfinished = 32;
  return budget;
}

struct AccountFixture
{
  ConnectionAccount account{ SmallBudget() };
  Time now = Time() + seconds(100);
  std::vector<ConnectionAccount::Id> closed;

  ConnectionAccount::Id Open(const std::string& aAddress,
                             const std::string& aListener = "clients")
  {
    auto id = this->account.Open(this->now, aListener, aAddress, this->closed);
    this->account.SetPhase(this->now, id, ConnectionPhase::Reading);
    return id;
  }

  RoomReason Grow(ConnectionAccount::Id aId, size_t aBytes)
  {
    auto decision = this->account.SetInput(this->now, aId, aBytes);
    this->closed.insert(
      this->closed.end(), decision.close.begin(), decision.close.end());
    return decision.refused;
  }
};

} // namespace

SCENARIO("Budgets fit into the memory of the machine", "[memory][pure]")
{
  for (uint32_t megabytes : { 0U, 64U, 160U, 512U, 4096U }) {
    auto budgets = MakeNodeBudgets(megabytes, 0);
    size_t memory = (megabytes == 0 ? 160ULL : megabytes) * 1024 * 1024;
    CHECK(budgets.traffic.total + budgets.traffic.reserve +
            budgets.control.total + budgets.control.reserve <
          memory * 2 / 5);
    CHECK(budgets.traffic.largeBytes < memory);
    CHECK(budgets.traffic.connections + budgets.control.connections < 2050);
  }
  // A body of 64 MiB is kept twice while its request runs.
  CHECK(MakeNodeBudgets(160, 0).traffic.largeBytes >=
        128 * 1024 * 1024 + 65536);
}

SCENARIO("Ordinary connections get room while others hold much",
         "[memory][pure]")
{
  AccountFixture fixture;
  GIVEN("an address whose connections want as much as they can get")
  {
    std::vector<ConnectionAccount::Id> crowd;
    size_t granted = 0;
    for (int count = 0; count < 10; ++count) {
      crowd.push_back(fixture.Open("127.0.0.2"));
      granted += fixture.Grow(crowd.back(), 150) == RoomReason::None ? 1 : 0;
    }
    THEN("it gets its share, and no more")
    {
      CHECK(granted == 3);
      CHECK(fixture.account.HeldBytes() == 450);
      CHECK(fixture.Grow(crowd.back(), 150) == RoomReason::Address);
    }
    THEN("another address gets room, until the listening address is full")
    {
      CHECK(fixture.Grow(fixture.Open("127.0.0.3"), 150) == RoomReason::None);
      CHECK(fixture.Grow(fixture.Open("127.0.0.3"), 150) == RoomReason::None);
      CHECK(fixture.Grow(fixture.Open("127.0.0.4"), 150) ==
            RoomReason::Listener);
      CHECK(fixture.Grow(fixture.Open("127.0.0.4", "peers"), 150) ==
            RoomReason::None);
    }
    THEN("small requests of the same address get room from the reserve")
    {
      for (int count = 0; count < 20; ++count) {
        CHECK(fixture.Grow(fixture.Open("127.0.0.2"), 20) == RoomReason::None);
      }
    }
  }
  GIVEN("connections that fill budget and reserve, and are slow")
  {
    for (int count = 0; count < 5; ++count) {
      auto address = "127.0.1." + std::to_string(count);
      auto listener = count < 3 ? "clients" : "peers";
      REQUIRE(fixture.Grow(fixture.Open(address, listener), 195) ==
              RoomReason::None);
    }
    auto next = fixture.Open("127.0.0.9", "callers");
    THEN("none is closed as long as it may only be delayed")
    {
      CHECK(fixture.Grow(next, 100) == RoomReason::Memory);
      CHECK(fixture.closed.empty());
    }
    THEN("one of them is closed for a request that needs the room")
    {
      fixture.now += milliseconds(400);
      CHECK(fixture.Grow(next, 100) == RoomReason::None);
      CHECK(fixture.closed.size() == 1);
    }
  }
}

SCENARIO("One connection may exceed its share while others hold little",
         "[memory][pure]")
{
  AccountFixture fixture;
  auto large = fixture.Open("127.0.0.2");
  REQUIRE(fixture.Grow(large, 4000) == RoomReason::None);
  auto other = fixture.Open("127.0.0.3");
  CHECK(fixture.Grow(other, 300) == RoomReason::Connection);
  CHECK(fixture.Grow(other, 150) == RoomReason::None);
  CHECK(fixture.Grow(large, 6000) == RoomReason::Connection);

  WHEN("others need more than half of the budget")
  {
    for (int count = 0; count < 3; ++count) {
      CHECK(fixture.Grow(fixture.Open("127.0.0.4"), 150) == RoomReason::None);
    }
    THEN("it is closed, if its request is not complete")
    {
      CHECK(fixture.closed == std::vector{ large });
    }
  }
  WHEN("its request is complete")
  {
    auto held = fixture.account.OnRequestRead(large);
    fixture.account.SetPhase(fixture.now, large, ConnectionPhase::Running);
    CHECK(held == 4000);
    for (int count = 0; count < 3; ++count) {
      CHECK(fixture.Grow(fixture.Open("127.0.0.4"), 150) == RoomReason::None);
    }
    THEN("it may run, and others can be large after its response")
    {
      CHECK(fixture.closed.empty());
      fixture.account.RemoveRequest(large, held);
      CHECK(fixture.account.HeldBytes() == 600);
    }
  }
}

SCENARIO("Connections without a request are closed before others",
         "[memory][pure]")
{
  AccountFixture fixture;
  auto busy = fixture.Open("127.0.0.2");
  fixture.account.SetPhase(fixture.now, busy, ConnectionPhase::Running);
  auto idle = fixture.Open("127.0.0.2");
  fixture.account.SetPhase(fixture.now, idle, ConnectionPhase::Idle);
  std::vector<ConnectionAccount::Id> silent;
  while (fixture.closed.empty() && silent.size() < 200) {
    fixture.now += milliseconds(1);
    silent.push_back(fixture.Open("127.0.0.3"));
  }
  CHECK(silent.size() == SmallBudget().unfinished + 1);
  CHECK(fixture.closed.front() == silent.front());
  for (auto id : fixture.closed) {
    CHECK(id != busy);
    CHECK(id != idle);
  }
}

// Guards against amounts that are counted twice or never removed: the account
// would refuse everything after some time.
SCENARIO("The account ends at zero after any order of events",
         "[memory][pure][fuzz]")
{
  for (uint32_t seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    AccountFixture fixture;
    struct Open
    {
      ConnectionAccount::Id id;
      std::vector<size_t> requests;
      std::vector<size_t> responses;
    };
    std::vector<Open> open;
    for (int step = 0; step < 400; ++step) {
      fixture.now += milliseconds(random() % 50);
      auto action = random() % 9;
      if (open.empty() || action == 0) {
        auto address = "127.0.0." + std::to_string(random() % 4);
        open.push_back(
          { fixture.Open(address, random() % 2 == 0 ? "clients" : "peers"),
            {},
            {} });
        continue;
      }
      auto& chosen = open[random() % open.size()];
      auto& account = fixture.account;
      if (action <= 3) {
        fixture.Grow(chosen.id, random() % (random() % 5 == 0 ? 6000 : 250));
      } else if (action == 4) {
        chosen.requests.push_back(account.OnRequestRead(chosen.id));
      } else if (action == 5) {
        chosen.responses.push_back(random() % 100);
        account.AddResponse(chosen.id, chosen.responses.back());
      } else if (action == 6 && !chosen.requests.empty()) {
        account.RemoveRequest(chosen.id, chosen.requests.back());
        chosen.requests.pop_back();
      } else if (action == 7) {
        account.SetPhase(
          fixture.now, chosen.id, static_cast<ConnectionPhase>(random() % 4));
        account.OnReceived(chosen.id, random() % 1000);
      } else if (action == 8) {
        account.Close(chosen.id);
        account.Close(chosen.id); // Twice, as on some ways to the end.
        open.erase(open.begin() + (&chosen - open.data()));
      }
    }
    INFO("seed " << seed);
    for (const auto& each : open) {
      fixture.account.Close(each.id);
    }
    REQUIRE(fixture.account.HeldBytes() == 0);
    REQUIRE(fixture.account.ConnectionCount() == 0);
    REQUIRE(fixture.account.UnfinishedCount() == 0);
    // The sums by address and the large connection are gone as well.
    REQUIRE(fixture.Grow(fixture.Open("127.0.0.1"), 5000) == RoomReason::None);
  }
}

SCENARIO("Requests that are sent ahead get a share of the space",
         "[memory][pure]")
{
  RequestShares shares(12);
  auto runAll = [&shares](uint64_t aConnection, const std::string& aAddress) {
    size_t count = 0;
    while (shares.MayRunBeside(aConnection, aAddress) && count < 100) {
      shares.OnStarted(aConnection, aAddress);
      ++count;
    }
    return count;
  };
  CHECK(runAll(1, "127.0.0.2") == 12);
  CHECK(runAll(2, "127.0.0.2") == 1);
  CHECK(runAll(3, "127.0.0.3") == 4);
  for (int count = 0; count < 12; ++count) {
    shares.OnEnded(1, "127.0.0.2");
  }
  shares.OnEnded(1, "127.0.0.2"); // An end too many changes nothing.
  CHECK(shares.RunningCount() == 5);
  CHECK(runAll(2, "127.0.0.2") == 5);
}

SCENARIO("Memory is returned to the system rarely", "[memory][pure]")
{
  MemoryReturn memory;
  Time now = Time() + seconds(100);
  constexpr size_t kMany = 30 * 1024 * 1024;
  CHECK_FALSE(memory.OnMeasured(now, 1000, 2000));
  CHECK_FALSE(memory.OnMeasured(now, kMany, kMany));
  CHECK(memory.OnMeasured(now, 1000, kMany));
  CHECK_FALSE(memory.OnMeasured(now, 1000, 1000));
  CHECK_FALSE(memory.OnMeasured(now + seconds(1), 1000, kMany));
  CHECK(memory.OnMeasured(now + seconds(4), 1000, 1000));
}
