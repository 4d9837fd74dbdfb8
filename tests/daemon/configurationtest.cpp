#include <catch2/catch.hpp>

#include "daemon/slowlinkfixture.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time after the end of a disturbance in which the configuration must be the
 * newest one again. */
constexpr Duration kMaxOutdatedTime = seconds(3);

} // namespace

SCENARIO("A daemon that is behind loads the configuration from another one",
         "[configuration]")
{
  ConfigurationLag lag;
  Time now(seconds(100));
  auto announce = [&](RowVersion aAnnounced, RowVersion aOwn) {
    return lag.OnAnnouncement(now, aAnnounced, aOwn);
  };
  REQUIRE_FALSE(announce(7, 7));

  GIVEN("an announcement of a newer version")
  {
    REQUIRE_FALSE(announce(8, 7));
    WHEN("the store delivers it soon")
    {
      now += milliseconds(200);
      CHECK_FALSE(announce(8, 8));
      THEN("the next version may take as long")
      {
        now += milliseconds(200);
        CHECK_FALSE(announce(9, 8));
      }
    }
    WHEN("the store does not deliver it in time")
    {
      now += milliseconds(350);
      THEN("a daemon that has it is asked, others are not")
      {
        CHECK_FALSE(announce(7, 7));
        CHECK(announce(8, 7));
      }
      THEN("another daemon is asked if the first one does not respond")
      {
        CHECK(announce(8, 7));
        CHECK_FALSE(announce(8, 7));
        now += milliseconds(450);
        CHECK(announce(8, 7));
      }
      THEN("the number of loads at a time is limited")
      {
        int loads = 0;
        for (int step = 0; step < 20; ++step) {
          loads += announce(8, 7) ? 1 : 0;
          now += milliseconds(450);
        }
        CHECK(loads == 3);
        lag.OnLoadEnded();
        CHECK(announce(8, 7));
      }
    }
  }
}

SCENARIO("A daemon asks the store whether its configuration is the newest one",
         "[configuration][silence]")
{
  double random = 0;
  ConfigurationCheck check([&] { return random; });
  Time now(seconds(100));
  CHECK_FALSE(check.Age(now));

  GIVEN("a check that the store answered after a while")
  {
    REQUIRE(check.Begin(now));
    CHECK_FALSE(check.Begin(now));
    now += milliseconds(100);
    CHECK(check.OnEnded(now, true));
    THEN("the configuration is as old as the start of that check")
    {
      CHECK(check.Age(now) == Duration(milliseconds(100)));
      CHECK_FALSE(check.HasFailed());
    }
    THEN("the next check begins when the age requires it")
    {
      CHECK_FALSE(check.Begin(now + milliseconds(699)));
      CHECK(check.Begin(now + milliseconds(700)));
    }
    THEN("it is not needed while other members tell of theirs")
    {
      random = 1;
      for (int step = 0; step < 20; ++step) {
        now += milliseconds(500);
        CHECK_FALSE(check.Begin(now));
        CHECK(check.OnConfirmed(now - milliseconds(20)));
      }
      CHECK(check.Begin(now + milliseconds(1380)));
    }
    THEN("what others tell of earlier checks, or of the same one, is no news")
    {
      CHECK_FALSE(check.OnConfirmed(now - milliseconds(100)));
      CHECK_FALSE(check.OnConfirmed(now - seconds(5)));
      CHECK_FALSE(check.OnConfirmed(now - milliseconds(80)));
      CHECK(check.Age(now) == Duration(milliseconds(80)));
    }
  }
  GIVEN("a store that does not respond")
  {
    REQUIRE(check.Begin(now));
    CHECK_FALSE(check.OnEnded(now, false));
    CHECK(check.HasFailed());
    CHECK_FALSE(check.Age(now));
    THEN("the check is repeated soon, and then less often")
    {
      CHECK_FALSE(check.Begin(now + milliseconds(99)));
      now += milliseconds(100);
      REQUIRE(check.Begin(now));
      CHECK_FALSE(check.OnEnded(now, false));
      CHECK_FALSE(check.Begin(now + milliseconds(599)));
      CHECK(check.Begin(now + milliseconds(600)));
    }
    THEN("members that reach it spare this one its checks")
    {
      CHECK(check.OnConfirmed(now));
      CHECK_FALSE(check.Begin(now + milliseconds(700)));
      CHECK(check.HasFailed());
    }
  }
}

