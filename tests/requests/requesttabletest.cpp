#include <catch2/catch.hpp>

#include "requests/requests.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

constexpr RowVersion kOwnedSince = 10;
constexpr uint64_t kTick = 1000;

RequestIdentity
Identity(const std::string& aId, uint64_t aTick = kTick)
{
  return { aId, 1, { kOwnedSince, aTick } };
}

Outcome
Done(const std::string& aBody)
{
  Outcome outcome;
  outcome.code = OutcomeCode::Done;
  outcome.body = aBody;
  return outcome;
}

} // namespace

TEST_CASE("An owner remembers non-idempotent requests", "[requests]")
{
  RequestTable table({ 3, 10, 8, 100 });
  auto admit = [&table](const RequestIdentity& aIdentity) {
    return table.Admit(aIdentity, kOwnedSince, kTick);
  };
  REQUIRE(admit(Identity("a")).kind == Admission::Kind::Start);

  SECTION("a second copy joins the first and gets its answer later")
  {
    CHECK(admit(Identity("a")).kind == Admission::Kind::Join);
    table.End("a", Done("answer"));
    auto again = admit(Identity("a"));
    CHECK(again.kind == Admission::Kind::Answer);
    CHECK(again.outcome == Done("answer"));
    CHECK(table.Settle(Identity("a"), kOwnedSince).outcome == Done("answer"));
  }
  SECTION("an id that did not arrive is barred when asked about")
  {
    auto settled = table.Settle(Identity("late"), kOwnedSince);
    CHECK(settled.outcome.code == OutcomeCode::NotRun);
    CHECK(admit(Identity("late")).kind == Admission::Kind::Answer);
    CHECK(admit(Identity("late")).outcome.code == OutcomeCode::NotRun);
  }
  SECTION("an id is refused for another body, running or ended")
  {
    RequestIdentity other = Identity("a");
    other.content = 2;
    CHECK(admit(other).outcome.idReused);
    table.End("a", Done("answer"));
    CHECK(admit(other).outcome.idReused);
    CHECK(table.Settle(other, kOwnedSince).outcome.idReused);
  }
  SECTION("an id issued before the change of owner is refused, not barred")
  {
    RequestIdentity old = Identity("old");
    old.stamp.revision = kOwnedSince - 1;
    CHECK(admit(old).outcome.outdated);
    CHECK(table.Settle(old, kOwnedSince).outcome.outdated);
    CHECK(table.Size() == 1);
  }
  SECTION("an id stamped far ahead of this owner is refused")
  {
    CHECK(admit(Identity("ahead", kTick + 101)).outcome.outdated);
    CHECK(admit(Identity("near", kTick + 100)).kind == Admission::Kind::Start);
  }
  SECTION("a request that never left this owner is forgotten")
  {
    table.End("a", NotOwner());
    CHECK(table.Size() == 0);
    CHECK(admit(Identity("a")).kind == Admission::Kind::Start);
  }
  SECTION("a full table of running requests refuses more")
  {
    admit(Identity("b"));
    admit(Identity("c"));
    CHECK(admit(Identity("d")).outcome.code == OutcomeCode::NotRun);
    CHECK(table.Settle(Identity("d"), kOwnedSince).outcome.code ==
          OutcomeCode::Unknown);
    CHECK(table.Size() == 3);
  }
  SECTION("what a full table forgets is refused from then on")
  {
    table.End("a", Done("x"));
    admit(Identity("b", kTick + 1));
    admit(Identity("c", kTick + 1));
    CHECK(admit(Identity("d", kTick + 2)).kind == Admission::Kind::Start);
    CHECK(table.Horizon() == kTick);
    CHECK(admit(Identity("a")).outcome.outdated);
    CHECK(table.Settle(Identity("a"), kOwnedSince).outcome.outdated);
    CHECK(table.Size() == 3);
  }
  SECTION("answers beyond their bound are dropped, their ids are not")
  {
    table.End("a", Done("12345678"));
    admit(Identity("b"));
    table.End("b", Done("1234"));
    admit(Identity("c"));
    table.End("c", Done("123456789"));
    CHECK(table.AnswerBytes() == 4);
    CHECK(admit(Identity("a")).outcome.code == OutcomeCode::Unknown);
    CHECK(admit(Identity("b")).outcome == Done("1234"));
    CHECK(admit(Identity("c")).outcome.code == OutcomeCode::Unknown);
  }
}

TEST_CASE("Issue stamps order ids without clocks that agree", "[requests]")
{
  IssueClock clock;
  clock.SeeRevision(7);
  clock.SeeRevision(5);
  CHECK(clock.Now(100) == IssueStamp{ 7, 100 });

  SECTION("a tick seen from a daemon whose clock is ahead is passed")
  {
    clock.SeeTick(500);
    CHECK(clock.Now(100) == IssueStamp{ 7, 501 });
  }
  SECTION("stamps survive their text form, other text is refused")
  {
    CHECK(ParseIssueStamp(ToString(IssueStamp{ 7, 100 })) ==
          IssueStamp{ 7, 100 });
    for (const char* text :
         { "", ".", "7", "7.", ".1", "-7.1", "7.1x", "7,1" }) {
      CAPTURE(text);
      CHECK_FALSE(ParseIssueStamp(text));
    }
  }
}
