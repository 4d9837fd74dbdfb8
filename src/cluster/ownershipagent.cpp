#include "cluster/ownershipagent.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Share by which the clock of a backend server may be slow: the platform
 * specifies 2%; rounded up. */
constexpr double kServerClockDrift = 0.03;
/** Shorter grants are not given, since they expire before the next heartbeat.
 */
constexpr Duration kMinGrantTime = milliseconds(200);
/** Wait for other members' records to arrive before guardians are replaced or
 * the first ranges are created. */
constexpr Duration kDiscoveryTime = milliseconds(1200);
/** Time between attempts to join or to change the own member record. */
constexpr Duration kMemberWriteInterval = milliseconds(700);
/** Time between moves for load balancing, whose effect on the loads shows only
 * after a delay. */
constexpr Duration kMoveInterval = milliseconds(1000);
/** Usual time from the release of keys by a server until the new owner is
 * recorded. */
constexpr Duration kHandoverLatency = milliseconds(150);
/** Moves for load balancing, and other changes that can be retried, are dropped
 * if the store has not accepted them by then. */
constexpr Duration kChangeTimeout = milliseconds(400);
/** A renewal of the long lease is dropped if the store has not accepted it by
 * then. */
constexpr Duration kLongLeaseTimeout = std::chrono::seconds(2);
/** Time after which ranges whose owner is no member are taken over, in addition
 * to the time that grants of the owner may last: its record may arrive late. */
constexpr Duration kUnownedRangeMargin = milliseconds(850);
/** Time for which ranges overlap before an owner whose server holds none of the
 * contested keys gives them up: longer than any row is late. If no server holds
 * them, the owner of the newer range is the first one. */
constexpr Duration kOverlapTime = std::chrono::seconds(5);
/** Time after which a refused member row is removed if it has no lease. The
 * process that it may belong to has written it again by then. */
constexpr Duration kRefusedMemberTime = std::chrono::seconds(30);
/** Number of ranges from which a member merges adjacent ones. */
constexpr size_t kMergeThreshold = 16;
/** Number of grants in a response to a heartbeat up to which ranges are divided
 * by handover. With some 40 bytes each, the response stays below the platform's
 * limit of 4 KiB. */
constexpr size_t kMaxGrants = 64;
/** Bytes of rows in one datagram, which then fits into an Ethernet frame. */
constexpr size_t kMaxDatagramRowBytes = 1100;
/** Encoded bytes of a row besides its value and key. */
constexpr size_t kRowOverheadBytes = 40;
/** Members of each other zone that are sent changed rows to pass on. With two,
 * the loss of one of them, or of one datagram, delays nobody. */
constexpr size_t kRelaysPerZone = 2;
/** Age at which a load from a peer message is outdated. */
constexpr Duration kMaxLoadAge = milliseconds(3000);
/** How long a member remembers where it moved keys; by then the others know the
 * new owner. */
constexpr Duration kMoveRetention = milliseconds(3000);
/** Joins after a return of the store are spread over this time. */
constexpr Duration kReturnSpread = milliseconds(300);
/** Time in which the members usually have joined again after a return. */
constexpr Duration kReturnTime = milliseconds(2000);
/** Time after which others restore the drain request of a member that has not
 * done so itself; each waits for a different part of it in addition. */
constexpr Duration kDrainRestoreTime = milliseconds(3000);
/** Time over which members are spread that could fill the same gaps. */
constexpr Duration kGapFillSpread = milliseconds(1500);
/** Number of ranks over which members are spread that could do the same. */
constexpr int kRanks = 16;
/** Most ranges that are brought along, so that they fit into the change. */
constexpr size_t kMaxKeptRanges = 40;
/** How long records of announced shutdowns are kept: many times longer than a
 * server takes to end and heartbeats are late. */
constexpr Duration kShutdownRetention = std::chrono::minutes(10);
/** Longest part of that by which a record is kept longer if its daemon is gone,
 * different for each member that could remove it. */
constexpr Duration kShutdownRemovalSpread = std::chrono::minutes(5);
constexpr Duration kShutdownCheckInterval = std::chrono::seconds(10);
/** Incarnations of a server whose fences fit into one epoch. */
constexpr uint64_t kIncarnationsPerEpoch = 4096;

void
AddCondition(StoreTransaction& aTransaction,
             const StoreKey& aKey,
             RowVersion aVersion)
{
  aTransaction.conditions.push_back({ aKey, aVersion });
}

/** Formats ranges and their fences for the log. */
template<typename Rows>
std::string
FormatRanges(const Rows& aRows)
{
  std::string text;
  for (const auto& row : aRows) {
    text += (text.empty() ? "" : " ") + ToString(row.range) + "@" +
            std::to_string(row.fence);
  }
  return text;
}

} // namespace

bool
operator==(const ServedRange& aLeft, const ServedRange& aRight)
{
  return aLeft.range == aRight.range &&
         aLeft.grantedUntil == aRight.grantedUntil;
}

bool
operator==(const ServingState& aLeft, const ServingState& aRight)
{
  auto tie = [](const ServingState& aState) {
    return std::tie(aState.member,
                    aState.server.id,
                    aState.server.startedAt,
                    aState.slots,
                    aState.available,
                    aState.draining,
                    aState.sendUntil,
                    aState.coldUntil,
                    aState.evacuatedFrom,
                    aState.knowsEvacuations,
                    aState.heardAt,
                    aState.drainTime,
                    aState.nextHeartbeat,
                    aState.leaseUntil,
                    aState.ownsKeys,
                    aState.ranges,
                    aState.movedKeys);
  };
  return tie(aLeft) == tie(aRight);
}

ServingState
WithSendLimits(ServingState aState, const ServingState& aNewer)
{
  aState.evacuatedFrom = aNewer.evacuatedFrom;
  aState.knowsEvacuations = aNewer.knowsEvacuations;
  if (aState.server == aNewer.server) {
    aState.draining = aNewer.draining;
    aState.sendUntil = aNewer.sendUntil;
    aState.drainTime = aNewer.drainTime;
    aState.coldUntil = aNewer.coldUntil;
    aState.heardAt = aNewer.heardAt;
  }
  return aState;
}

OwnershipAgent::OwnershipAgent(AgentIdentity aIdentity,
                               AgentSettings aSettings,
                               IdFunction aNewId,
                               RandomFunction aRandom)
  : identity(std::move(aIdentity))
  , settings(aSettings)
  , newId(std::move(aNewId))
  , random(std::move(aRandom))
  , lease(aSettings.times)
  , monitor(aSettings.times)
  , server(aSettings.heartbeat,
           WithDrift(aSettings.times.promise, aSettings.times))
  , evacuations(identity.zone, aSettings.evacuationTime)
{
  this->self = this->newId();
}

void
OwnershipAgent::LogEvent(
  std::string aName,
  std::vector<std::pair<std::string, std::string>> aFields)
{
  aFields.emplace_back("member", this->self);
  this->events.push_back({ std::move(aName), std::move(aFields) });
}

void
OwnershipAgent::SetBounds(Duration aMaxGrantTime,
                          Duration aDrainTime,
                          Duration aEvacuationTime)
{
  this->evacuations.SetBound(aEvacuationTime);
  this->settings.maxGrantTime = aMaxGrantTime;
  this->settings.drainTime = aDrainTime;
}

void
OwnershipAgent::SetOwnsKeys(bool aOwnsKeys)
{
  this->ownsKeys = aOwnsKeys;
}

void
OwnershipAgent::OnRows(Time aNow,
                       const std::string& aService,
                       const StoreRows& aRows)
{
  if (EraOf(aRows.version) != this->era) {
    return;
  }
  this->view.Replace(aService, aRows);
  this->viewLoaded = this->viewLoaded || aService == this->identity.service;
  this->OnViewChanged(aNow);
}

void
OwnershipAgent::OnRow(Time aNow, const StoreRow& aRow)
{
  // Before the store was reached, rows of any era come from other daemons.
  if (this->viewLoaded && EraOf(aRow.version) != this->era) {
    return;
  }
  this->view.Apply(aRow);
  this->OnViewChanged(aNow);
}

void
OwnershipAgent::OnRowsComplete(RowVersion aVersion)
{
  if (EraOf(aVersion) == this->era) {
    this->view.SetCompleteUpTo(aVersion);
  }
}

