#include "routing/peertable.h"

#include <algorithm>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Age at which a load report is outdated. */
constexpr Duration kMaxReportAge = std::chrono::seconds(3);
/** Age at which the share that a peer wants to be sent is outdated, so that
 * room at its server is found again soon. */
constexpr Duration kMaxShareAge = milliseconds(1500);
/** Estimated delay that each request in flight to a peer adds to the next one;
 * a fraction of the usual service time. */
constexpr Duration kInFlightTime = milliseconds(8);
/** Weight of the newest overhead in the moving mean. Low enough that several
 * responses outweigh one that was delayed by a lost packet. */
constexpr double kOverheadWeight = 0.3;
/** Age at which an overhead is no longer used, so that a peer that was slow is
 * tried again. */
constexpr Duration kMaxOverheadAge = std::chrono::seconds(5);
/** Pause after the first failure; doubled after each further one, up to
 * kMaxDoublings times. */
constexpr Duration kFirstPause = milliseconds(200);
constexpr uint32_t kMaxDoublings = 3;
/** Time that a probe request has to get a response before another one is
 * allowed. */
constexpr Duration kProbeTimeout = milliseconds(300);
/** Cost added to failing peers. Exceeds any expected time, so that they are
 * picked only if no other candidate is left. */
constexpr Duration kFailingPeerCost = std::chrono::hours(1);

} // namespace

void
PeerTable::OnRequestSent(const std::string& aMember)
{
  ++this->peers[aMember].inFlight;
}

void
PeerTable::OnRequestEnded(const std::string& aMember)
{
  auto& peer = this->peers[aMember];
  peer.inFlight -= peer.inFlight > 0 ? 1 : 0;
}

void
PeerTable::OnReport(Time aNow,
                    const std::string& aMember,
                    const std::string& aClass,
                    double aLoad,
                    Duration aExpected,
                    Duration aUntilHeartbeat)
{
  auto& peer = this->peers[aMember];
  auto& times = peer.classes[aClass];
  times.expected = aExpected;
  times.reportedAt = aNow;
  peer.load = aLoad;
  peer.nextHeartbeat = aNow + aUntilHeartbeat;
  peer.reportedAt = aNow;
  peer.failures = 0;
  peer.probing = false;
  peer.avoidUntil = Time();
}

void
PeerTable::OnSendShare(Time aNow,
                       const std::string& aMember,
                       const std::string& aClass,
                       double aShare,
                       Duration aRetryAfter)
{
  auto& times = this->peers[aMember].classes[aClass];
  times.sendShare.share = aShare;
  if (aRetryAfter > Duration(0)) {
    times.sendShare.retryAfter = aRetryAfter;
  }
  times.sendShareAt = aNow;
}

PeerTable::SendShare
PeerTable::ShareToSend(Time aNow,
                       const std::string& aMember,
                       const std::string& aClass) const
{
  auto peer = this->peers.find(aMember);
  if (peer == this->peers.end()) {
    return {};
  }
  auto times = peer->second.classes.find(aClass);
  if (times == peer->second.classes.end() ||
      aNow - times->second.sendShareAt >= kMaxShareAge) {
    return {};
  }
  return times->second.sendShare;
}

void
PeerTable::OnOverhead(Time aNow,
                      const std::string& aMember,
                      const std::string& aClass,
                      Duration aOverhead)
{
  auto& times = this->peers[aMember].classes[aClass];
  bool known = aNow - times.overheadAt < kMaxOverheadAge;
  auto change = aOverhead - times.overhead;
  times.overhead =
    known ? times.overhead +
              std::chrono::duration_cast<Duration>(change * kOverheadWeight)
          : aOverhead;
  times.overheadAt = aNow;
}

void
PeerTable::OnClientDisconnect(Time aNow,
                              const std::string& aMember,
                              const std::string& aClass,
                              Duration aWaited)
{
  const auto& times = this->peers[aMember].classes[aClass];
  // The response would have arrived later, so this is a lower bound of the
  // overhead.
  auto least = aWaited - times.expected;
  if (least > times.overhead || aNow - times.overheadAt >= kMaxOverheadAge) {
    this->OnOverhead(aNow, aMember, aClass, std::max(least, Duration(0)));
  }
}

void
PeerTable::OnFailure(Time aNow, const std::string& aMember)
{
  auto& peer = this->peers[aMember];
  if (aNow < peer.avoidUntil && !peer.probing) {
    return; // This request was sent before the first failure was known.
  }
  peer.probing = false;
  auto doublings = std::min(peer.failures, kMaxDoublings);
  ++peer.failures;
  peer.avoidUntil = aNow + kFirstPause * (1 << doublings);
}

void
PeerTable::OnUnanswered(Time aNow, const std::string& aMember, Time aSentAt)
{
  if (this->peers[aMember].reportedAt <= aSentAt) {
    this->OnFailure(aNow, aMember);
  }
}

bool
PeerTable::AllowRequest(Time aNow, const std::string& aMember)
{
  auto& peer = this->peers[aMember];
  if (aNow < peer.avoidUntil) {
    return false;
  }
  if (peer.failures > 0) {
    peer.avoidUntil = aNow + kProbeTimeout;
    peer.probing = true;
  }
  return true;
}

PeerTable::Estimate
PeerTable::EstimateOf(Time aNow,
                      const std::string& aMember,
                      const std::string& aClass) const
{
  Estimate estimate;
  auto found = this->peers.find(aMember);
  if (found == this->peers.end()) {
    return estimate;
  }
  const auto& peer = found->second;
  auto times = peer.classes.find(aClass);
  if (times != peer.classes.end()) {
    bool reported = aNow - times->second.reportedAt < kMaxReportAge;
    bool measured = aNow - times->second.overheadAt < kMaxOverheadAge;
    estimate.time += reported ? times->second.expected : Duration(0);
    estimate.time += measured ? times->second.overhead : Duration(0);
  }
  estimate.time += kInFlightTime * static_cast<int>(peer.inFlight);
  estimate.failing = aNow < peer.avoidUntil;
  if (aNow - peer.reportedAt < kMaxReportAge) {
    estimate.load = peer.load;
  }
  return estimate;
}

std::string
PeerTable::Pick(Time aNow,
                const std::vector<PeerCandidate>& aCandidates,
                const PeerCriteria& aCriteria) const
{
  std::string best;
  Duration least = Duration::max();
  for (const auto& candidate : aCandidates) {
    if (aCriteria.tried.count(candidate.member) > 0) {
      continue;
    }
    Duration cost = candidate.zone == aCriteria.ownZone
                      ? Duration(0)
                      : aCriteria.zonePreference;
    auto estimate =
      this->EstimateOf(aNow, candidate.member, aCriteria.requestClass);
    cost += estimate.time;
    cost += estimate.failing ? kFailingPeerCost : Duration(0);
    if (cost < least) {
      least = cost;
      best = candidate.member;
    }
  }
  return best;
}

std::map<std::string, PeerTable::Report>
PeerTable::Reports(Time aNow) const
{
  std::map<std::string, Report> reports;
  for (const auto& [member, peer] : this->peers) {
    if (aNow - peer.reportedAt < kMaxReportAge) {
      reports[member] = { peer.load, peer.nextHeartbeat };
    }
  }
  return reports;
}

} // namespace fescuetiller