/** Many daemons that check their configurations, by a manual clock. */
struct CheckingCluster
{
  static constexpr Duration kStep = milliseconds(10);
  static constexpr size_t kReceivers = 4;

  explicit CheckingCluster(size_t aDaemons)
  {
    for (size_t number = 0; number < aDaemons; ++number) {
      this->checks.emplace_back([this] { return this->Fraction(); });
    }
  }

  double Fraction()
  {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  /** Tells random others, who get it in the next step, or never. */
  void Tell(size_t aFrom)
  {
    for (size_t count = 0; count < kReceivers; ++count) {
      auto to = this->random() % this->checks.size();
      if (this->Fraction() >= this->lostShare) {
        this->messages.emplace_back(to, *this->checks[aFrom].Age(this->now));
      }
    }
  }

  void Step()
  {
    this->now += kStep;
    for (const auto& [to, age] : std::exchange(this->messages, {})) {
      if (this->checks[to].OnConfirmed(this->now - kStep - age)) {
        this->Tell(to);
      }
    }
    for (size_t number = 0; number < this->checks.size(); ++number) {
      auto& check = this->checks[number];
      if (check.Begin(this->now)) {
        ++this->calls;
        if (check.OnEnded(this->now, true)) {
          this->Tell(number);
        }
      }
      this->oldest = std::max(this->oldest, *check.Age(this->now));
    }
  }

  std::mt19937_64 random{ 5 };
  Time now{ seconds(100) };
  std::vector<ConfigurationCheck> checks;
  std::vector<std::pair<size_t, Duration>> messages;
  double lostShare = 0;
  size_t calls = 0;
  Duration oldest = Duration(0); ///< Greatest age of a configuration.
};

SCENARIO("The calls for checks of the configuration do not grow with the "
         "cluster as long as messages arrive",
         "[configuration][silence]")
{
  constexpr int kSeconds = 20;
  for (size_t daemons : { 1, 11, 100, 1000 }) {
    for (double lostShare : { 0.0, 0.1, 1.0 }) {
      INFO(daemons << " daemons, " << lostShare << " of the messages lost");
      CheckingCluster cluster(daemons);
      cluster.lostShare = lostShare;
      cluster.Step();
      cluster.calls = 0;
      for (int step = 0; step < kSeconds * 100; ++step) {
        cluster.Step();
      }
      CHECK(cluster.oldest <= milliseconds(1400) + CheckingCluster::kStep);
      auto perSecond = static_cast<double>(cluster.calls) / kSeconds;
      auto allOfThem = static_cast<double>(daemons) / 0.8;
      CHECK(perSecond <= allOfThem);
      if (lostShare < 1) {
        CHECK(perSecond <= 3 + 0.05 * static_cast<double>(daemons));
      }
    }
  }
}

SCENARIO("Daemons send each other their configurations compressed",
         "[configuration]")
{
  StoreRow row{ ConfigurationKey(), ConfigurationText(3, 1000), 17, false };
  auto bytes = EncodeSharedRow(row);
  CHECK(bytes.size() < row.value.size() / 3);
  auto decoded = DecodeSharedRow(bytes);
  REQUIRE(decoded);
  CHECK(*decoded == row);

  THEN("a body that was cut off, or is none, is refused")
  {
    for (size_t length : { size_t(0), size_t(1), bytes.size() / 2 }) {
      CHECK_FALSE(DecodeSharedRow(bytes.substr(0, length)));
    }
    CHECK_FALSE(DecodeSharedRow("not a configuration"));
    CHECK_FALSE(DecodeSharedRow(Deflate("not a configuration")));
  }
  THEN("a body that is too large when decompressed is refused")
  {
    auto inflated = Inflate(bytes, 1000);
    REQUIRE_FALSE(inflated);
    CHECK(ToString(inflated.error()).find("1000 bytes") != std::string::npos);
  }
}

// A large configuration took several seconds over a link that downloads filled,
// and came into force too late (docs/incidents/2026-12-04-configuration.md).
SCENARIO("A large configuration comes into force on a daemon whose link to the "
         "store is slow",
         "[configuration]")
{
  SlowLinkFixture fixture;
  fixture.store.SetConfiguration(ConfigurationText(1, 2));
  fixture.StartNear();
  fixture.StartFar();
  REQUIRE(fixture.RunUntil([&] {
    return fixture.near->isMember && fixture.far->isMember &&
           fixture.near->members == 2 && fixture.far->members == 2;
  }));
  REQUIRE(fixture.far->version == 1);

  GIVEN(
    "a link on which reading the configuration takes longer than a call may")
  {
    fixture.link->SetBytesPerSecond(20000);
    fixture.store.SetConfiguration(ConfigurationText(2, 1500));
    THEN("the daemon gets it from another one")
    {
      CHECK(fixture.RunUntil([&] { return fixture.far->version == 2; }));
      CHECK(fixture.far->routes == 1500);
    }
    AND_WHEN("more versions follow in quick succession")
    {
      for (uint64_t version = 3; version <= 8; ++version) {
        fixture.store.SetConfiguration(
          ConfigurationText(version, 1500 + version));
        fixture.context.run_for(milliseconds(200));
      }
      THEN("the newest one is in force")
      {
        CHECK(fixture.RunUntil([&] { return fixture.far->version == 8; }));
        CHECK(fixture.far->routes == 1508);
      }
    }
  }
}

// A response of the store that arrived steadily was cut off when its call had
// taken a second, and the daemon asked for it again, without end.
SCENARIO("A daemon that starts reads a large configuration over a slow link",
         "[configuration]")
{
  SlowLinkFixture fixture;
  fixture.store.SetConfiguration(ConfigurationText(1, 1500));
  fixture.link->SetBytesPerSecond(150000);
  fixture.StartFar();
  CHECK(fixture.RunUntil([&] { return fixture.far->version == 1; }));
  CHECK(fixture.far->routes == 1500);
}

// Daemons refused every configuration that was written after the store had come
// back from an older copy: its rows have lower versions than those seen before.
SCENARIO(
  "A configuration comes into force after the store has returned from an "
  "older copy",
  "[configuration][storereturn]")
{
  SlowLinkFixture fixture;
  fixture.store.SetConfiguration(ConfigurationText(1, 2));
  fixture.StartNear();
  REQUIRE(fixture.RunUntil([&] { return fixture.near->isMember; }));
  fixture.store.Copy();
  for (uint64_t version = 2; version <= 6; ++version) {
    fixture.store.SetConfiguration(ConfigurationText(version, version));
  }
  REQUIRE(fixture.RunUntil([&] { return fixture.near->version == 6; }));

  fixture.store.Restore();
  THEN("the one that was in force before stays")
  {
    fixture.context.run_for(seconds(1));
    CHECK(fixture.near->version == 6);
  }
  THEN("the next one comes into force, and the daemon is a member again")
  {
    fixture.store.SetConfiguration(ConfigurationText(7, 9));
    CHECK(fixture.RunUntil([&] { return fixture.near->version == 7; }));
    fixture.context.run_for(seconds(2));
    CHECK(fixture.near->isMember);
  }
  AND_WHEN("it returns once more")
  {
    fixture.store.Restore();
    fixture.store.SetConfiguration(ConfigurationText(8, 3));
    THEN("the next configuration comes into force again")
    {
      CHECK(fixture.RunUntil([&] { return fixture.near->version == 8; }));
    }
  }
}

// Daemons waited for responses that a silent store never sent, and applied a
// configuration 2.6 s after the store had confirmed it, 4.6 s after the store's
// return (docs/incidents/2026-12-04-unanswered-watch.md).
SCENARIO("A configuration comes into force in time after the store was silent",
         "[configuration][silence]")
{
  SlowLinkFixture fixture;
  fixture.store.SetConfiguration(ConfigurationText(1, 2));
  fixture.StartNear();
  fixture.StartFar();
  REQUIRE(fixture.RunUntil(
    [&] { return fixture.near->members == 2 && fixture.far->members == 2; }));
  auto isInForce = [&](uint64_t aVersion) {
    return fixture.near->version == aVersion &&
           fixture.far->version == aVersion;
  };

  GIVEN("a store that has left a watch of the configuration unanswered")
  {
    fixture.store.SetFault("silent");
    REQUIRE(
      fixture.RunUntil([&] { return fixture.store.HasUnansweredWatch("op"); }));
    THEN("the configuration that follows its return is in force in time")
    {
      fixture.store.SetFault("none");
      fixture.store.SetConfiguration(ConfigurationText(2, 3));
      CHECK(fixture.RunUntil([&] { return isInForce(2); }, kMaxOutdatedTime));
    }
    THEN("the same holds after a longer outage")
    {
      fixture.context.run_for(seconds(6));
      fixture.store.SetFault("none");
      fixture.store.SetConfiguration(ConfigurationText(2, 3));
      CHECK(fixture.RunUntil([&] { return isInForce(2); }, kMaxOutdatedTime));
    }
  }
}

// When all open connections fell silent, a daemon waited for its watch, and
// then sent the next one over another connection that was silent, too.
SCENARIO("A configuration comes into force in time after the connections to "
         "the store fell silent",
         "[configuration][silence]")
{
  SlowLinkFixture fixture;
  fixture.store.SetConfiguration(ConfigurationText(1, 2));
  fixture.StartFar();
  REQUIRE(fixture.RunUntil([&] { return fixture.far->isMember; }));
  for (uint64_t version = 2; version <= 4; ++version) {
    fixture.context.run_for(milliseconds(700));
    fixture.link->SilenceConnections();
    fixture.store.SetConfiguration(ConfigurationText(version, 3));
    CHECK(fixture.RunUntil([&] { return fixture.far->version == version; },
                           kMaxOutdatedTime));
  }
}

// The next check is sent over an idle connection if there is one, and fails.
SCENARIO("A configuration comes into force in time although an idle connection "
         "to the store fell silent, too",
         "[configuration][silence]")
{
  constexpr int kRounds = 2; // The age at which a check begins is random.
  for (int round = 0; round < kRounds; ++round) {
    SlowLinkFixture fixture;
    fixture.store.SetConfiguration(ConfigurationText(1, 2));
    fixture.StartFar();
    REQUIRE(fixture.RunUntil([&] { return fixture.far->isMember; }));
    // The daemon writes its member row over a connection of its own.
    fixture.far->isDraining = true;
    REQUIRE(fixture.RunUntil([&] { return fixture.far->serving.draining; }));
    fixture.context.run_for(milliseconds(300));
    fixture.link->SilenceConnections();
    fixture.store.SetConfiguration(ConfigurationText(2, 3));
    CHECK(fixture.RunUntil([&] { return fixture.far->version == 2; },
                           kMaxOutdatedTime));
  }
}

// A check that found the watched version outdated began the load of the table
// again, and so did the next one, before the first load had ended.
SCENARIO("A load over a slow link is not begun again by the next check",
         "[configuration][silence][storereturn]")
{
  SlowLinkFixture fixture;
  fixture.store.SetConfiguration(ConfigurationText(1, 2));
  fixture.StartFar();
  REQUIRE(fixture.RunUntil([&] { return fixture.far->isMember; }));
  fixture.store.Copy();
  fixture.store.SetConfiguration(ConfigurationText(2, 1500));
  REQUIRE(fixture.RunUntil([&] { return fixture.far->version == 2; }));

  fixture.link->SetBytesPerSecond(100000);
  fixture.store.SetConfiguration(ConfigurationText(3, 1600));
  fixture.store.Restore();
  auto before = fixture.store.ReadCount("op");
  CHECK(fixture.RunUntil([&] { return fixture.far->version == 3; }));
  CHECK(fixture.far->routes == 1600);
  CHECK(fixture.store.ReadCount("op") == before + 1);
}