void
OwnershipAgent::OnStoreEra(Time aNow, StoreEra aEra)
{
  if (aEra <= this->era) {
    return;
  }
  if (this->viewLoaded || this->phase != Phase::NotMember) {
    this->hasEarlierGrants = true;
    this->returnedAt = aNow;
  }
  if (this->phase == Phase::Member) {
    this->keptRanges = this->ChooseKeptRanges(aNow);
    this->keptUntil = this->LeaseEnd();
  }
  for (const auto& [address, drain] : this->view.AllDrains()) {
    if (drain.record.service == this->identity.service) {
      this->drainsToRestore.push_back(drain.record);
    }
  }
  for (const auto& [id, member] : this->view.AllMembers()) {
    this->earlierMembers[id] = member.record.udpAddress;
  }
  this->LogEvent("store-returned",
                 { { "era", std::to_string(aEra) },
                   { "before", std::to_string(this->era) },
                   { "ranges", std::to_string(this->keptRanges.size()) } });
  this->era = aEra;
  this->eraSeenAt = aNow;
  this->view = ClusterView();
  this->viewLoaded = false;
  this->queue.Clear();
  this->phase = Phase::NotMember;
  this->lease.Start({}, Time());
  this->moves.clear();
  this->finishedMoves.clear();
  this->pendingMessages.clear();
  this->guardianSince.clear();
  this->unownedSince.clear();
  this->readyMembers = 0;
  this->longLeaseVersion = 0;
  this->nextJoinAt =
    aNow + std::chrono::duration_cast<Duration>(kReturnSpread * this->random());
}

StoreEra
OwnershipAgent::Era() const
{
  return this->era;
}

void
OwnershipAgent::SetHasEarlierRows(Time aNow)
{
  if (this->viewLoaded) {
    return; // Known since the first load in this era.
  }
  this->hasEarlierGrants = true;
  if (this->eraSeenAt == Time()) {
    this->eraSeenAt = aNow;
  }
}

/** Until the lease ends, no other member can have taken over. A range whose
 * move was sent to the store may have another owner. */
std::vector<KeyRange>
OwnershipAgent::ChooseKeptRanges(Time aNow) const
{
  if (this->LeaseEnd() <= aNow) {
    return {};
  }
  std::vector<KeyRange> owned;
  for (const auto* range : this->OwnedRanges()) {
    auto parts = this->UncontestedParts(*range);
    owned.insert(owned.end(), parts.begin(), parts.end());
  }
  for (const auto& move : this->moves) {
    if (move.writing) {
      owned = Subtract(owned, move.plan.range);
    }
  }
  std::sort(owned.begin(), owned.end());
  if (owned.size() <= kMaxKeptRanges) {
    return owned;
  }
  std::vector<KeyRange> merged;
  for (const auto& range : owned) {
    if (!merged.empty() && merged.back().last + 1 == range.first) {
      merged.back().last = range.last;
    } else if (merged.size() < kMaxKeptRanges) {
      merged.push_back(range);
    }
  }
  return merged;
}

std::vector<KeyRange>
OwnershipAgent::UnownedKeys() const
{
  std::vector<KeyRange> unowned{ { 0, kLastKey } };
  for (const auto& [first, range] :
       this->view.RangesOf(this->identity.service)) {
    unowned = Subtract(unowned, range.record.range);
  }
  return unowned;
}

bool
OwnershipAgent::IsReturning(Time aNow) const
{
  return this->returnedAt != Time() && aNow < this->returnedAt + kReturnTime &&
         (this->phase != Phase::Member ||
          (this->ownsKeys && !this->UnownedKeys().empty()));
}

void
OwnershipAgent::CheckMembership(Time aNow)
{
  if (this->phase != Phase::Member ||
      this->view.FindMember(this->self) != nullptr) {
    return;
  }
  this->LogEvent("member-ended", { { "reason", "record removed by another" } });
  this->phase = Phase::NotMember;
  this->self = this->newId();
  this->moves.clear();
  this->lease.Start({}, Time());
  this->granted.clear();
  this->nextJoinAt = aNow + kMemberWriteInterval;
}

void
OwnershipAgent::OnViewChanged(Time aNow)
{
  const auto* shutdowns =
    this->view.FindShutdowns(this->identity.service, this->identity.address);
  if (shutdowns != nullptr) {
    bool wasDraining = this->server.IsDraining();
    this->server.SetAnnouncedShutdowns(shutdowns->record.servers);
    if (this->server.IsDraining() && !wasDraining) {
      this->LogEvent("server-leaving",
                     { { "server", this->server.Report()->incarnation.id },
                       { "source", "an earlier process of this daemon" } });
    }
  }
  this->CheckMembership(aNow);
}

bool
OwnershipAgent::IsRecordingShutdown() const
{
  auto server = this->server.AnnouncedShutdown();
  if (!server) {
    return false;
  }
  const auto* known =
    this->view.FindShutdowns(this->identity.service, this->identity.address);
  return known == nullptr || std::count(known->record.servers.begin(),
                                        known->record.servers.end(),
                                        *server) == 0;
}

void
OwnershipAgent::RecordShutdown(Time aNow)
{
  if (!this->IsRecordingShutdown() || !this->viewLoaded ||
      !this->queue.IsEmpty()) {
    return;
  }
  auto server = *this->server.AnnouncedShutdown();
  auto change = MakeShutdownChange(
    this->view, this->identity.service, this->identity.address, server);
  this->queue.Add(
    change,
    [this, change, server](Time aDoneAt, const TransactionResult& aResult) {
      this->ApplyResult(aDoneAt, change, aResult);
      if (aResult.committed) {
        this->LogEvent("shutdown-recorded", { { "server", server.id } });
      }
    },
    aNow + kChangeTimeout);
}

void
OwnershipAgent::RemoveOldShutdowns(Time aNow)
{
  if (aNow < this->nextShutdownCheckAt || !this->queue.IsEmpty()) {
    return;
  }
  this->nextShutdownCheckAt = aNow + kShutdownCheckInterval;
  std::set<std::string> running;
  for (const auto* member : this->view.MembersOf(this->identity.service)) {
    running.insert(member->address);
  }
  std::map<std::string, std::pair<RowVersion, Time>> since;
  StoreTransaction change;
  for (const auto& [id, shutdown] : this->view.AllShutdowns()) {
    const auto& [service, address] = id;
    if (service != this->identity.service) {
      continue;
    }
    std::pair seen{ shutdown.version, aNow };
    auto known = this->shutdownsSince.find(address);
    if (known != this->shutdownsSince.end() &&
        known->second.first == shutdown.version) {
      seen = known->second;
    }
    since[address] = seen;
    bool isOwn = address == this->identity.address;
    auto keptFor = kShutdownRetention;
    if (!isOwn) {
      auto rank = StableHash(address, StableHash(this->self)) % kRanks;
      keptFor += kShutdownRemovalSpread * static_cast<int>(rank) / kRanks;
    }
    bool isNeeded = isOwn ? this->server.IsDraining() : running.count(address);
    if (!isNeeded && aNow - seen.second >= keptFor &&
        change.removes.size() < kMaxTakenRanges) {
      auto key = ShutdownKey(service, address);
      AddCondition(change, key, shutdown.version);
      change.removes.push_back(key);
    }
  }
  this->shutdownsSince = std::move(since);
  if (!change.removes.empty()) {
    this->SubmitChange(aNow, change);
  }
}

HeartbeatReply
OwnershipAgent::OnHeartbeat(Time aNow, const ServerReport& aReport)
{
  if (aReport.service != this->identity.service ||
      aReport.address != this->identity.server) {
    this->LogEvent("heartbeat-refused",
                   { { "server", aReport.incarnation.id },
                     { "reason", "not the server beside this daemon" },
                     { "address", aReport.address } });
    return {};
  }
  bool wasDraining = this->server.IsDraining();
  auto result = this->server.OnHeartbeat(aNow, aReport);
  if (result == ServerState::HeartbeatResult::Stale) {
    const auto& current = this->server.Report()->incarnation;
    if (current != aReport.incarnation) {
      this->LogEvent("heartbeat-ignored",
                     { { "server", aReport.incarnation.id },
                       { "current", current.id },
                       { "heartbeat", std::to_string(aReport.sequence) } });
    }
    return {};
  }
  this->lastHeartbeat = aNow;
  if (result == ServerState::HeartbeatResult::NewIncarnation) {
    this->granted.clear();
    this->LogEvent("server-started",
                   { { "server", aReport.incarnation.id },
                     { "born", std::to_string(aReport.incarnation.startedAt) },
                     { "slots", std::to_string(aReport.slots) } });
  }
  if (this->server.IsDraining() && !wasDraining) {
    this->LogEvent("server-leaving", { { "server", aReport.incarnation.id } });
  }
  if (!this->ownsKeys || this->phase != Phase::Member) {
    return {};
  }
  this->DropStaleMoves(aNow);
  this->PlanMoves(aNow); // The reply omits keys that are about to move.
  // Grants never exceed the promise, even without guardians: a guardian that is
  // named later agrees to a takeover one promise after it was named.
  auto until = std::min(
    this->lease.EndsAt(),
    aNow + std::min(this->settings.maxGrantTime, this->settings.times.promise));
  auto left = std::max(until - aNow, Duration(0));
  auto grantTime =
    std::chrono::duration_cast<Duration>(left * (1 - kServerClockDrift)) -
    milliseconds(10);
  if (grantTime < kMinGrantTime) {
    return {};
  }
  this->server.ForgetReleasedOutside(this->OwnedKeyRanges());
  HeartbeatReply reply;
  reply.grants = Grants{ this->MakeGrants(), grantTime };
  if (!(this->granted == reply.grants->ranges)) {
    this->LogEvent("grants-changed",
                   { { "server", aReport.incarnation.id },
                     { "grants", FormatRanges(reply.grants->ranges) },
                     { "held", FormatRanges(aReport.grantedRanges) },
                     { "hold_ms", std::to_string(ToMilliseconds(grantTime)) },
                     { "heartbeat", std::to_string(aReport.sequence) } });
  }
  this->granted = reply.grants->ranges;
  this->grantedUntil = aNow + grantTime;
  this->server.OnGranted(this->granted,
                         aNow + std::chrono::duration_cast<Duration>(
                                  grantTime * (1 + kServerClockDrift)));
  return reply;
}

