#include <catch2/catch.hpp>

#include "admission/admission.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(seconds(100));

} // namespace

// Guards against capacity that seems unused under overload, since the log of
// single requests is limited.
SCENARIO("The time of all slots is accounted for", "[slotusage]")
{
  SlotUsage usage;

  GIVEN("a server that may not run requests yet")
  {
    THEN("its slots count as neither used nor idle")
    {
      usage.SetCapacity(kStart, 0, true);
      CHECK(usage.Totals(kStart + seconds(1)) == SlotTimes{});
    }
  }
  GIVEN("a server with two slots that gets keys after a second")
  {
    usage.SetCapacity(kStart, 2, false);
    usage.SetCapacity(kStart + seconds(1), 2, true);
    THEN("its slots are without keys before, and idle after it")
    {
      auto totals = usage.Totals(kStart + seconds(2));
      CHECK(totals.withoutKeys == seconds(2));
      CHECK(totals.idle == seconds(2));
    }
    WHEN("requests run in both, one after the other in the second")
    {
      auto begin = kStart + seconds(1);
      usage.OnStarted(begin);
      usage.OnStarted(begin);
      usage.OnFinished(begin + milliseconds(100), begin, SlotUse::InTime);
      usage.OnStarted(begin + milliseconds(100));
      usage.OnFinished(
        begin + milliseconds(400), begin + milliseconds(100), SlotUse::Error);
      usage.OnFinished(begin + milliseconds(400), begin, SlotUse::Late);
      THEN("their times add up by use, and there is no idle time")
      {
        auto totals = usage.Totals(begin + milliseconds(400));
        CHECK(totals.inTime == milliseconds(100));
        CHECK(totals.error == milliseconds(300));
        CHECK(totals.late == milliseconds(400));
        CHECK(totals.idle == Duration(0));
      }
    }
    WHEN("a request runs while the server begins to leave")
    {
      auto begin = kStart + seconds(1);
      usage.OnStarted(begin);
      usage.SetCapacity(begin, 0, true);
      usage.OnFinished(begin + milliseconds(50), begin, SlotUse::Cancelled);
      THEN("only its own time counts")
      {
        auto totals = usage.Totals(begin + seconds(1));
        CHECK(totals.cancelled == milliseconds(50));
        CHECK(totals.idle == Duration(0));
      }
    }
    WHEN("its connection breaks")
    {
      auto begin = kStart + seconds(1);
      usage.OnStarted(begin);
      usage.OnFinished(begin + seconds(1), begin, SlotUse::Unanswered);
      THEN("the slot was used for nothing, the other one was idle")
      {
        auto totals = usage.Totals(begin + seconds(1));
        CHECK(totals.unanswered == seconds(1));
        CHECK(totals.idle == seconds(1));
      }
    }
  }
}
