#include "cluster/ownershipagent.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** A server's clock may run slow by 2%; rounded up. */
constexpr double kServerDrift = 0.03;
/** A shorter grant ends before the next heartbeat and is not worth giving. */
constexpr Duration kShortestHold = milliseconds(200);
/** Lets the others' records arrive before guardians or ranges are chosen. */
constexpr Duration kGatherTime = milliseconds(1200);
/** Between attempts to join or to change the own record. */
constexpr Duration kRecordInterval = milliseconds(700);
/** Between moves for load: their effect shows in the loads only later. */
constexpr Duration kMoveInterval = milliseconds(1000);
/** Usual time from a server's release of keys to the new owner's record. */
constexpr Duration kReleaseTime = milliseconds(150);
/** A move for load is dropped if the store does not take it by then. */
constexpr Duration kMovePatience = milliseconds(400);
constexpr Duration kLeasePatience = std::chrono::seconds(2);
/** Time after which keys whose owner is no member are taken by another: longer
 * than any grant that the owner may have given. */
constexpr Duration kOrphanTime = milliseconds(4000);
/** Ranges of a member from which on adjacent ones are merged. */
constexpr size_t kMergeFrom = 16;
/** Longest time for which a process that is gone may have granted keys. */
constexpr Duration kForeignGrant = milliseconds(3300);
/** Bytes of rows in one datagram; with the rest it fits an Ethernet frame. */
constexpr size_t kDatagramBytes = 1100;
/** Bytes of a row beside its value and key. */
constexpr size_t kRowOverhead = 40;
/** Age from which on a load that was told says nothing about now. */
constexpr Duration kHeardMemory = milliseconds(3000);
/** How long a member tells where keys went; the others know by then. */
constexpr Duration kMovedMemory = milliseconds(3000);
/** Lives of a server that get fences within one epoch. */
constexpr uint64_t kLivesPerEpoch = 4096;

void
AddCondition(StoreTransaction& aTransaction,
             const StoreKey& aKey,
             RowVersion aVersion)
{
  aTransaction.conditions.push_back({ aKey, aVersion });
}

/** Ranges and their fences, for the log. */
template<typename Rows>
std::string
Describe(const Rows& aRows)
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
                    aState.serverId,
                    aState.slots,
                    aState.available,
                    aState.draining,
                    aState.sendUntil,
                    aState.nextHeartbeat,
                    aState.leaseUntil,
                    aState.ownsKeys,
                    aState.ranges,
                    aState.movedKeys);
  };
  return tie(aLeft) == tie(aRight);
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
  , watch(aSettings.times)
  , server(aSettings.heartbeat)
{
  this->self = this->newId();
}

void
OwnershipAgent::Say(std::string aName,
                    std::vector<std::pair<std::string, std::string>> aFields)
{
  aFields.emplace_back("member", this->self);
  this->events.push_back({ std::move(aName), std::move(aFields) });
}

void
OwnershipAgent::SetBounds(Duration aLongestHold, Duration aDrainTime)
{
  this->settings.longestGrant = aLongestHold;
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
  this->view.Replace(aService, aRows);
  this->viewLoaded = this->viewLoaded || aService == this->identity.service;
  this->CheckMembership(aNow);
}

void
OwnershipAgent::OnRow(Time aNow, const StoreRow& aRow)
{
  this->view.Apply(aRow);
  this->CheckMembership(aNow);
}

void
OwnershipAgent::CheckMembership(Time aNow)
{
  if (this->phase != Phase::Inside ||
      this->view.FindMember(this->self) != nullptr) {
    return;
  }
  this->Say("member-ended", { { "reason", "record removed by another" } });
  this->phase = Phase::Outside;
  this->self = this->newId();
  this->moves.clear();
  this->lease.Start({}, Time());
  this->granted.clear();
  this->nextJoinAt = aNow + kRecordInterval;
}