std::vector<Grant>
OwnershipAgent::MakeGrants() const
{
  std::vector<Grant> grants;
  for (const auto* owned : this->OwnedRanges()) {
    auto parts = this->UncontestedParts(*owned);
    for (const auto& move : this->moves) {
      parts = Subtract(parts, move.plan.range);
    }
    auto fence = owned->record.epoch * kIncarnationsPerEpoch +
                 this->server.IncarnationNumber() % kIncarnationsPerEpoch;
    for (const auto& part : parts) {
      // A move that was given up returns keys that the server has released.
      auto room = kMaxGrants - std::min(kMaxGrants, grants.size());
      for (const auto& [range, handover] :
           this->server.DivideByHandover(part, owned->record.handover, room)) {
        grants.push_back({ range, fence, handover });
      }
    }
  }
  return grants;
}

void
OwnershipAgent::OnServerDeregistered(Time aNow, const std::string& aServerId)
{
  bool wasDraining = this->server.IsDraining();
  this->server.OnServerDeregistered(aNow, aServerId);
  if (this->server.IsDraining() && !wasDraining) {
    this->LogEvent("server-leaving", { { "server", aServerId } });
  }
}

void
OwnershipAgent::OnServerLeaving(Time aSince, const ServerIncarnation& aServer)
{
  if (this->server.Report() && this->server.Report()->incarnation == aServer) {
    this->OnServerDeregistered(aSince, aServer.id);
  }
}

void
OwnershipAgent::OnConnectionRefused(Time aNow)
{
  if (!this->server.IsLost(aNow)) {
    this->LogEvent("server-lost", { { "reason", "connection refused" } });
  }
  this->server.OnConnectionRefused(aNow);
}

std::vector<OutgoingMessage>
OwnershipAgent::OnPeerMessage(Time aNow, const PeerMessage& aMessage)
{
  using Kind = PeerMessage::Kind;
  this->evacuations.OnAnnounced(aNow, aMessage.evacuations);
  bool isProbe =
    aMessage.kind == Kind::Probe || aMessage.kind == Kind::ProbeReply;
  if (aMessage.to != this->self) {
    return {};
  }
  this->probe.OnReply(aMessage.from);
  if (aMessage.relay) {
    this->relays.insert(aMessage.from);
  }
  if (aMessage.era != this->era && !isProbe) {
    return {};
  }
  auto reply = [&](Kind aKind) {
    auto message = this->MakePeerMessage(aNow,
                                         aKind,
                                         aMessage.from,
                                         aMessage.member,
                                         aMessage.version,
                                         aMessage.sentAt);
    message.era = this->era;
    message.relay = PeerMessage::Relay::Able;
    return message;
  };
  if (aMessage.kind == Kind::Renew || aMessage.kind == Kind::Acknowledge) {
    this->messageLoads[aMessage.from] = {
      { aMessage.load, aNow + aMessage.untilHeartbeat }, aNow
    };
  }
  switch (aMessage.kind) {
    case Kind::Rows:
      for (const auto& row : aMessage.rows) {
        this->OnRow(aNow, row);
      }
      if (aMessage.relay == PeerMessage::Relay::Requested) {
        return this->RelayRows(aMessage);
      }
      break;
    case Kind::Renew:
      // Without a lease the record of this member may have been removed, and it
      // must not promise anything to others.
      if (this->LeaseEnd() > aNow &&
          this->monitor.OnRenewal(aNow, aMessage.from)) {
        return { { "", reply(Kind::Acknowledge) } };
      }
      break;
    case Kind::Acknowledge:
      if (FromBootNanoseconds(aMessage.sentAt) <= aNow) {
        this->lease.OnAcknowledgement(aMessage.from,
                                      FromBootNanoseconds(aMessage.sentAt));
      }
      break;
    case Kind::RequestConsent:
      if (this->monitor.OnConsentRequest(
            aNow, aMessage.member, aMessage.version)) {
        return { { "", reply(Kind::Consent) } };
      }
      break;
    case Kind::Probe:
      return { { "", reply(Kind::ProbeReply) } };
    case Kind::Consent:
      this->monitor.OnConsent(aMessage.member, aMessage.from, aMessage.version);
      break;
    case Kind::ProbeReply:
    case Kind::Confirmation:
    case Kind::Crashes:
      break; // Not about ownership.
  }
  return {};
}

void
OwnershipAgent::OnLongLeaseRead(Time aNow,
                                const MemberId& aMember,
                                RowVersion aVersion)
{
  this->monitor.OnLongLeaseRead(aNow, aMember, aVersion);
}

void
OwnershipAgent::SetStoreReachable(bool aReachable)
{
  this->storeReachable = aReachable;
}

bool
OwnershipAgent::IsStoreReachable() const
{
  return this->storeReachable && this->queue.IsStoreResponding();
}

void
OwnershipAgent::SetLoads(std::vector<KeyWeight> aKeys,
                         double aUnusable,
                         std::map<MemberId, PeerLoad> aLoads)
{
  this->keys = std::move(aKeys);
  this->unusableShare = aUnusable;
  this->responseLoads = std::move(aLoads);
}

OwnershipAgent::Output
OwnershipAgent::Tick(Time aNow)
{
  Output output;
  this->evacuations.Tick(aNow);
  output.messages = std::exchange(this->pendingMessages, {});
  if (aNow > this->eraSeenAt + kReturnTime) {
    this->earlierMembers.clear();
  }
  this->LogRefusedRows();
  this->RecordShutdown(aNow);
  if (this->phase == Phase::NotMember) {
    this->Join(aNow);
  }
  if (this->phase == Phase::Member) {
    this->UpdateMember(aNow);
    this->SendRenewals(aNow, output);
    this->SendProbes(aNow, output);
    this->RenewLongLease(aNow);
    if (this->ownsKeys) {
      this->RestoreOwnRows(aNow);
      this->CreateRanges(aNow);
      this->FillGaps(aNow);
      this->DropStaleMoves(aNow);
      this->PlanMoves(aNow);
      this->WriteMoves(aNow);
      this->MergeRanges(aNow);
      this->TakeUnownedRanges(aNow);
      this->GiveUpOverlaps(aNow);
    }
    this->RemoveRefusedMembers(aNow);
    this->RemoveOldShutdowns(aNow);
  }
  auto findings = this->monitor.Tick(
    aNow, this->view, this->self, this->probe.SilentMembers(aNow));
  output.messages.insert(
    output.messages.end(), findings.messages.begin(), findings.messages.end());
  output.leaseReads = findings.leaseReads;
  if (this->phase == Phase::Member) {
    for (const auto& lost : findings.lost) {
      this->TakeOver(aNow, lost, lost.leaseVersion ? "long-lease" : "consent");
    }
    this->TakeOverPredecessors(aNow);
    this->RestoreDrains(aNow);
  }
  for (auto& message : output.messages) {
    message.message.era = this->era;
    if (!message.message.relay) {
      message.message.relay = PeerMessage::Relay::Able;
    }
  }
  return output;
}

