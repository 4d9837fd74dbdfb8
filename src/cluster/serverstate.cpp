#include "cluster/serverstate.h"

#include <algorithm>

namespace fescuetiller {

namespace {

/** Heartbeats that may fail to come before a server counts as lost. */
constexpr int kMissedHeartbeats = 3;
/** Released ranges that are remembered for their handovers. */
constexpr size_t kMostReleased = 256;

/** Longest time for which an earlier process beside the server may have granted
 * keys that the server still reports. */
constexpr Duration kForeignHold = std::chrono::milliseconds(3200);

} // namespace

ServerState::ServerState(Duration aHeartbeat)
  : silence(aHeartbeat * kMissedHeartbeats)
{
}

void
ServerState::Forget()
{
  this->holdings.clear();
  this->released.clear();
  this->leaving = false;
  this->dead = false;
}

ServerState::Seen
ServerState::OnHeartbeat(Time aNow, const ServerReport& aReport)
{
  std::pair<std::string, int64_t> life{ aReport.incarnation.id,
                                        aReport.incarnation.startedAt };
  bool sameLife =
    this->report && this->report->incarnation == aReport.incarnation;
  if (this->endedLives.count(life) > 0 ||
      (sameLife && aReport.sequence <= this->report->sequence) ||
      (this->report && !sameLife &&
       aReport.incarnation.startedAt < this->report->incarnation.startedAt)) {
    return Seen::Stale;
  }
  if (!sameLife) {
    if (this->report) {
      this->endedLives.insert(
        { this->report->incarnation.id, this->report->incarnation.startedAt });
    }
    this->Forget();
    ++this->lifeNumber;
    this->grantSequence = 0;
  }
  this->dead = false;
  this->report = aReport;
  this->lastHeartbeat = aNow;
  if (aReport.draining && !this->leaving) {
    this->leaving = true;
    this->leavingSince = aNow;
  }
  this->released.insert(this->released.end(),
                        aReport.releasedRanges.begin(),
                        aReport.releasedRanges.end());
  if (this->released.size() > kMostReleased) {
    this->released.erase(this->released.begin(),
                         this->released.end() - kMostReleased);
  }
  this->TakeHolds(aNow, aReport);
  return sameLife ? Seen::Current : Seen::NewLife;
}

void
ServerState::TakeHolds(Time aNow, const ServerReport& aReport)
{
  // A heartbeat that was sent before the last grants arrived says too little.
  auto earlier = this->holdings;
  if (aReport.sequence > this->grantSequence) {
    this->holdings.clear();
  }
  for (const auto& held : aReport.grantedRanges) {
    std::vector<KeyRange> unknown{ held.range };
    for (const auto& holding : earlier) {
      KeyRange part{ std::max(holding.range.first, held.range.first),
                     std::min(holding.range.last, held.range.last) };
      if (part.first > part.last) {
        continue;
      }
      this->holdings.push_back({ part, holding.until });
      unknown = Subtract(unknown, part);
    }
    for (const auto& range : unknown) {
      this->holdings.push_back({ range, aNow + kForeignHold });
    }
  }
}

void
ServerState::OnServerDeregistered(Time aNow, const std::string& aServerId)
{
  if (this->report && this->report->incarnation.id == aServerId &&
      !this->leaving) {
    this->leaving = true;
    this->leavingSince = aNow;
  }
}

void
ServerState::OnConnectionRefused(Time)
{
  this->dead = true;
  this->holdings.clear();
}

void
ServerState::Granted(const std::vector<Grant>& aGrants, Time aUntil)
{
  for (const auto& grant : aGrants) {
    std::vector<Holding> rest;
    for (const auto& holding : this->holdings) {
      for (const auto& part : Subtract(holding.range, grant.range)) {
        rest.push_back({ part, holding.until });
      }
    }
    rest.push_back({ grant.range, aUntil });
    this->holdings = std::move(rest);
    this->released.erase(std::remove_if(this->released.begin(),
                                        this->released.end(),
                                        [&](const auto& aReleased) {
                                          return aReleased.range.Overlaps(
                                            grant.range);
                                        }),
                         this->released.end());
  }
  this->grantSequence = this->report ? this->report->sequence : 0;
}

bool
ServerState::IsFree(Time aNow, const KeyRange& aRange) const
{
  return std::none_of(
    this->holdings.begin(), this->holdings.end(), [&](const Holding& aHolding) {
      return aHolding.until > aNow && aHolding.range.Overlaps(aRange);
    });
}

std::string
ServerState::HandoverOf(const KeyRange& aRange) const
{
  for (auto entry = this->released.rbegin(); entry != this->released.rend();
       ++entry) {
    if (entry->range.Contains(aRange)) {
      return entry->handover;
    }
  }
  return "";
}

bool
ServerState::Usable(Time aNow) const
{
  return this->report && !this->leaving && !this->Lost(aNow);
}

bool
ServerState::Leaving() const
{
  return this->leaving;
}

Time
ServerState::LeavingSince() const
{
  return this->leavingSince;
}

bool
ServerState::Lost(Time aNow) const
{
  return !this->report || this->dead ||
         aNow - this->lastHeartbeat > this->silence;
}

const std::optional<ServerReport>&
ServerState::Report() const
{
  return this->report;
}

uint64_t
ServerState::LifeNumber() const
{
  return this->lifeNumber;
}

} // namespace fescuetiller