HeartbeatReply
OwnershipAgent::OnHeartbeat(Time aNow, const ServerReport& aReport)
{
  if (aReport.service != this->identity.service ||
      aReport.address != this->identity.server) {
    this->Say("heartbeat-refused",
              { { "server", aReport.incarnation.id },
                { "reason", "not the server beside this daemon" },
                { "address", aReport.address } });
    return {};
  }
  bool wasLeaving = this->server.Leaving();
  auto seen = this->server.OnHeartbeat(aNow, aReport);
  if (seen == ServerState::Seen::Stale) {
    return {};
  }
  this->lastHeartbeat = aNow;
  if (seen == ServerState::Seen::NewLife) {
    this->granted.clear();
    this->Say("server-started",
              { { "server", aReport.incarnation.id },
                { "born", std::to_string(aReport.incarnation.startedAt) },
                { "slots", std::to_string(aReport.slots) } });
  }
  if (this->server.Leaving() && !wasLeaving) {
    this->Say("server-leaving", { { "server", aReport.incarnation.id } });
  }
  if (!this->ownsKeys || this->phase != Phase::Inside) {
    return {};
  }
  this->DropStaleMoves(aNow);
  this->PlanMoves(aNow); // The answer leaves keys out that are to move.
  // Never longer than the promise, also without guardians: those who are named
  // next agree to a takeover that long after they were named.
  auto until = std::min(
    this->lease.EndsAt(),
    aNow + std::min(this->settings.longestGrant, this->settings.times.promise));
  auto left = std::max(until - aNow, Duration(0));
  auto hold = std::chrono::duration_cast<Duration>(left * (1 - kServerDrift)) -
              milliseconds(10);
  if (hold < kShortestHold) {
    return {};
  }
  HeartbeatReply reply;
  reply.grants = Grants{ this->GrantList(), hold };
  if (!(this->granted == reply.grants->ranges)) {
    this->Say("grants-changed",
              { { "server", aReport.incarnation.id },
                { "grants", Describe(reply.grants->ranges) },
                { "held", Describe(aReport.grantedRanges) },
                { "hold_ms", std::to_string(ToMilliseconds(hold)) },
                { "heartbeat", std::to_string(aReport.sequence) } });
  }
  this->granted = reply.grants->ranges;
  this->grantedUntil = aNow + hold;
  this->server.Granted(
    this->granted,
    aNow + std::chrono::duration_cast<Duration>(hold * (1 + kServerDrift)));
  return reply;
}

std::vector<Grant>
OwnershipAgent::GrantList() const
{
  std::vector<Grant> grants;
  for (const auto* owned : this->Owned()) {
    std::vector<KeyRange> parts{ owned->record.range };
    for (const auto& move : this->moves) {
      parts = Subtract(parts, move.plan.range);
    }
    for (const auto& part : parts) {
      grants.push_back({ part,
                         owned->record.epoch * kLivesPerEpoch +
                           this->server.LifeNumber() % kLivesPerEpoch,
                         owned->record.handover });
    }
  }
  return grants;
}

void
OwnershipAgent::OnServerDeregistered(Time aNow, const std::string& aServerId)
{
  bool wasLeaving = this->server.Leaving();
  this->server.OnServerDeregistered(aNow, aServerId);
  if (this->server.Leaving() && !wasLeaving) {
    this->Say("server-leaving", { { "server", aServerId } });
  }
}

void
OwnershipAgent::OnConnectionRefused(Time aNow)
{
  if (!this->server.Lost(aNow)) {
    this->Say("server-lost", { { "reason", "connection refused" } });
  }
  this->server.OnConnectionRefused(aNow);
}

