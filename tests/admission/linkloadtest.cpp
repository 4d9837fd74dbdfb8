#include <deque>
#include <random>

#include <catch2/catch.hpp>

#include "admission/admission.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(seconds(100));
constexpr const char* kDownload = "download";
constexpr uint64_t kChunkBytes = 32 * 1024;
constexpr uint64_t kDownloadBytes = 90 * 1024;

/** A link that carries what connections have in flight in order of arrival, and
 * the daemon's side of it. */
class LinkSimulation
{
public:
  explicit LinkSimulation(double aBytesPerSecond,
                          Duration aRoundTrip = milliseconds(1))
    : bytesPerSecond(aBytesPerSecond)
    , roundTrip(aRoundTrip)
  {
  }

  /** Offers a long response over a connection of its own. */
  uint64_t Offer(uint64_t aBytes = kDownloadBytes)
  {
    auto id = this->nextId++;
    this->load.Expect(id, kDownload);
    this->load.OnStarted(id, aBytes);
    this->waiting.push_back({ id, aBytes });
    return id;
  }

  /** The receiver of a response stops reading. */
  void Stall(uint64_t aId) { this->stalled = aId; }

  void Run(Duration aTime)
  {
    constexpr Duration kStep = milliseconds(1);
    for (auto end = this->now + aTime; this->now < end; this->now += kStep) {
      this->Drain(kStep);
      this->Measure();
      this->Send();
      this->mostQueued = std::max(this->mostQueued, this->QueueTime());
    }
  }

  /** Time that a short message would wait behind what is in flight. */
  Duration QueueTime() const
  {
    uint64_t queued = 0;
    for (const auto& packet : this->link) {
      queued += packet.bytes;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(queued) / this->bytesPerSecond));
  }

  LinkLoad load;
  Time now = kStart;
  double bytesPerSecond;
  uint64_t delivered = 0; ///< Bytes.
  Duration mostQueued = Duration(0);
  std::map<uint64_t, Time> arrivals; ///< Of whole responses, by id.
  size_t WaitingCount() const { return this->waiting.size(); }

private:
  struct Packet
  {
    uint64_t id;
    uint64_t bytes;
    bool last;
  };
  struct Waiting
  {
    uint64_t id;
    uint64_t left;
  };
  struct Ack
  {
    Time at;
    uint64_t id;
    uint64_t bytes;
  };

  void Drain(Duration aTime)
  {
    this->credit +=
      this->bytesPerSecond * std::chrono::duration<double>(aTime).count();
    while (!this->link.empty() && this->credit > 0) {
      auto& packet = this->link.front();
      auto bytes = std::min<uint64_t>(packet.bytes,
                                      static_cast<uint64_t>(this->credit) + 1);
      packet.bytes -= bytes;
      this->credit -= static_cast<double>(bytes);
      this->delivered += bytes;
      this->acks.push_back({ this->now + this->roundTrip, packet.id, bytes });
      if (packet.bytes == 0) {
        if (packet.last) {
          this->arrivals[packet.id] = this->now;
        }
        this->link.pop_front();
      }
    }
    this->credit = this->link.empty() ? 0 : this->credit;
    while (!this->acks.empty() && this->acks.front().at <= this->now) {
      this->unacknowledged[this->acks.front().id] -= this->acks.front().bytes;
      this->acks.pop_front();
    }
  }

  void Measure()
  {
    for (const auto& [id, bytes] : this->unacknowledged) {
      this->load.OnMeasured(this->now, id, bytes);
      if (bytes == 0) {
        this->load.OnIdle(id);
      }
    }
    for (auto entry = this->unacknowledged.begin();
         entry != this->unacknowledged.end();) {
      entry = entry->second == 0 ? this->unacknowledged.erase(entry)
                                 : std::next(entry);
    }
    this->load.OnRoundMeasured(this->now);
  }

  void Send()
  {
    while (!this->waiting.empty() && this->load.MaySend(this->now)) {
      auto& response = this->waiting.front();
      auto bytes = std::min(kChunkBytes, response.left);
      response.left -= bytes;
      bool last = response.left == 0;
      this->unacknowledged[response.id] += bytes;
      if (response.id != this->stalled) {
        this->link.push_back({ response.id, bytes, last });
      }
      this->load.OnSent(response.id, bytes);
      if (last) {
        this->load.OnEnded(response.id, true);
        this->waiting.pop_front();
      }
      this->Measure();
    }
  }

  Duration roundTrip;
  uint64_t nextId = 1;
  uint64_t stalled = 0;
  double credit = 0;
  std::deque<Waiting> waiting;
  std::deque<Packet> link;
  std::deque<Ack> acks;
  std::map<uint64_t, uint64_t> unacknowledged;
};

/** 10 Mbit/s. */
constexpr double kSlowLink = 1.25e6;
/** 1 Gbit/s. */
constexpr double kFastLink = 125e6;

/** Offers downloads at a rate for some time. */
void
OfferFor(LinkSimulation& aLink, Duration aTime, double aBytesPerSecond)
{
  auto interval = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(kDownloadBytes / aBytesPerSecond));
  for (auto end = aLink.now + aTime; aLink.now < end;) {
    aLink.Offer();
    aLink.Run(std::max<Duration>(interval, milliseconds(1)));
  }
}

} // namespace

