#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include <catch2/catch.hpp>

#include "routing/routing.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kClass = "session-bill";
constexpr size_t kZones = 4;
constexpr size_t kMembersPerZone = 3;
constexpr size_t kIngressesPerZone = 8;
constexpr uint32_t kSlots = 5;
constexpr Duration kTarget = milliseconds(150);
constexpr Duration kWork = milliseconds(42);
/** Requests a second that the servers of a zone can run. */
constexpr double kZoneCapacity =
  kMembersPerZone * kSlots * 1000.0 / std::chrono::milliseconds(42).count();
constexpr uint32_t kMaxHops = 3;

/**
 * Daemons that send requests of one class to the servers of four zones by the
 * real PeerTable and ZoneChoice. A server has slots and a queue; it refuses
 * what it cannot start in time, and reports its load with each response. All
 * times are simulated.
 */
class ZoneModel
{
public:
  /** What happened within one second. */
  struct Second
  {
    std::array<double, kZones> sent{};    ///< Requests by zone of origin.
    std::array<double, kZones> sentOut{}; ///< Answered by another zone.
    std::array<double, kZones> refused{}; ///< After all attempts.
    std::array<double, kZones> late{};
    /** Answered requests by zone of the server. */
    std::array<double, kZones> served{};
    /** Refused although a server had a free slot then. */
    double refusedWithRoom = 0;
  };

  explicit ZoneModel(uint64_t aSeed)
    : random(aSeed)
  {
    for (size_t zone = 0; zone < kZones; ++zone) {
      for (size_t index = 0; index < kMembersPerZone; ++index) {
        auto name = "m" + std::to_string(zone) + "-" + std::to_string(index);
        Member member;
        member.name = name;
        member.zone = zone;
        this->members.push_back(std::move(member));
        this->candidates.push_back({ name, std::to_string(zone) });
      }
      for (size_t index = 0; index < kIngressesPerZone; ++index) {
        this->ingresses.push_back(
          std::make_unique<Ingress>(zone, [this] { return this->Draw(); }));
        this->ScheduleArrival(this->ingresses.size() - 1);
      }
    }
  }

  /** Requests a second of each zone, as a part of what its servers can run. */
  std::array<double, kZones> demand{};
  /** Added to each way between two zones, in addition to 0.5 ms. */
  std::array<Duration, kZones> linkDelay{};
  Duration transferCost = milliseconds(2);

  /** Makes the servers of a zone accept only some requests a second each. */
  void SetLimit(size_t aZone, double aPerSecond)
  {
    for (auto& member : this->members) {
      if (member.zone == aZone) {
        member.perSecond = aPerSecond;
      }
    }
  }