void
OwnershipAgent::Join(Time aNow)
{
  if (!this->viewLoaded || !this->queue.IsEmpty() || aNow < this->nextJoinAt ||
      !this->server.IsAvailable(aNow)) {
    return;
  }
  MemberRecord record{ this->self,
                       this->identity.service,
                       this->identity.zone,
                       this->identity.address,
                       this->identity.udpAddress,
                       this->DesiredState(aNow),
                       this->ChooseGuardians(aNow) };
  auto change = MakeJoinChange(this->view, record);
  if (this->view.ClaimsClosedAt(this->identity.service) != 0 ||
      aNow >= this->keptUntil) {
    this->keptRanges.clear();
  }
  for (const auto& [first, range] :
       this->view.RangesOf(this->identity.service)) {
    this->keptRanges = Subtract(this->keptRanges, range.record.range);
  }
  AddKeptRanges(
    change, this->identity.service, this->self, this->keptRanges, this->era);
  this->phase = Phase::Joining;
  this->nextJoinAt = aNow + kMemberWriteInterval;
  this->queue.Add(change,
                  [this, change, record, aNow](
                    Time aDoneAt, const TransactionResult& aResult) {
                    this->ApplyResult(aDoneAt, change, aResult);
                    this->OnJoinFinished(aDoneAt, aResult, record, aNow);
                  });
}

void
OwnershipAgent::OnJoinFinished(Time aNow,
                               const TransactionResult& aResult,
                               const MemberRecord& aRecord,
                               Time aSentAt)
{
  if (!aResult.committed) {
    this->LogEvent("join-failed", { { "reason", "rows changed meanwhile" } });
    this->phase = Phase::NotMember;
    return;
  }
  this->phase = Phase::Member;
  this->keptRanges.clear();
  this->joinedAt = aNow;
  this->longLeaseVersion = aResult.version;
  this->nextLongRenewAt = aNow + this->settings.times.longRenewInterval;
  this->nextMemberChangeAt = aNow + kDiscoveryTime;
  this->guardianSince.clear();
  this->lease.Start(aRecord.guardians, aSentAt);
  this->LogEvent("joined",
                 { { "guardians", std::to_string(aRecord.guardians.size()) },
                   { "ranges", std::to_string(this->OwnedRanges().size()) } });
}

void
OwnershipAgent::ApplyResult(Time aNow,
                            const StoreTransaction& aTransaction,
                            const TransactionResult& aResult)
{
  if (!aResult.committed) {
    for (const auto& row : aResult.current) {
      this->view.Apply(row);
    }
    // Rows that are not listed do not exist.
    for (const auto& condition : aTransaction.conditions) {
      if (FindExistingRow(aResult.current, condition.key) == nullptr) {
        this->view.Apply({ condition.key, "", aResult.version, true });
      }
    }
    this->OnViewChanged(aNow);
    return;
  }
  std::vector<StoreRow> changed = aTransaction.sets;
  for (const auto& key : aTransaction.removes) {
    changed.push_back({ key, "", 0, true });
  }
  for (auto& row : changed) {
    row.version = aResult.version;
    this->view.Apply(row);
  }
  this->DisseminateRows(aNow, changed);
}

/** Whether operators have drained this member. */
bool
OwnershipAgent::IsDrained() const
{
  return this->view.IsDrained(this->identity.service, this->identity.address);
}

/** Longest time for which keys that any daemon granted may still be held. */
Duration
OwnershipAgent::MaxGrantTime() const
{
  return WithDrift(this->settings.times.promise, this->settings.times);
}

/** Longest time for which a daemon that does not see the latest rows may grant
 * keys, and servers hold them. */
Duration
OwnershipAgent::MaxUnseenGrantTime() const
{
  return WithDrift(this->settings.times.longLease, this->settings.times) +
         this->MaxGrantTime();
}

bool
OwnershipAgent::CanOwnKeys(Time aNow) const
{
  return this->server.IsAvailable(aNow) && !this->IsDrained() &&
         this->evacuations.IsOwnServerUsable(this->lastHeartbeat);
}

/** Queues a change whose result nothing else depends on; it is dropped if the
 * store does not accept it soon. */
void
OwnershipAgent::SubmitChange(Time aNow, const StoreTransaction& aChange)
{
  this->queue.Add(
    aChange,
    [this, aChange](Time aDoneAt, const TransactionResult& aResult) {
      this->ApplyResult(aDoneAt, aChange, aResult);
    },
    aNow + kChangeTimeout);
}

MemberState
OwnershipAgent::DesiredState(Time aNow) const
{
  if (this->server.IsDraining() || this->IsDrained() ||
      !this->evacuations.IsOwnServerUsable(this->lastHeartbeat)) {
    return MemberState::Draining;
  }
  return this->server.IsLost(aNow) ? MemberState::Down : MemberState::Ready;
}

bool
OwnershipAgent::IsGuardianSilent(Time aNow, const MemberId& aGuardian) const
{
  auto since = this->guardianSince.find(aGuardian);
  if (since == this->guardianSince.end()) {
    return false;
  }
  auto acknowledged = this->lease.LastAcknowledged(aGuardian).value_or(Time());
  return aNow - std::max(acknowledged, since->second) >
         this->settings.times.guardianSilence;
}

std::vector<MemberId>
OwnershipAgent::ChooseGuardians(Time aNow) const
{
  struct Candidate
  {
    bool kept;
    uint64_t rank;
    const MemberRecord* record;
  };
  const auto* own = this->view.FindMember(this->self);
  auto silent = this->probe.SilentMembers(aNow);
  std::vector<Candidate> candidates;
  for (const auto& [id, member] : this->view.AllMembers()) {
    if (id == this->self || silent.count(id) > 0 ||
        member.record.udpAddress == this->identity.udpAddress ||
        this->IsGuardianSilent(aNow, id)) {
      continue;
    }
    bool kept = own != nullptr && std::count(own->record.guardians.begin(),
                                             own->record.guardians.end(),
                                             id) > 0;
    candidates.push_back(
      { kept, StableHash(id, StableHash(this->self)), &member.record });
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const auto& aLeft, const auto& aRight) {
              return std::tuple(!aLeft.kept, aLeft.rank) <
                     std::tuple(!aRight.kept, aRight.rank);
            });
  std::vector<MemberId> chosen;
  std::map<std::string, int> zones;
  // Prefer guardians in different zones, so that the loss of one zone affects
  // few of them.
  for (bool anyZone : { false, true }) {
    for (const auto& candidate : candidates) {
      const auto& record = *candidate.record;
      bool taken = std::count(chosen.begin(), chosen.end(), record.id) > 0;
      if (!taken && chosen.size() < this->settings.times.guardianCount &&
          (anyZone || zones[record.zone] == 0)) {
        ++zones[record.zone];
        chosen.push_back(record.id);
      }
    }
  }
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

void
OwnershipAgent::UpdateMember(Time aNow)
{
  const auto* own = this->view.FindMember(this->self);
  if (own == nullptr || !this->queue.IsEmpty()) {
    return;
  }
  auto record = own->record;
  record.zone = this->identity.zone;
  record.address = this->identity.address;
  record.udpAddress = this->identity.udpAddress;
  record.state = this->DesiredState(aNow);
  // Another writer may have changed or spoilt the row.
  bool urgent = record != own->record ||
                this->view.RefusedRows().count(
                  MemberKey(this->identity.service, this->self)) > 0;
  if (aNow >= this->nextMemberChangeAt) {
    bool outdated =
      own->record.guardians.size() < this->settings.times.guardianCount;
    for (const auto& guardian : own->record.guardians) {
      outdated = outdated || this->IsGuardianSilent(aNow, guardian) ||
                 this->view.FindMember(guardian) == nullptr;
    }
    if (outdated) {
      record.guardians = this->ChooseGuardians(aNow);
    }
    urgent = urgent || record.guardians != own->record.guardians;
  }
  if (urgent) {
    this->WriteMember(aNow, record);
  }
}

void
OwnershipAgent::WriteMember(Time aNow, const MemberRecord& aRecord)
{
  const auto* own = this->view.FindMember(this->self);
  StoreTransaction change;
  AddCondition(change, MemberKey(aRecord.service, this->self), own->version);
  change.sets.push_back(ToRow(aRecord));
  this->nextMemberChangeAt = aNow + kMemberWriteInterval;
  this->lease.BeginGuardianChange(aRecord.guardians, aNow);
  this->queue.Add(
    change,
    [this, change, aRecord, before = own->record](
      Time aDoneAt, const TransactionResult& aResult) {
      this->lease.EndGuardianChange(aResult.committed);
      this->ApplyResult(aDoneAt, change, aResult);
      if (aResult.committed) {
        this->LogEvent(
          "member-changed",
          { { "state", ToString(aRecord.state) },
            { "before", ToString(before.state) },
            { "guardians", std::to_string(aRecord.guardians.size()) } });
      }
    },
    aNow + kChangeTimeout);
}

