#include <catch2/catch.hpp>

#include "scheduling/scheduling.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

TEST_CASE("The scheduler hands out slots", "[scheduling]")
{
  Time now = FromBootNanoseconds(1);
  Time later = now + std::chrono::seconds(1);
  Scheduler scheduler(1);
  auto first = scheduler.Offer(now, { 1, "lookup", "a", now, later });
  REQUIRE(first.size() == 1);
  CHECK(first[0].kind == ScheduleDecision::Kind::Start);

  SECTION("the next request waits for a free slot")
  {
    CHECK(scheduler.Offer(now, { 2, "lookup", "b", now, later }).empty());
    auto next = scheduler.Finished(now, 1);
    REQUIRE(next.size() == 1);
    CHECK(next[0].id == 2);
  }
  SECTION("a request whose deadline passed while waiting is refused")
  {
    scheduler.Offer(now, { 2, "lookup", "b", now, later });
    auto refused = scheduler.Tick(later);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].kind == ScheduleDecision::Kind::Refuse);
  }
}
