#include <catch2/catch.hpp>

#include "admission/admission.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;

const Time kStart = Time(std::chrono::hours(5));

/** Senders that follow the share, and a server that starts a fixed number of
 * requests per second. */
struct Overload
{
  SendShare share;
  Time now = kStart;
  double room = 0; ///< Requests that the server can start now.
  double held = 0; ///< Part of a request that the senders have not sent.
  int sent = 0;
  int started = 0;

  /** @param aOffered Requests per second of the clients.
   * @param aCapacity Requests per second that the server starts. */
  void Run(Duration aTime, int aOffered, int aCapacity)
  {
    sent = 0;
    started = 0;
    for (auto end = now + aTime; now < end;
         now += milliseconds(1000) / aOffered) {
      room = std::min(2.0, room + static_cast<double>(aCapacity) / aOffered);
      double part = share.Of(now, "lookup");
      held += part;
      if (held < 1) {
        continue;
      }
      held -= 1;
      ++sent;
      share.OnOffered(now, "lookup", 1 / part);
      if (room >= 1) {
        room -= 1;
        ++started;
        share.OnStarted(now, "lookup");
      }
    }
  }
};

} // namespace

SCENARIO("A server is sent little more than it can start", "[sendshare]")
{
  Overload load;

  GIVEN("a server that refuses nothing")
  {
    load.Run(std::chrono::seconds(3), 100, 150);
    THEN("it is sent everything")
    {
      CHECK(load.share.Of(load.now, "lookup") == 1);
      CHECK(load.started == load.sent);
    }
  }
  GIVEN("five times as many requests as it can start")
  {
    load.Run(std::chrono::seconds(3), 500, 100);
    load.Run(std::chrono::seconds(2), 500, 100);
    THEN("most of what it would refuse is not sent")
    {
      CHECK(load.sent < 2 * 180);
    }
    THEN("it still starts all that it can")
    {
      CHECK(load.started > 2 * 95);
    }
    AND_WHEN("the burst ends")
    {
      load.Run(milliseconds(1500), 80, 100);
      THEN("everything is sent again, although all senders have followed the "
           "share")
      {
        CHECK(load.share.Of(load.now, "lookup") == 1);
      }
    }
    AND_WHEN("nothing is offered for a while")
    {
      THEN("the share is forgotten")
      {
        CHECK(load.share.Of(load.now + std::chrono::seconds(10), "lookup") ==
              1);
      }
    }
    THEN("a class without refusals is not affected")
    {
      CHECK(load.share.Of(load.now, "booking") == 1);
    }
  }
  GIVEN("a server that can start nothing")
  {
    load.Run(std::chrono::seconds(3), 500, 1);
    THEN("a few requests are sent, so that its recovery is noticed")
    {
      CHECK(load.share.Of(load.now, "lookup") >= 0.05);
      CHECK(load.sent > 50);
    }
  }
}