// Guards against calls that run out of time behind the downloads of a machine
// whose link is full.
SCENARIO("Downloads fill the link, and short messages use it too", "[link]")
{
  GIVEN("a slow link that gets a fifth more than it carries")
  {
    LinkSimulation link(kSlowLink);
    OfferFor(link, seconds(5), kSlowLink * 1.2);
    THEN("a short message waits for little more than a chunk")
    {
      CHECK(link.mostQueued < milliseconds(80));
    }
    THEN("the link is in use all the time")
    {
      CHECK(link.delivered > kSlowLink * 5 * 0.97);
    }
    THEN("its speed is known")
    {
      auto speed = link.load.BytesPerSecond(link.now);
      REQUIRE(speed);
      CHECK(*speed > kSlowLink * 0.9);
      CHECK(*speed < kSlowLink * 1.1);
    }
    THEN("the estimate is when the next response arrives")
    {
      auto estimate = link.load.Estimate(link.now, kDownload);
      auto offered = link.now;
      auto id = link.Offer();
      link.Run(seconds(5));
      REQUIRE(link.arrivals.count(id) == 1);
      Duration taken = link.arrivals[id] - offered;
      Duration expected = estimate.untilFree + estimate.transmission;
      CHECK(taken > expected * 85 / 100);
      CHECK(taken < expected * 115 / 100);
    }
    THEN("responses of a class that is short do not wait for it")
    {
      auto id = 100000;
      link.load.Expect(id, "call");
      link.load.OnSent(id, 400);
      link.load.OnEnded(id, true);
      CHECK(link.load.Estimate(link.now, "call") == LinkEstimate());
    }
    WHEN("other traffic takes half of it")
    {
      link.bytesPerSecond = kSlowLink / 2;
      OfferFor(link, seconds(4), kSlowLink);
      THEN("what is left for downloads is known")
      {
        auto speed = link.load.BytesPerSecond(link.now);
        REQUIRE(speed);
        CHECK(*speed < kSlowLink * 0.6);
      }
    }
    WHEN("it becomes fast")
    {
      link.bytesPerSecond = kFastLink;
      link.Run(seconds(1));
      OfferFor(link, seconds(2), kFastLink * 0.2);
      THEN("it is used")
      {
        CHECK(link.WaitingCount() < 5);
      }
    }
    WHEN("no downloads come for a while")
    {
      link.Run(seconds(20));
      THEN("an old speed refuses nothing")
      {
        CHECK(link.load.Estimate(link.now, kDownload) == LinkEstimate());
      }
    }
  }
  GIVEN("a very slow link")
  {
    // Guards against connections that count as stalled while the link is busy
    // with others.
    constexpr double kVerySlowLink = 50e3;
    LinkSimulation link(kVerySlowLink);
    OfferFor(link, seconds(20), kVerySlowLink * 1.5);
    auto inFlightTime =
      std::chrono::duration<double>(2 * kChunkBytes / kVerySlowLink);
    CHECK(link.mostQueued <
          std::chrono::duration_cast<Duration>(inFlightTime * 1.5));
  }
  GIVEN("a fast link to another availability zone")
  {
    LinkSimulation link(kFastLink, milliseconds(3));
    OfferFor(link, seconds(3), kFastLink * 0.4);
    THEN("it is not slowed down")
    {
      CHECK(link.WaitingCount() < 5);
      CHECK(link.delivered > kFastLink * 0.4 * 3 * 0.9);
    }
  }
  GIVEN("a receiver that stops reading")
  {
    LinkSimulation link(kSlowLink);
    link.Stall(link.Offer());
    link.Run(milliseconds(10));
    OfferFor(link, seconds(3), kSlowLink * 0.8);
    THEN("responses to others go on after a moment")
    {
      CHECK(link.delivered > kSlowLink * 0.8 * 3 * 0.8);
      CHECK(link.WaitingCount() < 3);
    }
  }
}

SCENARIO("A response that the link cannot carry in time is refused at once",
         "[link][queue]")
{
  SlotQueue queue([](const SlotRequest&) { return true; });
  queue.SetSlots(4);
  SlotRequest request;
  request.id = 1;
  request.requestClass = kDownload;
  request.arrivedAt = kStart;
  request.targetTime = kStart + milliseconds(500);
  request.deadline = kStart + milliseconds(2000);
  request.notBefore = kStart;
  request.transmission = milliseconds(70);

  GIVEN("a link that is free in time")
  {
    request.linkFreeAt = kStart + milliseconds(320);
    THEN("the request starts, since its work takes a while anyway")
    {
      CHECK(queue.Offer(kStart, request).empty());
      CHECK(queue.Start(kStart) == std::vector<uint64_t>{ 1 });
    }
  }
  GIVEN("a link that is free too late for the target time")
  {
    request.linkFreeAt = kStart + milliseconds(480);
    auto refused = queue.Offer(kStart, request);
    THEN("the request is refused although slots are free, with a delay after "
         "which the link has carried the others")
    {
      REQUIRE(refused.size() == 1);
      CHECK(refused[0].reason == "link-full");
      CHECK(refused[0].retryAfter >= milliseconds(480));
      CHECK(queue.Start(kStart).empty());
    }
  }
  GIVEN("a call with a short response beside it")
  {
    request.requestClass = "call";
    request.transmission = Duration(0);
    THEN("it starts at once")
    {
      CHECK(queue.Offer(kStart, request).empty());
    }
  }
}
