#include "cluster/serverstate.h"

#include <algorithm>

namespace fescuetiller {

namespace {

/** Part of the regular time between heartbeats after which one was missed. */
constexpr double kMissedHeartbeat = 1.5;
/** Number of missed heartbeats after which a server counts as lost. */
constexpr int kMaxMissedHeartbeats = 3;
/** Part of the regular time between heartbeats after which the next one is not
 * early. */
constexpr double kMinHeartbeatSpacing = 0.5;
/** Number of released ranges whose handover tokens are kept. */
constexpr size_t kMaxReleased = 256;

} // namespace

ServerState::ServerState(Duration aHeartbeat, Duration aMaxGrantTime)
  : lossTimeout(aHeartbeat * kMaxMissedHeartbeats)
  , silenceTime(
      std::chrono::duration_cast<Duration>(aHeartbeat * kMissedHeartbeat))
  , minHeartbeatInterval(
      std::chrono::duration_cast<Duration>(aHeartbeat * kMinHeartbeatSpacing))
  , maxGrantTime(aMaxGrantTime)
{
}

bool
ServerState::HasAnnouncedShutdown(const ServerIncarnation& aServer) const
{
  return std::count(this->announcedShutdowns.begin(),
                    this->announcedShutdowns.end(),
                    aServer) > 0;
}

/** An incarnation listens at the address of the one before, which has ended and
 * sends no more heartbeats. */
bool
ServerState::IsOfSuccessor(Time aNow, const ServerReport& aReport)
{
  const auto& incarnation = aReport.incarnation;
  const auto& current = this->report->incarnation;
  if (this->earlierIncarnations.count(
        { incarnation.id, incarnation.startedAt }) > 0 ||
      this->HasAnnouncedShutdown(incarnation)) {
    return false;
  }
  if (incarnation.startedAt != current.startedAt) {
    return incarnation.startedAt > current.startedAt;
  }
  if (this->draining || this->IsLost(aNow)) {
    return true;
  }
  auto& known = this->successor;
  if (!known || known->incarnation != incarnation) {
    known = { incarnation, aReport.sequence };
    return false;
  }
  bool isLater = aReport.sequence > known->sequence;
  known->sequence = std::max(known->sequence, aReport.sequence);
  return isLater && aNow - this->lastHeartbeat >= this->silenceTime;
}

void
ServerState::BeginIncarnation(Time aNow, const ServerReport& aReport)
{
  const auto& incarnation = aReport.incarnation;
  if (this->report) {
    const auto& earlier = this->report->incarnation;
    if (this->connectionRefused || incarnation.startedAt > earlier.startedAt) {
      this->earlierIncarnations.insert({ earlier.id, earlier.startedAt });
      this->earlierHoldings.clear();
    } else {
      this->earlierHoldings.insert(this->earlierHoldings.end(),
                                   this->holdings.begin(),
                                   this->holdings.end());
    }
    this->reportIsCurrent = true; // It holds what this process grants.
  }
  this->earlierHoldings.erase(std::remove_if(this->earlierHoldings.begin(),
                                             this->earlierHoldings.end(),
                                             [&](const Holding& aHolding) {
                                               return aHolding.until <= aNow;
                                             }),
                              this->earlierHoldings.end());
  this->holdings.clear();
  this->released.clear();
  this->successor.reset();
  this->firstHeartbeat = aNow;
  this->grantSequence = 0;
  ++this->incarnationNumber;
  // The next incarnation may have the same id where start times are stated.
  bool deregistered = incarnation.id == this->deregisteredId &&
                      (incarnation.startedAt == 0 ||
                       aNow - this->deregisteredAt <= this->lossTimeout);
  // It may have announced its shutdown to an earlier process of this daemon, at
  // any time.
  this->draining =
    aReport.draining || deregistered || this->HasAnnouncedShutdown(incarnation);
  this->drainingSince = Time();
}

ServerState::HeartbeatResult
ServerState::OnHeartbeat(Time aNow, const ServerReport& aReport)
{
  bool sameIncarnation =
    this->report && this->report->incarnation == aReport.incarnation;
  if (sameIncarnation && aReport.sequence <= this->report->sequence) {
    return HeartbeatResult::Stale;
  }
  if (sameIncarnation) {
    this->successor.reset();
    this->reportIsCurrent =
      this->reportIsCurrent ||
      aNow - this->firstHeartbeat >= this->minHeartbeatInterval;
    if (aReport.draining && !this->draining) {
      this->draining = true;
      this->drainingSince = aNow;
    }
  } else if (!this->report || this->IsOfSuccessor(aNow, aReport)) {
    this->BeginIncarnation(aNow, aReport);
  } else {
    return HeartbeatResult::Stale;
  }
  this->connectionRefused = false;
  this->report = aReport;
  this->lastHeartbeat = aNow;
  this->released.insert(this->released.end(),
                        aReport.releasedRanges.begin(),
                        aReport.releasedRanges.end());
  if (this->released.size() > kMaxReleased) {
    this->released.erase(this->released.begin(),
                         this->released.end() - kMaxReleased);
  }
  this->UpdateHoldings(aNow, aReport);
  return sameIncarnation ? HeartbeatResult::Current
                         : HeartbeatResult::NewIncarnation;
}

void
ServerState::UpdateHoldings(Time aNow, const ServerReport& aReport)
{
  // A heartbeat sent before the last grants arrived does not list them.
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
      this->holdings.push_back({ range, aNow + this->maxGrantTime });
    }
  }
}

