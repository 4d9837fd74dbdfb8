#include <catch2/catch.hpp>

#include "requests/requests.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using Kind = ForwardStep::Kind;

const Owner kFirst{ 1, "first", 10 };
const Owner kSecond{ 2, "second", 20 };

Request
MakeRequest(Time aDeadline)
{
  Request request;
  request.requestId = "r";
  request.deadline = aDeadline;
  request.stamp = { 15, 1 };
  request.sentBefore = false;
  return request;
}

} // namespace

TEST_CASE("An ingress takes a request to its owner", "[requests]")
{
  Time start = FromBootNanoseconds(0);
  Request request = MakeRequest(start + std::chrono::seconds(10));
  RetryBudget budget(0.1, 2);
  std::mt19937 random(1); // NOLINT(bugprone-random-generator-seed)
  ForwardTimes times;

  SECTION("non-idempotent work whose call broke is asked about, not sent again")
  {
    Forwarding forwarding(request, false, budget, random, times);
    REQUIRE(forwarding.Next(start, kFirst).kind == Kind::Send);
    forwarding.Ended(start, CallEnd::Lost, Outcome());
    auto ask = forwarding.Next(start, kSecond);
    CHECK(ask.kind == Kind::Settle);
    CHECK(ask.owner == kFirst);
    SECTION("the owner's word is the answer")
    {
      Outcome barred = NotRun("barred", Duration(1));
      forwarding.Ended(start, CallEnd::Answered, barred);
      CHECK(forwarding.Next(start, kFirst).outcome == barred);
    }
    SECTION("an owner that stays silent leaves it unknown, before the deadline")
    {
      forwarding.Ended(start, CallEnd::Lost, Outcome());
      auto step = forwarding.Next(start + times.settle, kFirst);
      CHECK(step.kind == Kind::Finish);
      CHECK(step.outcome.code == OutcomeCode::Unknown);
      CHECK(forwarding.Attempts() == 1);
    }
  }
  SECTION("a shed request is answered at once, idempotent or not")
  {
    for (bool idempotent : { true, false }) {
      Forwarding forwarding(request, idempotent, budget, random, times);
      forwarding.Next(start, kFirst);
      Outcome shed = NotRun("shed", std::chrono::seconds(1));
      forwarding.Ended(start, CallEnd::Answered, shed);
      CHECK(forwarding.Next(start, kFirst).outcome == shed);
      CHECK(forwarding.Attempts() == 1);
    }
  }
  SECTION("an owner that does not take it is not asked again at once")
  {
    Forwarding forwarding(request, true, budget, random, times);
    forwarding.Next(start, kFirst);
    forwarding.Ended(start, CallEnd::Answered, NotOwner());
    CHECK(forwarding.Next(start, kFirst).kind == Kind::Wait);
    CHECK(forwarding.Next(start, kSecond).kind == Kind::Send);
  }
  SECTION("an id older than the new owner gets a final answer")
  {
    for (bool sentBefore : { true, false }) {
      request.sentBefore = sentBefore;
      Forwarding forwarding(request, false, budget, random, times);
      forwarding.Next(start, kFirst);
      forwarding.Ended(start, CallEnd::NotSent, Outcome());
      auto step = forwarding.Next(start, kSecond);
      REQUIRE(step.kind == Kind::Finish);
      CHECK(step.outcome.outdated == sentBefore);
      CHECK((step.outcome.code == OutcomeCode::NotRun) == !sentBefore);
    }
  }
  SECTION("idempotent work is retried within the budget only")
  {
    uint32_t sent = 0;
    for (int count = 0; count < 100; ++count) {
      Forwarding forwarding(request, true, budget, random, times);
      Time now = start;
      auto step = forwarding.Next(now, kFirst);
      while (step.kind != Kind::Finish) {
        if (step.kind == Kind::Send) {
          forwarding.Ended(now, CallEnd::Lost, UnknownOutcome("lost"));
        }
        now += std::chrono::milliseconds(1);
        step = forwarding.Next(now, kFirst);
      }
      sent += forwarding.Attempts();
    }
    // The bucket starts full: the first share does not fit in.
    CHECK(sent == 111);
  }
  SECTION("a retry refused after a lost attempt is not told as not run")
  {
    Forwarding forwarding(request, true, budget, random, times);
    forwarding.Next(start, kFirst);
    forwarding.Ended(start, CallEnd::Lost, UnknownOutcome("lost"));
    Time later = start + times.firstPause;
    REQUIRE(forwarding.Next(later, kFirst).kind == Kind::Send);
    forwarding.Ended(later, CallEnd::Answered, NotRun("shed", Duration(1)));
    CHECK(forwarding.Next(later, kFirst).outcome.code == OutcomeCode::Unknown);
  }
  SECTION("nothing is sent at or past the deadline")
  {
    for (bool sentBefore : { true, false }) {
      request.sentBefore = sentBefore;
      Forwarding forwarding(request, false, budget, random, times);
      auto step = forwarding.Next(request.deadline, kFirst);
      REQUIRE(step.kind == Kind::Finish);
      CHECK((step.outcome.code == OutcomeCode::NotRun) == !sentBefore);
    }
  }
}

TEST_CASE("Back-off draws from the whole of a bound that doubles", "[requests]")
{
  Backoff backoff(Duration(10), Duration(35));
  std::mt19937 random(1); // NOLINT(bugprone-random-generator-seed)
  for (int64_t bound : { 10, 20, 35, 35 }) {
    Duration pause = backoff.Next(random);
    CHECK(pause >= Duration(0));
    CHECK(pause <= Duration(bound));
  }
}