  /** Runs for some seconds and returns what happened in each. */
  std::vector<Second> Run(int aSeconds)
  {
    std::vector<Second> results;
    for (int second = 0; second < aSeconds; ++second) {
      this->current = {};
      auto end = this->now + seconds(1);
      while (!this->events.empty() && this->events.top().at <= end) {
        auto event = this->events.top();
        this->events.pop();
        this->now = event.at;
        event.action();
      }
      this->now = end;
      results.push_back(this->current);
    }
    return results;
  }

private:
  struct Ingress
  {
    Ingress(size_t aZone, ZoneChoice::Random aRandom)
      : zone(aZone)
      , choice(std::move(aRandom))
    {
    }
    size_t zone;
    PeerTable peers;
    ZoneChoice choice;
  };
  struct Request
  {
    size_t ingress = 0;
    Time startedAt;
    Time sentAt;
    std::set<std::string> tried;
  };
  struct Member
  {
    std::string name;
    size_t zone = 0;
    uint32_t running = 0;
    std::deque<std::pair<Request, Time>> waiting;
    double perSecond = 0; ///< Limit of requests started; 0: none.
    Time nextStart;
    double offered = 0; ///< Work offered lately, decays; in slot seconds.
    Time offeredAt;
  };
  struct Event
  {
    Time at;
    uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& aOther) const
    {
      return std::pair(this->at, this->number) >
             std::pair(aOther.at, aOther.number);
    }
  };

  double Draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  Duration DrawExponential(double aSeconds)
  {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      std::exponential_distribution<double>(1 / aSeconds)(this->random)));
  }

  void Schedule(Duration aDelay, std::function<void()> aAction)
  {
    this->events.push(
      { this->now + aDelay, this->eventCount++, std::move(aAction) });
  }

  void ScheduleArrival(size_t aIngress)
  {
    auto zone = this->ingresses[aIngress]->zone;
    double perSecond = this->demand[zone] * kZoneCapacity / kIngressesPerZone;
    if (perSecond <= 0) {
      this->Schedule(milliseconds(50),
                     [this, aIngress] { this->ScheduleArrival(aIngress); });
      return;
    }
    this->Schedule(this->DrawExponential(1 / perSecond), [this, aIngress] {
      Request request;
      request.ingress = aIngress;
      request.startedAt = this->now;
      this->current.sent[this->ingresses[aIngress]->zone] += 1;
      this->Send(std::move(request));
      this->ScheduleArrival(aIngress);
    });
  }

  Duration Way(size_t aFrom, size_t aTo) const
  {
    return aFrom == aTo ? Duration(std::chrono::microseconds(100))
                        : milliseconds(1) / 2 + this->linkDelay[aFrom] +
                            this->linkDelay[aTo];
  }

  void Send(Request aRequest)
  {
    auto& ingress = *this->ingresses[aRequest.ingress];
    ZoneCriteria criteria;
    criteria.requestClass = kClass;
    criteria.ownZone = std::to_string(ingress.zone);
    criteria.target = kTarget;
    criteria.transferCost = this->transferCost;
    criteria.tried = aRequest.tried;
    auto chosen = ingress.choice.Choose(
      this->now, this->candidates, criteria, ingress.peers);
    auto found = std::find_if(
      this->members.begin(), this->members.end(), [&](const Member& aMember) {
        return aMember.name == chosen;
      });
    if (found == this->members.end()) {
      this->GiveUp(aRequest);
      return;
    }
    auto index = static_cast<size_t>(found - this->members.begin());
    ingress.peers.OnRequestSent(chosen);
    aRequest.sentAt = this->now;
    this->Schedule(this->Way(ingress.zone, found->zone),
                   [this, index, request = std::move(aRequest)] {
                     this->Receive(index, request);
                   });
  }

  Duration ExpectedTime(const Member& aMember) const
  {
    auto ahead = static_cast<int>(aMember.running + aMember.waiting.size()) + 1;
    auto perSlot = static_cast<int>(kSlots);
    auto wait = kWork * std::max(0, ahead - perSlot) / perSlot;
    if (aMember.perSecond > 0) {
      auto limited =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(aMember.waiting.size()) / aMember.perSecond));
      wait = std::max<Duration>(
        wait, limited + std::max(aMember.nextStart - this->now, Duration(0)));
    }
    return wait + kWork;
  }

  double Offer(Member& aMember, double aWork)
  {
    std::chrono::duration<double> passed = this->now - aMember.offeredAt;
    aMember.offeredAt = this->now;
    aMember.offered = aMember.offered * std::exp(-passed.count()) + aWork;
    return aMember.offered;
  }

  void Receive(size_t aMember, Request aRequest)
  {
    auto& member = this->members[aMember];
    this->Offer(member, std::chrono::duration<double>(kWork).count());
    if (this->now + this->ExpectedTime(member) >
        aRequest.startedAt + 2 * kTarget) {
      this->Respond(aMember, aRequest, false, Duration(0));
      return;
    }
    member.waiting.emplace_back(std::move(aRequest), this->now);
    this->StartWaiting(aMember);
  }

  void StartWaiting(size_t aMember)
  {
    auto& member = this->members[aMember];
    while (member.running < kSlots && !member.waiting.empty()) {
      if (member.perSecond > 0 && this->now < member.nextStart) {
        this->Schedule(member.nextStart - this->now + milliseconds(1),
                       [this, aMember] { this->StartWaiting(aMember); });
        return;
      }
      if (member.perSecond > 0) {
        member.nextStart =
          this->now + std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(1 / member.perSecond));
      }
      ++member.running;
      auto [request, arrivedAt] = std::move(member.waiting.front());
      member.waiting.pop_front();
      auto work = this->DrawExponential(
                    std::chrono::duration<double>(kWork).count() / 2) +
                  kWork / 2;
      this->Schedule(
        work, [this, aMember, request = request, arrivedAt = arrivedAt] {
          --this->members[aMember].running;
          this->Respond(aMember, request, true, this->now - arrivedAt);
          this->StartWaiting(aMember);
        });
    }
  }

  void Respond(size_t aMember,
               const Request& aRequest,
               bool aAnswered,
               Duration aElapsed)
  {
    auto& member = this->members[aMember];
    double capacity =
      member.perSecond > 0
        ? std::min<double>(kSlots,
                           member.perSecond *
                             std::chrono::duration<double>(kWork).count())
        : kSlots;
    double load = this->Offer(member, 0) / capacity;
    auto expected = this->ExpectedTime(member);
    auto zone = this->ingresses[aRequest.ingress]->zone;
    this->Schedule(this->Way(zone, member.zone), [=] {
      this->OnResponse(aMember, aRequest, aAnswered, aElapsed, load, expected);
    });
  }

  void OnResponse(size_t aMember,
                  Request aRequest,
                  bool aAnswered,
                  Duration aElapsed,
                  double aLoad,
                  Duration aExpected)
  {
    auto& member = this->members[aMember];
    auto& ingress = *this->ingresses[aRequest.ingress];
    ingress.peers.OnRequestEnded(member.name);
    ingress.peers.OnReport(
      this->now, member.name, kClass, aLoad, aExpected, Duration(0));
    ingress.peers.OnOverhead(
      this->now, member.name, kClass, this->now - aRequest.sentAt - aElapsed);
    ingress.choice.OnSize(kClass, 2048);
    if (!aAnswered) {
      aRequest.tried.insert(member.name);
      if (aRequest.tried.size() < kMaxHops) {
        this->Send(std::move(aRequest));
      } else {
        this->GiveUp(aRequest);
      }
      return;
    }
    this->current.served[member.zone] += 1;
    this->current.sentOut[ingress.zone] += member.zone != ingress.zone ? 1 : 0;
    this->current.late[ingress.zone] +=
      this->now - aRequest.startedAt > kTarget ? 1 : 0;
  }

  void GiveUp(const Request& aRequest)
  {
    this->current.refused[this->ingresses[aRequest.ingress]->zone] += 1;
    bool room = std::any_of(
      this->members.begin(), this->members.end(), [&](const Member& aMember) {
        return aMember.running < kSlots && aMember.perSecond == 0;
      });
    this->current.refusedWithRoom += room ? 1 : 0;
  }

  Time now = Time(seconds(100));
  std::mt19937_64 random;
  std::vector<Member> members;
  std::vector<PeerCandidate> candidates;
  std::vector<std::unique_ptr<Ingress>> ingresses;
  std::priority_queue<Event> events;
  uint64_t eventCount = 0;
  Second current;
};