std::vector<OutgoingMessage>
OwnershipAgent::OnPeerMessage(Time aNow, const PeerMessage& aMessage)
{
  if (aMessage.to != this->self) {
    return {};
  }
  using Kind = PeerMessage::Kind;
  auto reply = [&](Kind aKind) {
    return this->Beacon(aNow,
                        aKind,
                        aMessage.from,
                        aMessage.member,
                        aMessage.version,
                        aMessage.sentAt);
  };
  if (aMessage.kind == Kind::Renew || aMessage.kind == Kind::Acknowledge) {
    this->heard[aMessage.from] = {
      { aMessage.load, aNow + aMessage.untilHeartbeat }, aNow
    };
  }
  switch (aMessage.kind) {
    case Kind::Rows:
      for (const auto& row : aMessage.rows) {
        this->OnRow(aNow, row);
      }
      break;
    case Kind::Renew:
      // A member whose record may be gone must promise nothing more.
      if (this->LeaseEnd() > aNow &&
          this->watch.OnRenewal(aNow, aMessage.from)) {
        return { { "", reply(Kind::Acknowledge) } };
      }
      break;
    case Kind::Acknowledge:
      this->lease.Acknowledged(aMessage.from,
                               FromBootNanoseconds(aMessage.sentAt));
      break;
    case Kind::RequestConsent:
      if (this->watch.OnConsentRequest(
            aNow, aMessage.member, aMessage.version)) {
        return { { "", reply(Kind::Consent) } };
      }
      break;
    case Kind::Probe:
      return { { "", reply(Kind::ProbeReply) } };
    case Kind::ProbeReply:
      this->probe.OnReply(aMessage.from);
      break;
    case Kind::Consent:
      this->watch.OnConsent(aMessage.member, aMessage.from, aMessage.version);
      break;
  }
  return {};
}

void
OwnershipAgent::OnLongLeaseRead(Time aNow,
                                const MemberId& aMember,
                                RowVersion aVersion)
{
  this->watch.OnLongLeaseRead(aNow, aMember, aVersion);
}

void
OwnershipAgent::SetStoreReachable(bool aReachable)
{
  this->storeReachable = aReachable;
}

bool
OwnershipAgent::StoreReachable() const
{
  return this->storeReachable && this->queue.IsStoreResponding();
}

void
OwnershipAgent::SetLoads(std::vector<KeyWeight> aKeys,
                         std::map<MemberId, PeerLoad> aLoads)
{
  this->keys = std::move(aKeys);
  this->loads = std::move(aLoads);
}

OwnershipAgent::Output
OwnershipAgent::Tick(Time aNow)
{
  Output output;
  output.messages = std::exchange(this->pendingBeacons, {});
  if (this->phase == Phase::Outside) {
    this->Join(aNow);
  }
  if (this->phase == Phase::Inside) {
    this->UpdateMember(aNow);
    this->SendRenewals(aNow, output);
    this->SendProbes(aNow, output);
    this->RenewLongLease(aNow);
    if (this->ownsKeys) {
      this->CreateRanges(aNow);
      this->DropStaleMoves(aNow);
      this->PlanMoves(aNow);
      this->WriteMoves(aNow);
      this->MergeRanges(aNow);
      this->TakeOrphans(aNow);
    }
  }
  auto findings =
    this->watch.Tick(aNow, this->view, this->self, this->probe.Silent(aNow));
  output.messages.insert(
    output.messages.end(), findings.messages.begin(), findings.messages.end());
  output.leaseReads = findings.leaseReads;
  if (this->phase == Phase::Inside) {
    for (const auto& lost : findings.lost) {
      this->TakeOver(aNow, lost, lost.leaseVersion ? "long-lease" : "consent");
    }
    this->TakeOverPredecessors(aNow);
  }
  return output;
}

void
OwnershipAgent::Join(Time aNow)
{
  if (!this->viewLoaded || !this->queue.Empty() || aNow < this->nextJoinAt ||
      !this->server.Usable(aNow)) {
    return;
  }
  MemberRecord record{ this->self,
                       this->identity.service,
                       this->identity.zone,
                       this->identity.address,
                       this->identity.udpAddress,
                       this->DesiredState(aNow),
                       this->ChooseGuardians(aNow) };
  auto change = JoinChange(this->view, record);
  this->phase = Phase::Joining;
  this->nextJoinAt = aNow + kRecordInterval;
  this->queue.Add(
    change,
    [this, change, record, aNow](Time aDoneAt, const TransactionResult& aDone) {
      this->ApplySettled(aDoneAt, change, aDone);
      this->OnJoined(aDoneAt, aDone, record, aNow);
    });
}

