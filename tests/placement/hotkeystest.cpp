#include <catch2/catch.hpp>

#include "placement/placement.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

TEST_CASE("The sketch holds the heaviest keys", "[placement]")
{
  HotKeys keys(8);
  for (int round = 0; round < 100; ++round) {
    keys.Record("reel");
    keys.Record(round % 2 == 0 ? "visit" : "grant");
    keys.Record("key-" + std::to_string(round));
  }
  CHECK(keys.Total() == 300);
  auto top = keys.Top(3);
  REQUIRE(top.size() == 3);
  CHECK(top[0] == HotKey{ "reel", 100, 0 });
  CHECK(top[1].weight >= 50);

  SECTION("with a weight that is never too low, nor too high by its error")
  {
    for (const auto& hot : keys.Top(8)) {
      double exact = hot.key == "reel" ? 100 : 1;
      exact = hot.key == "visit" || hot.key == "grant" ? 50 : exact;
      CHECK(hot.weight >= exact);
      CHECK(hot.weight - hot.error <= exact);
    }
  }
  SECTION("and gives up keys that cooled down")
  {
    for (int step = 0; step < 10; ++step) {
      keys.Decay(0.5);
    }
    for (int round = 0; round < 5; ++round) {
      keys.Record("launch");
    }
    CHECK(keys.Top(1).front().key == "launch");
  }
}

TEST_CASE("A key that is hot enough is placed apart", "[placement]")
{
  constexpr double kSlots = 6;
  constexpr double kLoad = 4;
  Time now(std::chrono::hours(1));
  ApartSettings settings;
  HotKeys keys(64);
  keys.Record("launch", 500);
  keys.Record("calm", 30);
  for (int index = 0; index < 47; ++index) {
    keys.Record("key-" + std::to_string(index), 10);
  }
  auto decision = DecideApart(now, keys, kLoad, kSlots, {}, settings);
  CHECK(decision.apart == std::vector<std::string>{ "launch" });
  std::vector<ApartKey> apart = { { "launch", now } };

  SECTION("once")
  {
    auto again = DecideApart(now, keys, kLoad, kSlots, apart, settings);
    CHECK(again.apart.empty());
    CHECK(again.back.empty());
  }
  SECTION("but not while the server has slots to spare")
  {
    CHECK(DecideApart(now, keys, 1, kSlots, {}, settings).apart.empty());
  }
  SECTION("but not for more keys than allowed")
  {
    settings.maxKeys = 0;
    CHECK(DecideApart(now, keys, kLoad, kSlots, {}, settings).apart.empty());
  }
  SECTION("until it cooled down and its least time passed")
  {
    Time early = now + settings.dwell / 2;
    Time late = now + settings.dwell;
    CHECK(DecideApart(late, keys, kLoad, kSlots, apart, settings).back.empty());
    keys.Record("other", 20000);
    CHECK(
      DecideApart(early, keys, kLoad, kSlots, apart, settings).back.empty());
    auto cooled = DecideApart(late, keys, kLoad, kSlots, apart, settings);
    CHECK(cooled.back == std::vector<std::string>{ "launch" });
  }
}