void
OwnershipAgent::RenewLongLease(Time aNow)
{
  const auto* own = this->view.FindMember(this->self);
  if (aNow < this->nextLongRenewAt || own == nullptr ||
      !this->queue.IsEmpty()) {
    return;
  }
  this->nextLongRenewAt = aNow + this->settings.times.longRenewInterval;
  StoreTransaction change;
  auto key = LeaseKey(this->identity.service, this->self);
  AddCondition(
    change, MemberKey(this->identity.service, this->self), own->version);
  AddCondition(change, key, this->longLeaseVersion);
  change.sets.push_back(
    { key, std::to_string(++this->longLeaseCount), 0, false });
  this->queue.Add(
    change,
    [this, key, change, aNow](Time aDoneAt, const TransactionResult& aResult) {
      if (aResult.committed) {
        this->longLeaseVersion = aResult.version;
        this->lease.OnLongLeaseRenewed(aNow);
        return;
      }
      for (const auto& row : aResult.current) {
        if (row.key == key) {
          this->longLeaseVersion = row.version;
        }
      }
      this->ApplyResult(aDoneAt, change, aResult);
      this->nextLongRenewAt = aDoneAt + kMemberWriteInterval;
    },
    aNow + kLongLeaseTimeout);
}

void
OwnershipAgent::SendRenewals(Time aNow, Output& aOutput)
{
  if (aNow < this->nextRenewAt) {
    return;
  }
  this->nextRenewAt = aNow + this->settings.times.renewInterval;
  for (const auto& guardian : this->lease.Guardians()) {
    this->guardianSince.try_emplace(guardian, aNow);
    const auto* member = this->view.FindMember(guardian);
    if (member != nullptr) {
      aOutput.messages.push_back(
        { member->record.udpAddress,
          this->MakePeerMessage(aNow,
                                PeerMessage::Kind::Renew,
                                guardian,
                                this->self,
                                0,
                                ToBootNanoseconds(aNow)) });
    }
  }
}

void
OwnershipAgent::SendProbes(Time aNow, Output& aOutput)
{
  for (const auto& id : this->probe.Tick(aNow, this->view, this->self)) {
    PeerMessage request;
    request.kind = PeerMessage::Kind::Probe;
    request.from = this->self;
    request.to = id;
    aOutput.messages.push_back(
      { this->view.FindMember(id)->record.udpAddress, std::move(request) });
  }
  auto unheard = this->probe.UnheardMembers(aNow);
  for (const auto& id : unheard) {
    const auto* member = this->view.FindMember(id);
    if (member != nullptr && this->loggedUnheard.count(id) == 0) {
      this->LogEvent("member-unheard",
                     { { "id", id }, { "address", member->record.address } });
    }
  }
  this->loggedUnheard = std::move(unheard);
}

/** Creates a peer message that includes the load of this member. */
PeerMessage
OwnershipAgent::MakePeerMessage(Time aNow,
                                PeerMessage::Kind aKind,
                                const MemberId& aTo,
                                const MemberId& aMember,
                                RowVersion aVersion,
                                int64_t aSentAt) const
{
  PeerMessage message;
  message.kind = aKind;
  message.from = this->self;
  message.to = aTo;
  message.member = aMember;
  message.version = aVersion;
  message.sentAt = aSentAt;
  message.load = this->OwnLoad();
  message.untilHeartbeat =
    this->lastHeartbeat + this->settings.heartbeat - aNow;
  return message;
}

OwnershipAgent::RangeList
OwnershipAgent::OwnedRanges() const
{
  RangeList owned;
  for (const auto& [first, range] :
       this->view.RangesOf(this->identity.service)) {
    if (range.record.owner == this->self) {
      owned.push_back(&range);
    }
  }
  return owned;
}

std::vector<KeyRange>
OwnershipAgent::OwnedKeyRanges() const
{
  std::vector<KeyRange> ranges;
  for (const auto* owned : this->OwnedRanges()) {
    ranges.push_back(owned->record.range);
  }
  return ranges;
}

double
OwnershipAgent::OwnLoad() const
{
  return WorkOf(this->OwnedKeyRanges(), this->keys) + this->unusableShare;
}

/** Time until a member can grant keys that are released now, which it does at
 * the first heartbeat of its server after the move was recorded. */
Duration
OwnershipAgent::TimeUntilGrant(Time aNow, const PeerLoad& aPeer) const
{
  auto period = this->settings.heartbeat;
  auto until = (aPeer.nextHeartbeat - aNow - kHandoverLatency) % period;
  return until < Duration(0) ? until + period : until;
}

/** Load that a member reported recently, in a response or a peer message. */
std::optional<PeerLoad>
OwnershipAgent::FindLoad(Time aNow, const MemberId& aMember) const
{
  auto response = this->responseLoads.find(aMember);
  if (response != this->responseLoads.end()) {
    return response->second;
  }
  auto received = this->messageLoads.find(aMember);
  if (received != this->messageLoads.end() &&
      aNow - received->second.receivedAt < kMaxLoadAge) {
    return received->second.load;
  }
  return std::nullopt;
}

std::vector<MemberLoad>
OwnershipAgent::FindTargets(Time aNow,
                            const std::string& aService,
                            bool aIncludeUnknown) const
{
  std::map<MemberId, size_t> counts;
  for (const auto& [first, range] : this->view.RangesOf(aService)) {
    ++counts[range.record.owner];
  }
  std::vector<MemberLoad> targets;
  for (const auto* member : this->view.MembersOf(aService)) {
    auto load = this->FindLoad(aNow, member->id);
    // A member without a known load is new, unless it owns keys.
    bool unknown = !load && counts[member->id] > 0;
    if (member->id == this->self || member->state != MemberState::Ready ||
        !this->probe.IsAlive(aNow, member->id) ||
        this->evacuations.IsEvacuated(member->zone) ||
        counts[member->id] >= this->settings.rebalancing.maxRanges ||
        (unknown && !aIncludeUnknown)) {
      continue;
    }
    targets.push_back(
      { member->id,
        std::max(load ? load->load : 0,
                 this->evacuations.LeastLoad(aNow, member->zone)),
        counts[member->id] > 0,
        load ? this->TimeUntilGrant(aNow, *load) : Duration(0) });
  }
  return targets;
}

void
OwnershipAgent::CreateRanges(Time aNow)
{
  const auto& service = this->identity.service;
  // Another writer may have added ranges before the first ones, of which one
  // begins at key 0. If a member owns any, the first ones may have been removed
  // and still be granted.
  const auto& ranges = this->view.RangesOf(service);
  if (ranges.count(0) > 0) {
    this->firstRangeMissingSince = Time();
    return;
  }
  if (this->firstRangeMissingSince == Time()) {
    this->firstRangeMissingSince = aNow;
  }
  bool anyOwner =
    std::any_of(ranges.begin(), ranges.end(), [&](const auto& aRange) {
      return this->view.FindMember(aRange.second.record.owner) != nullptr;
    });
  auto wait = anyOwner ? this->MaxUnseenGrantTime() : Duration(0);
  if (this->hasEarlierGrants || aNow < this->firstRangeMissingSince + wait ||
      !this->queue.IsEmpty()) {
    return;
  }
  std::vector<MemberId> ready;
  for (const auto* member : this->view.MembersOf(service)) {
    bool isAlive =
      member->id == this->self || this->probe.IsAlive(aNow, member->id);
    if (member->state == MemberState::Ready && isAlive &&
        !this->evacuations.IsEvacuated(member->zone)) {
      ready.push_back(member->id);
    }
  }
  if (ready.size() != this->readyMembers) {
    this->readyMembers = ready.size();
    this->readyMembersSince = aNow;
  }
  auto position = std::find(ready.begin(), ready.end(), this->self);
  auto rank = static_cast<int>(position - ready.begin());
  if (position == ready.end() ||
      aNow < this->readyMembersSince + kDiscoveryTime + rank * kDiscoveryTime) {
    return;
  }
  auto change =
    MakeFirstRangesChange(service, ready, this->era, ranges.empty());
  this->LogEvent("ranges-created",
                 { { "members", std::to_string(ready.size()) } });
  this->SubmitChange(aNow, change);
}

/** Gives keys an owner that none of the members has brought along into this
 * era. Daemons that have not seen this era grant keys until their long leases
 * end. */
void
OwnershipAgent::FillGaps(Time aNow)
{
  auto spread =
    kGapFillSpread / kRanks * static_cast<int>(StableHash(this->self) % kRanks);
  if (!this->hasEarlierGrants ||
      aNow < this->eraSeenAt + this->MaxUnseenGrantTime() + spread ||
      !this->queue.IsEmpty() || !this->IsStoreReachable() ||
      this->DesiredState(aNow) != MemberState::Ready) {
    return;
  }
  // Parts of a change that arrived by themselves look like a gap.
  if (this->view.CompleteUpTo() < this->view.Version()) {
    return;
  }
  auto gaps = this->UnownedKeys();
  if (gaps.empty()) {
    this->hasEarlierGrants = false; // In this era all keys keep an owner.
    return;
  }
  const auto& service = this->identity.service;
  auto change = MakeCloseClaimsChange(
    this->view, service, this->self + " " + std::to_string(++this->closeCount));
  auto closedAt = this->view.ClaimsClosedAt(service);
  if (closedAt != 0) {
    auto targets = this->FindTargets(aNow, service, true);
    targets.push_back({ this->self, this->OwnLoad(), true, Duration(0) });
    auto plans = DistributeRanges(gaps, this->keys, targets, kMaxParts);
    for (const auto& plan : plans) {
      AddCondition(change, RangeKey(service, plan.range.first), 0);
      change.sets.push_back(ToRow(RangeRecord{
        service, plan.range, plan.target, FirstEpoch(this->era), "" }));
    }
    this->LogEvent("gaps-filled",
                   { { "ranges", std::to_string(plans.size()) } });
  }
  this->SubmitChange(aNow, change);
}