/** Mean, least and largest share of zone 0's requests that other zones answered
 * in a second. */
struct ShareOut
{
  double mean = 0;
  double least = 1;
  double most = 0;
};

ShareOut
ShareOutOf(const std::vector<ZoneModel::Second>& aSeconds, size_t aFirst)
{
  ShareOut share;
  size_t count = 0;
  for (size_t index = aFirst; index < aSeconds.size(); ++index) {
    const auto& second = aSeconds[index];
    double out = second.sentOut[0] / std::max(1.0, second.sent[0]);
    share.mean += out;
    share.least = std::min(share.least, out);
    share.most = std::max(share.most, out);
    ++count;
  }
  share.mean /= static_cast<double>(std::max<size_t>(1, count));
  return share;
}

double
Sum(const std::vector<ZoneModel::Second>& aSeconds,
    size_t aFirst,
    std::array<double, kZones> ZoneModel::Second::*aField,
    size_t aZone)
{
  double sum = 0;
  for (size_t index = aFirst; index < aSeconds.size(); ++index) {
    sum += (aSeconds[index].*aField)[aZone];
  }
  return sum;
}

double
RefusedWithRoom(const std::vector<ZoneModel::Second>& aSeconds)
{
  double sum = 0;
  for (const auto& second : aSeconds) {
    sum += second.refusedWithRoom;
  }
  return sum;
}