void
OwnershipAgent::OnJoined(Time aNow,
                         const TransactionResult& aResult,
                         const MemberRecord& aRecord,
                         Time aSentAt)
{
  if (!aResult.committed) {
    this->Say("join-failed", { { "reason", "rows changed meanwhile" } });
    this->phase = Phase::Outside;
    return;
  }
  this->phase = Phase::Inside;
  this->joinedAt = aNow;
  this->longLeaseVersion = aResult.version;
  this->nextLongRenewAt = aNow + this->settings.times.longRenewInterval;
  this->nextMemberChangeAt = aNow + kGatherTime;
  this->guardianSince.clear();
  this->lease.Start(aRecord.guardians, aSentAt);
  this->Say("joined",
            { { "guardians", std::to_string(aRecord.guardians.size()) },
              { "ranges", std::to_string(this->Owned().size()) } });
}

void
OwnershipAgent::ApplySettled(Time aNow,
                             const StoreTransaction& aTransaction,
                             const TransactionResult& aResult)
{
  if (!aResult.committed) {
    for (const auto& row : aResult.current) {
      this->view.Apply(row);
    }
    this->CheckMembership(aNow);
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
  this->Spread(changed);
}

/** Whether operators want this member to own nothing. */
bool
OwnershipAgent::Drained() const
{
  return this->view.IsDrained(this->identity.service, this->identity.address);
}

bool
OwnershipAgent::MayOwnKeys(Time aNow) const
{
  return this->server.Usable(aNow) && !this->Drained();
}

/** Makes a change that nothing waits for; it is dropped if the store does not
 * take it soon. */
void
OwnershipAgent::Submit(Time aNow, const StoreTransaction& aChange)
{
  this->queue.Add(
    aChange,
    [this, aChange](Time aDoneAt, const TransactionResult& aDone) {
      this->ApplySettled(aDoneAt, aChange, aDone);
    },
    aNow + kMovePatience);
}

MemberState
OwnershipAgent::DesiredState(Time aNow) const
{
  if (this->server.Leaving() || this->Drained()) {
    return MemberState::Draining;
  }
  return this->server.Lost(aNow) ? MemberState::Down : MemberState::Ready;
}

bool
OwnershipAgent::IsSilent(Time aNow, const MemberId& aGuardian) const
{
  auto since = this->guardianSince.find(aGuardian);
  if (since == this->guardianSince.end()) {
    return false;
  }
  auto heard = this->lease.LastAcknowledged(aGuardian).value_or(Time());
  return aNow - std::max(heard, since->second) >
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
  std::vector<Candidate> candidates;
  for (const auto& [id, member] : this->view.AllMembers()) {
    if (id == this->self ||
        member.record.udpAddress == this->identity.udpAddress ||
        this->IsSilent(aNow, id)) {
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
  // First one of each zone, so that the loss of a zone silences few.
  for (bool anyZone : { false, true }) {
    for (const auto& candidate : candidates) {
      const auto& record = *candidate.record;
      bool taken = std::count(chosen.begin(), chosen.end(), record.id) > 0;
      if (!taken && chosen.size() < this->settings.times.guardians &&
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
  if (own == nullptr || !this->queue.Empty()) {
    return;
  }
  auto record = own->record;
  record.state = this->DesiredState(aNow);
  bool urgent = record.state != own->record.state;
  if (aNow >= this->nextMemberChangeAt) {
    bool wrong = own->record.guardians.size() < this->settings.times.guardians;
    for (const auto& guardian : own->record.guardians) {
      wrong = wrong || this->IsSilent(aNow, guardian) ||
              this->view.FindMember(guardian) == nullptr;
    }
    if (wrong) {
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
  this->nextMemberChangeAt = aNow + kRecordInterval;
  this->lease.BeginChange(aRecord.guardians, aNow);
  this->queue.Add(
    change,
    [this, change, aRecord, before = own->record](
      Time aDoneAt, const TransactionResult& aDone) {
      this->lease.EndChange(aDone.committed);
      this->ApplySettled(aDoneAt, change, aDone);
      if (aDone.committed) {
        this->Say(
          "member-changed",
          { { "state", ToString(aRecord.state) },
            { "before", ToString(before.state) },
            { "guardians", std::to_string(aRecord.guardians.size()) } });
      }
    },
    aNow + kMovePatience);
}

void
OwnershipAgent::RenewLongLease(Time aNow)
{
  const auto* own = this->view.FindMember(this->self);
  if (aNow < this->nextLongRenewAt || own == nullptr || !this->queue.Empty()) {
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
    [this, key, change, aNow](Time aDoneAt, const TransactionResult& aDone) {
      if (aDone.committed) {
        this->longLeaseVersion = aDone.version;
        this->lease.LongLeaseRenewed(aNow);
        return;
      }
      for (const auto& row : aDone.current) {
        if (row.key == key) {
          this->longLeaseVersion = row.version;
        }
      }
      this->ApplySettled(aDoneAt, change, aDone);
      this->nextLongRenewAt = aDoneAt + kRecordInterval;
    },
    aNow + kLeasePatience);
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
      aOutput.messages.push_back({ member->record.udpAddress,
                                   this->Beacon(aNow,
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
    PeerMessage question;
    question.kind = PeerMessage::Kind::Probe;
    question.from = this->self;
    question.to = id;
    aOutput.messages.push_back(
      { this->view.FindMember(id)->record.udpAddress, std::move(question) });
  }
}

/** A lease message with what this member says of itself. */
PeerMessage
OwnershipAgent::Beacon(Time aNow,
                       PeerMessage::Kind aKind,
                       const MemberId& aTo,
                       const MemberId& aWard,
                       RowVersion aVersion,
                       int64_t aSentAt) const
{
  PeerMessage message;
  message.kind = aKind;
  message.from = this->self;
  message.to = aTo;
  message.member = aWard;
  message.version = aVersion;
  message.sentAt = aSentAt;
  message.load = WorkOf(this->OwnedKeyRanges(), this->keys);
  message.untilHeartbeat =
    this->lastHeartbeat + this->settings.heartbeat - aNow;
  return message;
}

OwnershipAgent::OwnedRanges
OwnershipAgent::Owned() const
{
  OwnedRanges owned;
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
  for (const auto* owned : this->Owned()) {
    ranges.push_back(owned->record.range);
  }
  return ranges;
}

/** Time until keys that are let go now can be granted by a member: its next
 * heartbeat after they are free. */
Duration
OwnershipAgent::UntilHeartbeat(Time aNow, const PeerLoad& aPeer) const
{
  auto period = this->settings.heartbeat;
  auto until = (aPeer.nextHeartbeat - aNow - kReleaseTime) % period;
  return until < Duration(0) ? until + period : until;
}

/** What a member said lately, with an answer or with a lease message. */
std::optional<PeerLoad>
OwnershipAgent::LoadOf(Time aNow, const MemberId& aMember) const
{
  auto answered = this->loads.find(aMember);
  if (answered != this->loads.end()) {
    return answered->second;
  }
  auto told = this->heard.find(aMember);
  if (told != this->heard.end() && aNow - told->second.at < kHeardMemory) {
    return told->second.load;
  }
  return std::nullopt;
}

std::vector<MemberLoad>
OwnershipAgent::Targets(Time aNow,
                        const std::string& aService,
                        bool aWithUnknown) const
{
  std::map<MemberId, size_t> counts;
  for (const auto& [first, range] : this->view.RangesOf(aService)) {
    ++counts[range.record.owner];
  }
  std::vector<MemberLoad> targets;
  for (const auto* member : this->view.MembersOf(aService)) {
    auto load = this->LoadOf(aNow, member->id);
    // Nothing is known of a member: it is new, or cannot be judged.
    bool unknown = !load && counts[member->id] > 0;
    if (member->id == this->self || member->state != MemberState::Ready ||
        counts[member->id] >= this->settings.rebalancing.mostRanges ||
        (unknown && !aWithUnknown)) {
      continue;
    }
    targets.push_back(
      { member->id,
        load ? load->load : 0,
        counts[member->id] > 0,
        load ? this->UntilHeartbeat(aNow, *load) : Duration(0) });
  }
  return targets;
}

void
OwnershipAgent::CreateRanges(Time aNow)
{
  const auto& service = this->identity.service;
  if (!this->view.RangesOf(service).empty() || !this->queue.Empty()) {
    return;
  }
  std::vector<MemberId> ready;
  for (const auto* member : this->view.MembersOf(service)) {
    if (member->state == MemberState::Ready) {
      ready.push_back(member->id);
    }
  }
  if (ready.size() != this->gatheredMembers) {
    this->gatheredMembers = ready.size();
    this->gatheredAt = aNow;
  }
  auto place = std::find(ready.begin(), ready.end(), this->self);
  auto rank = static_cast<int>(place - ready.begin());
  if (place == ready.end() ||
      aNow < this->gatheredAt + kGatherTime + rank * kGatherTime) {
    return;
  }
  auto change = FirstRangesChange(service, ready);
  this->Say("ranges-created", { { "members", std::to_string(ready.size()) } });
  this->Submit(aNow, change);
}

void
OwnershipAgent::DropStaleMoves(Time aNow)
{
  bool usable = this->MayOwnKeys(aNow);
  auto owned = this->OwnedKeyRanges();
  auto stale = [&](const Move& aMove) {
    const auto* target = this->view.FindMember(aMove.plan.target);
    bool ours =
      std::any_of(owned.begin(), owned.end(), [&](const auto& aRange) {
        return aRange.Contains(aMove.plan.range);
      });
    return !aMove.writing &&
           (target == nullptr || target->record.state != MemberState::Ready ||
            !ours || (aMove.forced && usable));
  };
  this->moves.erase(
    std::remove_if(this->moves.begin(), this->moves.end(), stale),
    this->moves.end());
  while (!this->moved.empty() && aNow - this->moved.front().at > kMovedMemory) {
    this->moved.pop_front();
  }
}

void
OwnershipAgent::PlanMoves(Time aNow)
{
  if (!this->MayOwnKeys(aNow)) {
    this->Evacuate(aNow);
    return;
  }
  // Only right at a heartbeat, whose answer lets the keys go.
  if (aNow != this->lastHeartbeat || !this->moves.empty() ||
      aNow < this->nextMoveAt || !this->StoreReachable() ||
      !this->queue.Empty()) {
    return;
  }
  auto owned = this->OwnedKeyRanges();
  auto plans =
    ::fescuetiller::PlanMoves(owned,
                              this->keys,
                              this->Targets(aNow, this->identity.service, true),
                              this->settings.rebalancing,
                              this->random);
  for (const auto& plan : plans) {
    this->nextMoveAt = aNow + kMoveInterval;
    this->moves.push_back({ plan, false, false });
    this->Say(
      "move-planned",
      { { "keys", ToString(plan.range) },
        { "target", plan.target },
        { "load", std::to_string(WorkOf(owned, this->keys)) },
        { "moved_load", std::to_string(WorkOf({ plan.range }, this->keys)) },
        { "target_load",
          std::to_string(
            this->LoadOf(aNow, plan.target).value_or(PeerLoad()).load) } });
  }
}

void
OwnershipAgent::Evacuate(Time aNow)
{
  // Keys that are let go while the store is away are served by nobody.
  if (!this->server.Lost(aNow) && !this->StoreReachable()) {
    return;
  }
  if (std::any_of(
        this->moves.begin(), this->moves.end(), [](const auto& aMove) {
          return aMove.forced || aMove.writing;
        })) {
    return;
  }
  this->moves.clear();
  auto plans = Distribute(this->OwnedKeyRanges(),
                          this->keys,
                          this->Targets(aNow, this->identity.service, true),
                          kMostParts);
  for (const auto& plan : plans) {
    this->moves.push_back({ plan, true, false });
  }
  if (!plans.empty()) {
    this->Say("evacuating", { { "parts", std::to_string(plans.size()) } });
  }
}

void
OwnershipAgent::WriteMoves(Time aNow)
{
  if (!this->queue.Empty()) {
    return;
  }
  std::vector<Move> ready;
  bool forced = false;
  for (auto& move : this->moves) {
    if (ready.size() < kMostParts && !move.writing &&
        this->server.IsFree(aNow, move.plan.range)) {
      move.writing = true;
      forced = forced || move.forced;
      ready.push_back(move);
    }
  }
  if (ready.empty()) {
    return;
  }
  std::vector<KeyHandover> handed;
  handed.reserve(ready.size());
  for (const auto& move : ready) {
    handed.push_back({ move.plan, this->server.HandoverOf(move.plan.range) });
  }
  auto change =
    MoveChange(this->view, this->identity.service, this->self, handed);
  const auto& report = this->server.Report();
  for (const auto& move : ready) {
    this->Say(
      "keys-free",
      { { "keys", ToString(move.plan.range) },
        { "target", move.plan.target },
        { "held", report ? Describe(report->grantedRanges) : "" },
        { "heartbeat", report ? std::to_string(report->sequence) : "" } });
  }
  this->queue.Add(
    change,
    [this, change, ready](Time aDoneAt, const TransactionResult& aDone) {
      this->ApplySettled(aDoneAt, change, aDone);
      this->moves.erase(
        std::remove_if(this->moves.begin(),
                       this->moves.end(),
                       [](const Move& aMove) { return aMove.writing; }),
        this->moves.end());
      for (const auto& move : ready) {
        if (aDone.committed) {
          this->moved.push_back({ move.plan, aDoneAt });
        }
        this->Say(aDone.committed ? "keys-moved" : "move-failed",
                  { { "keys", ToString(move.plan.range) },
                    { "target", move.plan.target } });
      }
    },
    forced ? Time::max() : aNow + kMovePatience);
}

/** Tells all members what changed, so that they need not ask the store. */
void
OwnershipAgent::Spread(const std::vector<StoreRow>& aRows)
{
  std::vector<std::vector<StoreRow>> datagrams(1);
  size_t bytes = 0;
  for (const auto& row : aRows) {
    if (row.key.table != kClusterTable) {
      continue;
    }
    bytes += row.value.size() + row.key.key.size() + kRowOverhead;
    if (bytes > kDatagramBytes && !datagrams.back().empty()) {
      datagrams.emplace_back();
      bytes = 0;
    }
    datagrams.back().push_back(row);
  }
  for (const auto& [id, member] : this->view.AllMembers()) {
    for (const auto& rows : datagrams) {
      if (id != this->self && !rows.empty()) {
        PeerMessage message;
        message.kind = PeerMessage::Kind::Rows;
        message.from = this->self;
        message.to = id;
        message.rows = rows;
        this->pendingBeacons.push_back(
          { member.record.udpAddress, std::move(message) });
      }
    }
  }
}

void
OwnershipAgent::MergeRanges(Time aNow)
{
  auto owned = this->Owned();
  if (owned.size() < kMergeFrom || !this->moves.empty() ||
      !this->queue.Empty()) {
    return;
  }
  auto change = MergeChange(this->view, this->identity.service, this->self);
  if (change.sets.empty()) {
    return;
  }
  this->Submit(aNow, change);
}

void
OwnershipAgent::TakeOrphans(Time aNow)
{
  std::map<Key, Time> still;
  std::set<MemberId> absent;
  StoreTransaction change;
  for (const auto& [first, range] :
       this->view.RangesOf(this->identity.service)) {
    if (this->view.FindMember(range.record.owner) != nullptr) {
      continue;
    }
    auto known = this->orphans.find(first);
    still[first] = known == this->orphans.end() ? aNow : known->second;
    if (aNow - still[first] > kOrphanTime && change.sets.size() < kMostTaken) {
      AddAdoption(change, range, this->self);
      absent.insert(range.record.owner);
    }
  }
  this->orphans = std::move(still);
  // The owner may be a member whose row has not come here yet.
  for (const auto& owner : absent) {
    AddCondition(change, MemberKey(this->identity.service, owner), 0);
  }
  if (change.sets.empty() || !this->queue.Empty() ||
      this->DesiredState(aNow) != MemberState::Ready) {
    return;
  }
  this->Say("orphans-taken",
            { { "ranges", std::to_string(change.sets.size()) } });
  this->Submit(aNow, change);
}

/** Ends members of other services that had this daemon's address: their
 * processes are gone, and so are their servers' grants after a while. */
void
OwnershipAgent::TakeOverPredecessors(Time aNow)
{
  if (aNow - this->joinedAt < kForeignGrant) {
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
      !this->queue.Empty()) {
    return;
  }
  const auto& service = lost->record.service;
  auto targets = this->Targets(aNow, service, true);
  if (service == this->identity.service &&
      this->DesiredState(aNow) == MemberState::Ready) {
    targets.push_back({ this->self,
                        WorkOf(this->OwnedKeyRanges(), this->keys),
                        true,
                        Duration(0) });
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
    return; // Nobody could serve the keys; the member may come back.
  }
  auto change = TakeoverChange(this->view, aLost, this->keys, targets);
  this->queue.Add(
    change,
    [this, change, aLost, aBasis](Time aDoneAt,
                                  const TransactionResult& aDone) {
      this->ApplySettled(aDoneAt, change, aDone);
      this->Say(aDone.committed ? "took-over" : "takeover-failed",
                { { "lost", aLost.id },
                  { "basis", aBasis },
                  { "parts", std::to_string(change.sets.size()) } });
    });
}

void
OwnershipAgent::LeaveCluster(Time)
{
  const auto* own = this->view.FindMember(this->self);
  if (this->phase != Phase::Inside || own == nullptr ||
      !this->Owned().empty()) {
    return;
  }
  StoreTransaction change;
  AddCondition(
    change, MemberKey(this->identity.service, this->self), own->version);
  change.removes.push_back(MemberKey(this->identity.service, this->self));
  change.removes.push_back(LeaseKey(this->identity.service, this->self));
  this->queue.Add(change, [](Time, const TransactionResult&) {});
}

TransactionQueue&
OwnershipAgent::Transactions()
{
  return this->queue;
}

bool
OwnershipAgent::IsIdle() const
{
  return this->queue.Empty();
}

const ClusterView&
OwnershipAgent::View() const
{
  return this->view;
}

Time
OwnershipAgent::LeaseEnd() const
{
  return this->phase == Phase::Inside ? this->lease.EndsAt() : Time();
}

ServingState
OwnershipAgent::ServingStateAt(Time aNow) const
{
  ServingState state;
  state.ownsKeys = this->ownsKeys;
  if (this->phase == Phase::Inside) {
    state.member = this->self;
  }
  if (this->server.Report()) {
    const auto& report = *this->server.Report();
    state.serverId = report.incarnation.id;
    state.slots = report.slots;
    state.available = !this->server.Lost(aNow);
    state.draining = this->server.Leaving();
  }
  if (state.draining) {
    state.sendUntil = this->server.LeavingSince() + this->settings.drainTime;
  }
  state.nextHeartbeat = this->lastHeartbeat + this->settings.heartbeat;
  state.leaseUntil = this->LeaseEnd();
  if (!this->ownsKeys || this->phase != Phase::Inside) {
    return state;
  }
  for (const auto& move : this->moved) {
    if (aNow - move.at < kMovedMemory) {
      state.movedKeys.push_back(move.plan);
    }
  }
  for (const auto& grant : this->GrantList()) {
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
  return std::exchange(this->events, {});
}

} // namespace fescuetiller