/** Logs each refused row once for each reason. */
void
OwnershipAgent::LogRefusedRows()
{
  const auto& refused = this->view.RefusedRows();
  for (auto logged = this->loggedRefusals.begin();
       logged != this->loggedRefusals.end();) {
    logged = refused.count(logged->first) == 0
               ? this->loggedRefusals.erase(logged)
               : std::next(logged);
  }
  for (const auto& [key, row] : refused) {
    auto& reason = this->loggedRefusals[key];
    if (reason != row.error.message) {
      reason = row.error.message;
      this->LogEvent("row-refused",
                     { { "table", key.table },
                       { "part", key.part },
                       { "key", key.key },
                       { "reason", reason } });
    }
  }
}

void
OwnershipAgent::RestoreOwnRows(Time aNow)
{
  const auto& refused = this->view.RefusedRows();
  if (refused.empty() || !this->queue.IsEmpty()) {
    return;
  }
  StoreTransaction change;
  for (const auto* range : this->OwnedRanges()) {
    auto key = RangeKey(this->identity.service, range->record.range.first);
    if (refused.count(key) > 0 && change.sets.size() < kMaxTakenRanges) {
      AddCondition(change, key, range->version);
      change.sets.push_back(ToRow(range->record));
    }
  }
  if (!change.sets.empty()) {
    this->SubmitChange(aNow, change);
  }
}

/** Removes refused member rows without a lease. Each process that joins writes
 * its lease with its row, so no process stands behind these. */
void
OwnershipAgent::RemoveRefusedMembers(Time aNow)
{
  std::map<StoreKey, Time> since;
  for (const auto& [key, row] : this->view.RefusedRows()) {
    if (!IsMemberKey(key) || key.part != this->identity.service) {
      continue;
    }
    auto known = this->refusedSince.find(key);
    since[key] = known == this->refusedSince.end() ? aNow : known->second;
    auto rank = static_cast<int>(StableHash(this->self) % kRanks);
    auto wait = kRefusedMemberTime + kGapFillSpread / kRanks * rank;
    if (aNow - since[key] < wait || !this->queue.IsEmpty()) {
      continue;
    }
    since[key] = aNow; // A row with a lease is tried again after the wait.
    StoreTransaction change;
    auto id = key.key.substr(MemberKey("", "").key.size());
    AddCondition(change, key, row.version);
    AddCondition(change, LeaseKey(key.part, id), 0);
    change.removes.push_back(key);
    this->SubmitChange(aNow, change);
    this->LogEvent("refused-member-removed", { { "id", id } });
  }
  this->refusedSince = std::move(since);
}

/** Writes drain requests again that the copy of the store lacks. */
void
OwnershipAgent::RestoreDrains(Time aNow)
{
  const auto& drains = this->view.AllDrains();
  auto isKnown = [&](const DrainRecord& aRecord) {
    auto known = drains.find({ aRecord.service, aRecord.address });
    return known != drains.end() &&
           known->second.record.revision >= aRecord.revision;
  };
  auto& missing = this->drainsToRestore;
  missing.erase(std::remove_if(missing.begin(), missing.end(), isKnown),
                missing.end());
  auto rank = static_cast<int>(StableHash(this->self) % kRanks);
  bool restoresAll = aNow >= this->eraSeenAt + kDrainRestoreTime +
                               kDrainRestoreTime / kRanks * rank;
  for (const auto& record : missing) {
    bool own = record.address == this->identity.address;
    if ((own || restoresAll) && this->queue.IsEmpty()) {
      auto known = drains.find({ record.service, record.address });
      StoreTransaction change;
      AddCondition(change,
                   DrainKey(record.service, record.address),
                   known == drains.end() ? 0 : known->second.version);
      change.sets.push_back(ToRow(record));
      this->SubmitChange(aNow, change);
    }
  }
}

void
OwnershipAgent::DropStaleMoves(Time aNow)
{
  bool canOwnKeys = this->CanOwnKeys(aNow);
  auto owned = this->OwnedKeyRanges();
  auto stale = [&](const Move& aMove) {
    const auto* target = this->view.FindMember(aMove.plan.target);
    bool ours =
      std::any_of(owned.begin(), owned.end(), [&](const auto& aRange) {
        return aRange.Contains(aMove.plan.range);
      });
    return !aMove.writing &&
           (target == nullptr || target->record.state != MemberState::Ready ||
            this->evacuations.IsEvacuated(target->record.zone) || !ours ||
            (aMove.forced && canOwnKeys));
  };
  this->moves.erase(
    std::remove_if(this->moves.begin(), this->moves.end(), stale),
    this->moves.end());
  while (!this->finishedMoves.empty() &&
         aNow - this->finishedMoves.front().finishedAt > kMoveRetention) {
    this->finishedMoves.pop_front();
  }
}

void
OwnershipAgent::PlanMoves(Time aNow)
{
  if (!this->CanOwnKeys(aNow)) {
    this->Evacuate(aNow);
    return;
  }
  // Plan only while a heartbeat is handled, since the reply to it makes the
  // server release the keys.
  if (aNow != this->lastHeartbeat || !this->moves.empty() ||
      aNow < this->nextMoveAt || !this->IsStoreReachable() ||
      !this->queue.IsEmpty()) {
    return;
  }
  auto owned = this->OwnedKeyRanges();
  auto plans = ::fescuetiller::PlanMoves(
    owned,
    this->keys,
    this->unusableShare,
    this->FindTargets(aNow, this->identity.service, true),
    this->settings.rebalancing,
    this->random);
  for (const auto& plan : plans) {
    this->nextMoveAt = aNow + kMoveInterval;
    this->moves.push_back({ plan, false, false });
    this->LogEvent(
      "move-planned",
      { { "keys", ToString(plan.range) },
        { "target", plan.target },
        { "load", std::to_string(this->OwnLoad()) },
        { "moved_load", std::to_string(WorkOf({ plan.range }, this->keys)) },
        { "target_load",
          std::to_string(
            this->FindLoad(aNow, plan.target).value_or(PeerLoad()).load) } });
  }
}

void
OwnershipAgent::Evacuate(Time aNow)
{
  // While the store is unreachable no new owner can be recorded, and released
  // keys would be served by nobody.
  if (!this->server.IsLost(aNow) && !this->IsStoreReachable()) {
    return;
  }
  if (std::any_of(
        this->moves.begin(), this->moves.end(), [](const auto& aMove) {
          return aMove.forced || aMove.writing;
        })) {
    return;
  }
  this->moves.clear();
  auto plans =
    DistributeRanges(this->OwnedKeyRanges(),
                     this->keys,
                     this->FindTargets(aNow, this->identity.service, true),
                     kMaxParts);
  for (const auto& plan : plans) {
    this->moves.push_back({ plan, true, false });
  }
  if (!plans.empty()) {
    this->LogEvent("evacuating", { { "parts", std::to_string(plans.size()) } });
  }
}

/** Returns the handover of each move. Keys that the server released in several
 * ranges have several, as far as these fit into one transaction. */
std::vector<KeyHandover>
OwnershipAgent::FindHandovers(const std::vector<PlannedMove>& aPlans) const
{
  std::vector<KeyHandover> handovers;
  size_t left = aPlans.size();
  for (const auto& plan : aPlans) {
    --left;
    auto parts = this->server.DivideByHandover(
      plan.range, "", kMaxParts - std::min(kMaxParts, handovers.size() + left));
    for (const auto& part : parts) {
      handovers.push_back({ { part.range, plan.target }, part.handover });
    }
  }
  return handovers;
}