std::string
Describe(const std::vector<ZoneModel::Second>& aSeconds)
{
  std::string text;
  for (const auto& second : aSeconds) {
    text += "sent " + std::to_string(static_cast<int>(second.sent[0])) +
            " out " + std::to_string(static_cast<int>(second.sentOut[0])) +
            " refused " + std::to_string(static_cast<int>(second.refused[0])) +
            " late " + std::to_string(static_cast<int>(second.late[0])) +
            " served";
    for (auto served : second.served) {
      text += " " + std::to_string(static_cast<int>(served));
    }
    text += "\n";
  }
  return text;
}

} // namespace

SCENARIO("Nothing is sent out while the own zone has room", "[zonechoice]")
{
  // Guards against bytes between zones that nobody needs.
  ZoneModel model(1);
  model.demand = { 0.6, 0.6, 0.6, 0.6 };
  auto run = model.Run(15);
  INFO(Describe(run));
  CHECK(ShareOutOf(run, 2).mean < 0.02);
  CHECK(RefusedWithRoom(run) == 0);
}

SCENARIO("One zone short of servers while the next is idle", "[zonechoice]")
{
  // Guards against requests that are late or refused beside idle servers,
  // against more requests sent out than needed, and against a zone that
  // alternates between all and none.
  ZoneModel model(2);
  model.demand = { 1.5, 0.1, 0.5, 0.5 };
  auto run = model.Run(40);
  INFO(Describe(run));
  auto share = ShareOutOf(run, 10);
  INFO("share out " << share.mean << ", " << share.least << " to "
                    << share.most);
  // A third exceeds what the zone's servers can run.
  CHECK(share.mean > 0.3);
  CHECK(share.mean < 0.45);
  CHECK(share.least > 0.2);
  CHECK(share.most < 0.6);
  CHECK(RefusedWithRoom(run) == 0);
  CHECK(Sum(run, 0, &ZoneModel::Second::refused, 0) == 0);
  CHECK(Sum(run, 10, &ZoneModel::Second::late, 0) <
        0.05 * Sum(run, 10, &ZoneModel::Second::sent, 0));
  // The surplus is spread over all zones that have room.
  for (size_t zone = 1; zone < kZones; ++zone) {
    double own = Sum(run, 10, &ZoneModel::Second::sent, zone);
    CHECK(Sum(run, 10, &ZoneModel::Second::served, zone) > own * 1.02);
  }
}

SCENARIO("All zones short of servers", "[zonechoice]")
{
  // Guards against requests that zones send to each other although none has
  // room, and against servers that are idle meanwhile.
  ZoneModel model(3);
  model.demand = { 1.4, 1.4, 1.4, 1.4 };
  auto run = model.Run(30);
  INFO(Describe(run));
  double served = 0;
  for (size_t zone = 0; zone < kZones; ++zone) {
    served += Sum(run, 5, &ZoneModel::Second::served, zone);
  }
  CHECK(served > 0.97 * 25 * kZones * kZoneCapacity);
  CHECK(RefusedWithRoom(run) <= 0.001 * served);
  auto share = ShareOutOf(run, 5);
  INFO("share out " << share.mean);
  CHECK(share.mean < 0.2);
}

SCENARIO("A burst in one zone", "[zonechoice]")
{
  // Guards against refusals before the share that is sent out has grown, and
  // against requests that still go out when the burst is over.
  ZoneModel model(4);
  model.demand = { 0.7, 0.5, 0.5, 0.5 };
  model.Run(10);
  model.demand[0] = 2;
  auto burst = model.Run(6);
  model.demand[0] = 0.7;
  auto after = model.Run(20);
  INFO("burst\n" << Describe(burst) << "after\n" << Describe(after));
  CHECK(RefusedWithRoom(burst) == 0);
  CHECK(Sum(burst, 0, &ZoneModel::Second::refused, 0) == 0);
  CHECK(ShareOutOf(burst, 1).mean > 0.4);
  CHECK(ShareOutOf(after, 5).mean < 0.05);
  CHECK(RefusedWithRoom(after) == 0);
}