void
ServerState::OnServerDeregistered(Time aNow, const std::string& aServerId)
{
  if (!this->report || this->report->incarnation.id != aServerId) {
    this->deregisteredId = aServerId;
    this->deregisteredAt = aNow;
  } else if (!this->draining) {
    this->draining = true;
    this->drainingSince = aNow;
  }
}

void
ServerState::SetAnnouncedShutdowns(std::vector<ServerIncarnation> aServers)
{
  this->announcedShutdowns = std::move(aServers);
  if (this->report && !this->draining &&
      this->HasAnnouncedShutdown(this->report->incarnation)) {
    this->draining = true;
    this->drainingSince = Time(); // It may have done so at any time.
  }
}

std::optional<ServerIncarnation>
ServerState::AnnouncedShutdown() const
{
  if (this->report) {
    return this->draining ? std::optional(this->report->incarnation)
                          : std::nullopt;
  }
  return this->deregisteredId.empty()
           ? std::nullopt
           : std::optional(ServerIncarnation{ this->deregisteredId, 0 });
}

void
ServerState::OnConnectionRefused(Time)
{
  this->connectionRefused = true;
  this->holdings.clear();
  this->earlierHoldings.clear();
}

void
ServerState::OnGranted(const std::vector<Grant>& aGrants, Time aUntil)
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
    this->ForgetReleased(grant.range);
  }
  this->grantSequence = this->report ? this->report->sequence : 0;
}

void
ServerState::ForgetReleasedOutside(const std::vector<KeyRange>& aOwned)
{
  std::vector<KeyRange> moved{ { 0, kLastKey } };
  for (const auto& range : aOwned) {
    moved = Subtract(moved, range);
  }
  for (const auto& range : moved) {
    this->ForgetReleased(range);
  }
}

void
ServerState::ForgetReleased(const KeyRange& aRange)
{
  std::vector<ReleasedRange> stillReleased;
  for (const auto& entry : this->released) {
    for (const auto& part : Subtract(entry.range, aRange)) {
      stillReleased.push_back({ part, entry.handover });
    }
  }
  this->released = std::move(stillReleased);
}

bool
ServerState::IsUnheld(Time aNow, const KeyRange& aRange) const
{
  if (this->report && !this->reportIsCurrent && !this->connectionRefused &&
      aNow < this->firstHeartbeat + this->maxGrantTime) {
    return false;
  }
  auto contains = [&](const Holding& aHolding) {
    return aHolding.until > aNow && aHolding.range.Overlaps(aRange);
  };
  return std::none_of(this->holdings.begin(), this->holdings.end(), contains) &&
         std::none_of(this->earlierHoldings.begin(),
                      this->earlierHoldings.end(),
                      contains);
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

std::vector<ReleasedRange>
ServerState::DivideByHandover(const KeyRange& aRange,
                              const std::string& aOther,
                              size_t aMaxParts) const
{
  std::vector<ReleasedRange> parts;
  std::vector<KeyRange> rest{ aRange };
  for (auto entry = this->released.rbegin(); entry != this->released.rend();
       ++entry) {
    for (const auto& range : rest) {
      KeyRange common{ std::max(range.first, entry->range.first),
                       std::min(range.last, entry->range.last) };
      if (common.first <= common.last) {
        parts.push_back({ common, entry->handover });
      }
    }
    rest = Subtract(rest, entry->range);
  }
  for (const auto& range : rest) {
    parts.push_back({ range, aOther });
  }
  if (parts.size() > aMaxParts) {
    auto handover = this->HandoverOf(aRange);
    return { { aRange, handover.empty() ? aOther : handover } };
  }
  std::sort(
    parts.begin(), parts.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.range < aRight.range;
    });
  return parts;
}

bool
ServerState::IsAvailable(Time aNow) const
{
  return this->report && !this->draining && !this->IsLost(aNow);
}

bool
ServerState::IsDraining() const
{
  return this->draining;
}

Time
ServerState::DrainingSince() const
{
  return this->drainingSince;
}

bool
ServerState::IsLost(Time aNow) const
{
  return !this->report || this->connectionRefused ||
         aNow - this->lastHeartbeat > this->lossTimeout;
}

bool
ServerState::IsReportCurrent() const
{
  return this->reportIsCurrent;
}

const std::optional<ServerReport>&
ServerState::Report() const
{
  return this->report;
}

uint64_t
ServerState::IncarnationNumber() const
{
  return this->incarnationNumber;
}

} // namespace fescuetiller