void
OwnershipAgent::WriteMoves(Time aNow)
{
  if (!this->queue.IsEmpty()) {
    return;
  }
  std::vector<Move> ready;
  bool forced = false;
  for (auto& move : this->moves) {
    if (ready.size() < kMaxParts && !move.writing &&
        this->server.IsUnheld(aNow, move.plan.range)) {
      move.writing = true;
      forced = forced || move.forced;
      ready.push_back(move);
    }
  }
  if (ready.empty()) {
    return;
  }
  std::vector<PlannedMove> plans;
  plans.reserve(ready.size());
  for (const auto& move : ready) {
    plans.push_back(move.plan);
  }
  auto change = MakeMoveChange(
    this->view, this->identity.service, this->self, this->FindHandovers(plans));
  const auto& report = this->server.Report();
  for (const auto& move : ready) {
    this->LogEvent(
      "keys-free",
      { { "keys", ToString(move.plan.range) },
        { "target", move.plan.target },
        { "handover", this->server.HandoverOf(move.plan.range) },
        { "held", report ? FormatRanges(report->grantedRanges) : "" },
        { "heartbeat", report ? std::to_string(report->sequence) : "" } });
  }
  this->queue.Add(
    change,
    [this, change, ready](Time aDoneAt, const TransactionResult& aResult) {
      this->ApplyResult(aDoneAt, change, aResult);
      this->server.ForgetReleasedOutside(this->OwnedKeyRanges());
      this->moves.erase(
        std::remove_if(this->moves.begin(),
                       this->moves.end(),
                       [](const Move& aMove) { return aMove.writing; }),
        this->moves.end());
      for (const auto& move : ready) {
        if (aResult.committed) {
          this->finishedMoves.push_back({ move.plan, aDoneAt });
        }
        this->LogEvent(aResult.committed ? "keys-moved" : "move-failed",
                       { { "keys", ToString(move.plan.range) },
                         { "target", move.plan.target } });
      }
    },
    forced ? Time::max() : aNow + kChangeTimeout);
}

void
OwnershipAgent::DisseminateRows(Time aNow, const std::vector<StoreRow>& aRows)
{
  std::vector<std::vector<StoreRow>> datagrams(1);
  size_t bytes = 0;
  for (const auto& row : aRows) {
    if (row.key.table != kClusterTable) {
      continue;
    }
    bytes += row.value.size() + row.key.key.size() + kRowOverheadBytes;
    if (bytes > kMaxDatagramRowBytes && !datagrams.back().empty()) {
      datagrams.emplace_back();
      bytes = 0;
    }
    datagrams.back().push_back(row);
  }
  for (const auto& rows : datagrams) {
    if (rows.empty()) {
      continue;
    }
    for (const auto& [id, receiver] : this->ChooseRowReceivers(aNow, rows)) {
      PeerMessage message;
      message.kind = PeerMessage::Kind::Rows;
      message.from = this->self;
      message.to = id;
      message.rows = rows;
      if (receiver.relays) {
        message.relay = PeerMessage::Relay::Requested;
      }
      this->pendingMessages.push_back({ receiver.address, std::move(message) });
    }
  }
}

std::map<MemberId, OwnershipAgent::RowReceiver>
OwnershipAgent::ChooseRowReceivers(Time aNow,
                                   const std::vector<StoreRow>& aRows)
{
  std::map<MemberId, RowReceiver> receivers;
  // Just after a return, the view lacks members that have not joined again.
  for (const auto& [id, address] : this->earlierMembers) {
    receivers[id] = { address };
  }
  // New owners and guardians need the rows first.
  std::set<MemberId> concerned;
  for (const auto& row : aRows) {
    if (auto range = ParseRange(row)) {
      concerned.insert(range->owner);
    } else if (auto member = ParseMember(row)) {
      concerned.insert(member->id);
      concerned.insert(member->guardians.begin(), member->guardians.end());
    }
  }
  std::map<std::string, std::vector<MemberId>> others; ///< By zone.
  for (const auto& [id, member] : this->view.AllMembers()) {
    // A member that joins must be heard by all others, which give it no keys
    // otherwise.
    bool isNear =
      this->phase != Phase::Member || member.record.zone == this->identity.zone;
    if (isNear || concerned.count(id) > 0) {
      receivers[id] = { member.record.udpAddress };
    }
    if (!isNear) {
      others[member.record.zone].push_back(id);
    }
  }
  for (auto member = this->relays.begin(); member != this->relays.end();) {
    member = this->view.FindMember(*member) == nullptr
               ? this->relays.erase(member)
               : std::next(member);
  }
  for (const auto& [zone, members] : others) {
    auto chosen = this->ChooseRelays(aNow, members, concerned);
    bool relays = !chosen.empty();
    for (const auto& id : relays ? chosen : members) {
      receivers[id] = { this->view.FindMember(id)->record.udpAddress, relays };
    }
  }
  receivers.erase(this->self);
  return receivers;
}

std::vector<MemberId>
OwnershipAgent::ChooseRelays(Time aNow,
                             const std::vector<MemberId>& aMembers,
                             const std::set<MemberId>& aPreferred) const
{
  if (aMembers.size() <= kRelaysPerZone) {
    return {};
  }
  // In a random order, those that get the rows anyway first.
  std::multimap<std::pair<bool, double>, MemberId> able;
  for (const auto& id : aMembers) {
    if (this->relays.count(id) > 0 && this->probe.IsAlive(aNow, id)) {
      able.emplace(std::pair(aPreferred.count(id) == 0, this->random()), id);
    }
  }
  std::vector<MemberId> chosen;
  if (able.size() >= kRelaysPerZone) {
    for (const auto& [rank, id] : able) {
      chosen.push_back(id);
      if (chosen.size() == kRelaysPerZone) {
        break;
      }
    }
  }
  return chosen;
}

std::vector<OutgoingMessage>
OwnershipAgent::RelayRows(const PeerMessage& aMessage) const
{
  std::vector<OutgoingMessage> messages;
  for (const auto& [id, member] : this->view.AllMembers()) {
    if (member.record.zone != this->identity.zone || id == this->self ||
        id == aMessage.from) {
      continue;
    }
    PeerMessage message;
    message.kind = PeerMessage::Kind::Rows;
    message.from = this->self;
    message.to = id;
    message.rows = aMessage.rows;
    message.era = this->era;
    message.relay = PeerMessage::Relay::Able;
    messages.push_back({ member.record.udpAddress, std::move(message) });
  }
  return messages;
}

void
OwnershipAgent::MergeRanges(Time aNow)
{
  auto owned = this->OwnedRanges();
  if (owned.size() < kMergeThreshold || !this->moves.empty() ||
      !this->queue.IsEmpty()) {
    return;
  }
  std::vector<KeyRange> held;
  if (const auto& report = this->server.Report()) {
    for (const auto& range : report->grantedRanges) {
      held.push_back(range.range);
    }
  }
  auto change =
    MakeMergeChange(this->view, this->identity.service, this->self, held);
  if (change.sets.empty()) {
    return;
  }
  this->SubmitChange(aNow, change);
}

void
OwnershipAgent::TakeUnownedRanges(Time aNow)
{
  const auto& refused = this->view.RefusedRows();
  std::map<Key, Time> unowned;
  std::set<MemberId> absent;
  StoreTransaction change;
  const Versioned<RangeRecord>* contested = nullptr;
  for (const auto& [first, range] :
       this->view.RangesOf(this->identity.service)) {
    const auto& owner = range.record.owner;
    if (this->view.FindMember(owner) != nullptr ||
        refused.count(MemberKey(range.record.service, owner)) > 0) {
      continue; // A refused row may be that of a process that runs.
    }
    auto known = this->unownedSince.find(first);
    unowned[first] = known == this->unownedSince.end() ? aNow : known->second;
    if (aNow - unowned[first] <= this->MaxGrantTime() + kUnownedRangeMargin) {
      continue;
    }
    if (!this->view.RangesOver(range.record).empty()) {
      contested = &range;
    } else if (change.sets.size() < kMaxTakenRanges) {
      AddOwnerChange(change, range, this->self);
      absent.insert(range.record.owner);
    }
  }
  this->unownedSince = std::move(unowned);
  // A range that another writer added to this era may be held since the last.
  bool mayBeHeld = this->hasEarlierGrants &&
                   aNow < this->eraSeenAt + this->MaxUnseenGrantTime();
  if (mayBeHeld || !this->queue.IsEmpty() ||
      this->DesiredState(aNow) != MemberState::Ready) {
    return;
  }
  // The owner may be a member whose row has not arrived here yet.
  for (const auto& owner : absent) {
    AddCondition(change, MemberKey(this->identity.service, owner), 0);
  }
  if (!change.sets.empty()) {
    this->LogEvent("orphans-taken",
                   { { "ranges", std::to_string(change.sets.size()) } });
    this->SubmitChange(aNow, change);
  } else if (contested != nullptr) {
    auto trim = MakeTrimChange(this->view, *contested);
    if (!trim.conditions.empty()) {
      AddCondition(
        trim, MemberKey(this->identity.service, contested->record.owner), 0);
      this->SubmitTrim(aNow, *contested, trim);
    }
  }
}