SCENARIO("A zone that is partly cut off", "[zonechoice]")
{
  // Guards against surplus that goes to a zone whose responses arrive late: it
  // is slow, not unreachable, and its servers report that they are idle.
  ZoneModel model(5);
  model.demand = { 1.4, 0.2, 0.5, 0.5 };
  constexpr size_t kCutOff = 1;
  model.linkDelay[kCutOff] = milliseconds(120);
  auto run = model.Run(30);
  INFO(Describe(run));
  CHECK(RefusedWithRoom(run) == 0);
  CHECK(Sum(run, 5, &ZoneModel::Second::refused, 0) == 0);
  double foreign = Sum(run, 5, &ZoneModel::Second::served, kCutOff) -
                   Sum(run, 5, &ZoneModel::Second::sent, kCutOff);
  // A few find out whether it has become fast again.
  CHECK(foreign < 0.05 * Sum(run, 5, &ZoneModel::Second::sent, 0));
  CHECK(Sum(run, 5, &ZoneModel::Second::late, 0) <
        0.08 * Sum(run, 5, &ZoneModel::Second::sent, 0));
}

SCENARIO("A neighbour that becomes cold", "[zonechoice]")
{
  // Guards against surplus that is refused by cold servers while others have
  // room.
  ZoneModel model(6);
  model.demand = { 1.4, 0.3, 0.4, 0.4 };
  model.Run(15);
  constexpr size_t kCold = 1;
  constexpr double kColdPerSecond = 28;
  model.SetLimit(kCold, kColdPerSecond);
  model.demand[kCold] = 0.2; // What its own servers can still run.
  auto run = model.Run(15);
  INFO(Describe(run));
  CHECK(RefusedWithRoom(run) == 0);
  CHECK(Sum(run, 0, &ZoneModel::Second::refused, 0) == 0);
  CHECK(Sum(run, 3, &ZoneModel::Second::served, kCold) <=
        12 * kMembersPerZone * kColdPerSecond * 1.05);
  model.SetLimit(kCold, 0);
  auto after = model.Run(20);
  INFO("after\n" << Describe(after));
  CHECK(Sum(after, 8, &ZoneModel::Second::served, kCold) >
        Sum(after, 8, &ZoneModel::Second::sent, kCold) * 1.05);
}

SCENARIO("Load at the edge of what the own zone can run", "[zonechoice]")
{
  // Guards against flapping: daemons that all send out at one report and all
  // stop at the next one.
  ZoneModel model(7);
  model.demand = { 1.0, 0.5, 0.5, 0.5 };
  auto run = model.Run(40);
  INFO(Describe(run));
  auto share = ShareOutOf(run, 10);
  INFO("share out " << share.mean << ", " << share.least << " to "
                    << share.most);
  CHECK(share.mean < 0.2);
  CHECK(share.most - share.least < 0.3);
  CHECK(RefusedWithRoom(run) == 0);
  // The own servers stay busy.
  CHECK(Sum(run, 10, &ZoneModel::Second::served, 0) >
        0.85 * 30 * kZoneCapacity);
}

SCENARIO("Each daemon sees a member only now and then", "[zonechoice]")
{
  // Guards against one neighbour that gets the surplus of all daemons at once:
  // with many daemons, each knows a member by one report of a second ago.
  ZoneModel model(8);
  model.demand = { 1.3, 0.6, 0.6, 0.6 };
  auto run = model.Run(30);
  INFO(Describe(run));
  CHECK(RefusedWithRoom(run) == 0);
  for (size_t second = 8; second < run.size(); ++second) {
    double most = 0;
    double sum = 0;
    for (size_t zone = 1; zone < kZones; ++zone) {
      double foreign = run[second].served[zone] - run[second].sent[zone];
      most = std::max(most, foreign);
      sum += std::max(0.0, foreign);
    }
    CHECK(most < 0.75 * sum);
  }
}

SCENARIO("The price decides where no zone meets the target", "[zonechoice]")
{
  // Guards against a price that overrides the target, and against one without
  // any effect.
  PeerTable peers;
  ZoneChoice choice([] { return 0.5; });
  constexpr Time kNow = Time(seconds(100));
  std::vector<PeerCandidate> candidates{ { "near", "a" }, { "far", "b" } };
  ZoneCriteria criteria;
  criteria.requestClass = kClass;
  criteria.ownZone = "a";
  criteria.target = kTarget;
  criteria.transferCost = milliseconds(50);
  choice.OnSize(kClass, 2048); // A price of 100 ms.
  auto chosen = [&](Duration aNear, Duration aFar) {
    peers.OnReport(kNow, "near", kClass, 1.2, aNear, Duration(0));
    peers.OnReport(kNow, "far", kClass, 0.5, aFar, Duration(0));
    return choice.Choose(kNow, candidates, criteria, peers);
  };
  CHECK(chosen(milliseconds(100), milliseconds(10)) == "near");
  // The other zone meets the target, whatever it costs.
  CHECK(chosen(milliseconds(160), milliseconds(140)) == "far");
  CHECK(chosen(milliseconds(250), milliseconds(160)) == "near");
  CHECK(chosen(milliseconds(280), milliseconds(160)) == "near");
  CHECK(chosen(milliseconds(310), milliseconds(160)) == "far");
  criteria.tried = { "near" };
  CHECK(chosen(milliseconds(10), milliseconds(900)) == "far");
  criteria.tried = { "near", "far" };
  CHECK(chosen(milliseconds(10), milliseconds(10)).empty());
}

SCENARIO("A member that fails is avoided as long as another one works",
         "[zonechoice]")
{
  // Guards against requests that are refused because a member that fails was
  // drawn, although all others are only slow.
  std::mt19937_64 random(1);
  PeerTable peers;
  ZoneChoice choice(
    [&] { return std::uniform_real_distribution<double>(0, 1)(random); });
  constexpr Time kNow = Time(seconds(100));
  std::vector<PeerCandidate> candidates{
    { "near-1", "a" }, { "near-2", "a" }, { "near-3", "a" }, { "far", "b" }
  };
  for (const auto& candidate : candidates) {
    peers.OnReport(kNow, candidate.member, kClass, 2, 3 * kTarget, Duration(0));
  }
  ZoneCriteria criteria;
  criteria.requestClass = kClass;
  criteria.ownZone = "a";
  criteria.target = kTarget;
  peers.OnFailure(kNow, "near-2");
  for (int count = 0; count < 100; ++count) {
    CHECK(choice.Choose(kNow, candidates, criteria, peers) != "near-2");
  }
  peers.OnFailure(kNow, "near-1");
  peers.OnFailure(kNow, "near-3");
  CHECK(choice.Choose(kNow, candidates, criteria, peers) == "far");
  peers.OnFailure(kNow, "far");
  CHECK_FALSE(choice.Choose(kNow, candidates, criteria, peers).empty());
}

SCENARIO("The last attempt of a request goes where there is room",
         "[zonechoice]")
{
  // Guards against requests that use up their attempts in the own zone, whose
  // reports are outdated, while another zone has room.
  PeerTable peers;
  ZoneChoice choice([] { return 0.0; });
  constexpr Time kNow = Time(seconds(100));
  std::vector<PeerCandidate> candidates{
    { "near-1", "a" }, { "near-2", "a" }, { "near-3", "a" }, { "far", "b" }
  };
  ZoneCriteria criteria;
  criteria.requestClass = kClass;
  criteria.ownZone = "a";
  criteria.target = kTarget;
  criteria.tried = { "near-1" };
  CHECK(choice.Choose(kNow, candidates, criteria, peers) != "far");
  criteria.tried = { "near-1", "near-2" };
  CHECK(choice.Choose(kNow, candidates, criteria, peers) == "far");
  peers.OnReport(kNow, "far", kClass, 1.5, kWork, Duration(0));
  CHECK(choice.Choose(kNow, candidates, criteria, peers) == "near-3");
}