std::vector<KeyRange>
OwnershipAgent::UnheldParts(const KeyRange& aRange) const
{
  std::vector<KeyRange> unheld{ aRange };
  for (const auto& grant : this->granted) {
    unheld = Subtract(unheld, grant.range);
  }
  if (const auto& report = this->server.Report()) {
    for (const auto& held : report->grantedRanges) {
      unheld = Subtract(unheld, held.range);
    }
  }
  return unheld;
}

/** Keys of two ranges stay with the server that holds them, and go to no other
 * one. So they never have two holders, whichever of the rows is wrong. */
std::vector<KeyRange>
OwnershipAgent::UncontestedParts(const Versioned<RangeRecord>& aOwned) const
{
  std::vector<KeyRange> parts{ aOwned.record.range };
  for (const auto* other : this->view.RangesOver(aOwned.record)) {
    const auto& range = other->record.range;
    if (other->record.owner != this->self) {
      for (const auto& unheld : this->UnheldParts(range)) {
        parts = Subtract(parts, unheld);
      }
    } else if (other->version < aOwned.version) {
      parts = Subtract(parts, range); // Granted with the older range.
    }
  }
  return parts;
}

void
OwnershipAgent::GiveUpOverlaps(Time aNow)
{
  std::map<Key, Time> since;
  for (const auto* range :
       this->view.OverlappingRanges(this->identity.service)) {
    const auto& record = range->record;
    if (record.owner != this->self) {
      continue;
    }
    auto first = record.range.first;
    auto known = this->overlapsSince.find(first);
    since[first] = known == this->overlapsSince.end() ? aNow : known->second;
    bool mayHold = false;
    bool isNewest = true;
    for (const auto* other : this->view.RangesOver(record)) {
      const auto& theirs = other->record.range;
      KeyRange contested{ std::max(first, theirs.first),
                          std::min(record.range.last, theirs.last) };
      bool isOwn = other->record.owner == this->self;
      isNewest = isNewest && other->version < range->version;
      mayHold =
        mayHold || ((!isOwn || other->version > range->version) &&
                    this->UnheldParts(contested) != std::vector{ contested });
    }
    auto wait = isNewest ? kOverlapTime : 2 * kOverlapTime;
    if (!mayHold && aNow - since[first] >= wait) {
      this->SubmitTrim(aNow, *range, MakeTrimChange(this->view, *range));
    }
  }
  this->overlapsSince = std::move(since);
}

void
OwnershipAgent::SubmitTrim(Time aNow,
                           const Versioned<RangeRecord>& aRange,
                           const StoreTransaction& aChange)
{
  if (aChange.conditions.empty() || !this->queue.IsEmpty()) {
    return; // Nothing to change, or not now.
  }
  auto key = RangeKey(aRange.record.service, aRange.record.range.first);
  this->queue.Add(
    aChange,
    [this, aChange, key, owner = aRange.record.owner](
      Time aDoneAt, const TransactionResult& aResult) {
      this->ApplyResult(aDoneAt, aChange, aResult);
      if (aResult.committed) {
        this->LogEvent("overlap-removed",
                       { { "table", key.table },
                         { "part", key.part },
                         { "key", key.key },
                         { "owner", owner },
                         { "reason", "other ranges contain its keys" } });
      }
    },
    aNow + kChangeTimeout);
}

/** Takes over members of other services that have this daemon's address: their
 * processes have exited, and by now their servers' grants have expired. */
void
OwnershipAgent::TakeOverPredecessors(Time aNow)
{
  if (aNow - this->joinedAt < this->MaxGrantTime()) {
    return;
  }
  for (const auto& [id, member] : this->view.AllMembers()) {
    if (id != this->self && member.record.address == this->identity.address) {
      this->TakeOver(aNow, { id, member.version, std::nullopt }, "address");
      return;
    }
  }
}

void
OwnershipAgent::TakeOver(Time aNow,
                         const LostMember& aLost,
                         const std::string& aBasis)
{
  const auto* lost = this->view.FindMember(aLost.id);
  if (lost == nullptr || lost->version != aLost.version ||
      !this->queue.IsEmpty()) {
    return;
  }
  const auto& service = lost->record.service;
  auto targets = this->FindTargets(aNow, service, true);
  if (service == this->identity.service &&
      this->DesiredState(aNow) == MemberState::Ready) {
    targets.push_back({ this->self, this->OwnLoad(), true, Duration(0) });
  }
  targets.erase(
    std::remove_if(targets.begin(),
                   targets.end(),
                   [&](const auto& aTarget) { return aTarget.id == aLost.id; }),
    targets.end());
  bool ownsAny = false;
  for (const auto& [first, range] : this->view.RangesOf(service)) {
    ownsAny = ownsAny || range.record.owner == aLost.id;
  }
  if (ownsAny && targets.empty()) {
    return; // Nobody could serve the keys, and the member may recover.
  }
  auto change = MakeTakeoverChange(this->view, aLost, this->keys, targets);
  this->queue.Add(
    change,
    [this, change, aLost, aBasis](Time aDoneAt,
                                  const TransactionResult& aResult) {
      this->ApplyResult(aDoneAt, change, aResult);
      this->LogEvent(aResult.committed ? "took-over" : "takeover-failed",
                     { { "lost", aLost.id },
                       { "basis", aBasis },
                       { "parts", std::to_string(change.sets.size()) } });
    });
}

void
OwnershipAgent::LeaveCluster(Time)
{
  const auto* own = this->view.FindMember(this->self);
  if (this->phase != Phase::Member || own == nullptr ||
      !this->OwnedRanges().empty()) {
    return;
  }
  StoreTransaction change;
  AddCondition(
    change, MemberKey(this->identity.service, this->self), own->version);
  change.removes.push_back(MemberKey(this->identity.service, this->self));
  change.removes.push_back(LeaseKey(this->identity.service, this->self));
  this->queue.Add(change, [](Time, const TransactionResult&) {});
}

Evacuations&
OwnershipAgent::ZoneEvacuations()
{
  return this->evacuations;
}

const Evacuations&
OwnershipAgent::ZoneEvacuations() const
{
  return this->evacuations;
}

TransactionQueue&
OwnershipAgent::Transactions()
{
  return this->queue;
}

bool
OwnershipAgent::IsIdle() const
{
  return this->queue.IsEmpty();
}

bool
OwnershipAgent::HasRanges() const
{
  return !this->OwnedRanges().empty();
}

const ClusterView&
OwnershipAgent::View() const
{
  return this->view;
}

Time
OwnershipAgent::LeaseEnd() const
{
  return this->phase == Phase::Member ? this->lease.EndsAt() : Time();
}

ServingState
OwnershipAgent::ServingStateAt(Time aNow) const
{
  ServingState state;
  state.ownsKeys = this->ownsKeys;
  if (this->phase == Phase::Member) {
    state.member = this->self;
  }
  if (this->server.Report()) {
    const auto& report = *this->server.Report();
    state.server = report.incarnation;
    state.slots = report.slots;
    // Until the store is reached, its record of an announced shutdown is
    // unknown.
    bool isKnown = this->viewLoaded || this->server.IsReportCurrent();
    state.available = isKnown && !this->server.IsLost(aNow);
    state.draining = this->server.IsDraining();
    if (report.remainingWarmUp > Duration(0)) {
      state.coldUntil = this->lastHeartbeat + report.remainingWarmUp;
    }
  }
  if (this->evacuations.IsColdUntilHeartbeat(this->lastHeartbeat)) {
    state.coldUntil = Time::max();
  }
  state.evacuatedFrom = this->evacuations.SendUntil(this->ownsKeys);
  state.knowsEvacuations = this->evacuations.IsKnown();
  state.heardAt = this->lastHeartbeat;
  state.drainTime = this->settings.drainTime;
  if (state.draining) {
    state.sendUntil = this->server.DrainingSince() + this->settings.drainTime;
  }
  state.nextHeartbeat = this->lastHeartbeat + this->settings.heartbeat;
  state.leaseUntil = this->LeaseEnd();
  if (!this->ownsKeys || this->phase != Phase::Member) {
    return state;
  }
  for (const auto& move : this->finishedMoves) {
    if (aNow - move.finishedAt < kMoveRetention) {
      state.movedKeys.push_back(move.plan);
    }
  }
  for (const auto& grant : this->MakeGrants()) {
    auto covered = std::any_of(
      this->granted.begin(), this->granted.end(), [&](auto& aGrant) {
        return aGrant.range.Contains(grant.range);
      });
    state.ranges.push_back(
      { grant.range, covered ? this->grantedUntil : Time() });
  }
  return state;
}

std::vector<Event>
OwnershipAgent::TakeEvents()
{
  for (auto& event : this->evacuations.TakeEvents()) {
    this->LogEvent(std::move(event.name), std::move(event.fields));
  }
  return std::exchange(this->events, {});
}

} // namespace fescuetiller
