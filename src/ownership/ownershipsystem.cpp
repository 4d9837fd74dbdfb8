#include "ownership/ownershipsystem.h"

#include <algorithm>
#include <tuple>

namespace fescuetiller {

namespace {

template<typename Key>
double
LoadOf(const std::map<Key, double>& aLoads, const Key& aKey)
{
  auto found = aLoads.find(aKey);
  return found == aLoads.end() ? 0 : found->second;
}

} // namespace

bool
operator==(const OwnedPartition& aLeft, const OwnedPartition& aRight)
{
  return std::tie(aLeft.partition, aLeft.epoch, aLeft.admitting) ==
         std::tie(aRight.partition, aRight.epoch, aRight.admitting);
}

bool
operator==(const Serving& aLeft, const Serving& aRight)
{
  return std::tie(aLeft.incarnation, aLeft.leaseUntil, aLeft.partitions) ==
         std::tie(aRight.incarnation, aRight.leaseUntil, aRight.partitions);
}

OwnershipSystem::OwnershipSystem(OwnershipSettings aSettings,
                                 PlacementPolicy aPlacement,
                                 DrawIncarnation aDraw)
  : settings(std::move(aSettings))
  , placement(std::move(aPlacement))
  , draw(std::move(aDraw))
  , transactions(settings.lease.retryInterval)
  , holder(settings.lease, kNoIncarnation)
  , grantor(settings.lease, kNoIncarnation)
  , watch(settings.lease, self)
{
  this->Restart();
}

std::vector<Output>
OwnershipSystem::Tick(Time aNow, const std::vector<Input>& aInputs)
{
  this->NoticePause(aNow);
  for (const auto& input : aInputs) {
    std::visit([&](const auto& aMessage) { this->Accept(aNow, aMessage); },
               input);
  }
  this->grantor.Follow(aNow, this->table);
  this->watch.Follow(aNow, this->table);
  this->Join(aNow);
  this->KeepLease(aNow);
  this->history.Follow(aNow, this->table);
  this->TakeOverLost(aNow);
  this->Plan(aNow);
  this->FinishLapsedMoves(aNow);
  this->EndWhenEmpty(aNow);
  this->transactions.Tick(aNow, this->outputs);
  return std::exchange(this->outputs, {});
}

void
OwnershipSystem::Restart()
{
  this->self = Member();
  this->self.incarnation = this->draw();
  this->self.name = this->settings.name;
  this->self.zone = this->settings.zone;
  this->self.controlAddress = this->settings.controlAddress;
  this->self.peerAddress = this->settings.peerAddress;
  this->self.callerAddress = this->settings.callerAddress;
  this->self.operatorAddress = this->settings.operatorAddress;
  this->holder = LeaseHolder(this->settings.lease, this->self.incarnation);
  this->grantor = LeaseGrantor(this->settings.lease, this->self.incarnation);
  this->transactions = TransactionQueue(this->settings.lease.retryInterval);
  this->watch = LostMemberWatch(this->settings.lease, this->self);
  this->moves.Clear();
  this->selfWritePending = false;
  this->claimPending = false;
  this->phase = Phase::NoBackend;
}

void
OwnershipSystem::NoticePause(Time aNow)
{
  if (aNow - this->lastTick > this->settings.lease.renewInterval) {
    this->grantor.Resumed(aNow);
    this->watch.Reset();
  }
  this->lastTick = aNow;
}

void
OwnershipSystem::Accept(Time aNow, const Renewal& aRenewal)
{
  bool granted = this->grantor.Renew(aNow, aRenewal, this->LeaseValid(aNow)) &&
                 this->phase == Phase::Active;
  const Member* ward = this->table.FindMember(aRenewal.holder);
  if (!granted || ward == nullptr) {
    return;
  }
  RenewalAck ack{ aRenewal.holder, aRenewal.grantor, aRenewal.sequence };
  this->outputs.push_back(SendAck{ ward->controlAddress, ack });
}

void
OwnershipSystem::Accept(Time aNow, const RenewalAck& aAck)
{
  this->holder.Acknowledged(aNow, aAck);
}

void
OwnershipSystem::Accept(Time aNow, const TransactionAnswer& aAnswer)
{
  this->transactions.Answer(aNow, aAnswer);
}

void
OwnershipSystem::Accept(Time /*aNow*/, const RowsLearned& aRows)
{
  this->Learn(aRows.rows);
}

void
OwnershipSystem::Accept(Time /*aNow*/, const BackendAnnounced& aBackend)
{
  this->backend.Announced(aBackend);
}

void
OwnershipSystem::Accept(Time aNow, const BackendLost& aLost)
{
  this->backend.Lost(aNow, aLost, this->holder.ValidUntil());
}

void
OwnershipSystem::Accept(Time aNow, const BackendReturned& /*aReturned*/)
{
  this->backend.Returned(aNow);
}

void
OwnershipSystem::Accept(Time aNow, const StoreReachable& aStore)
{
  this->storeReachable = aStore.reachable;
  this->watch.Reset();
  if (aStore.reachable) {
    return;
  }
  // Nothing that waits for the store may stop what is served.
  this->moves.CancelWaiting();
  for (const auto& writeId : this->moves.Writing()) {
    this->transactions.Withdraw(aNow, writeId);
  }
  if (this->selfWritePending && this->phase != Phase::Joining) {
    this->transactions.Withdraw(aNow, this->selfWriteId);
  }
}

void
OwnershipSystem::Accept(Time /*aNow*/, const PartitionIdle& aIdle)
{
  for (const auto& move : this->moves.Waiting()) {
    if (move.partition == aIdle.partition) {
      this->FinishMove(move);
    }
  }
}

void
OwnershipSystem::Accept(Time /*aNow*/, const DrainRequested& aRequest)
{
  bool wasDraining = this->Draining();
  if (aRequest.drain) {
    this->drainSources.insert(aRequest.source);
  } else {
    this->drainSources.erase(aRequest.source);
  }
  if (wasDraining && !this->Draining()) {
    this->moves.CancelWaiting();
  }
}

bool
OwnershipSystem::Draining() const
{
  return !this->drainSources.empty();
}

void
OwnershipSystem::Accept(Time /*aNow*/, const MemberDeclaredLost& aLost)
{
  this->watch.Declare(aLost.member);
}

void
OwnershipSystem::Accept(Time /*aNow*/, const StopRequested& /*aRequest*/)
{
  this->stopping = true;
}

void
OwnershipSystem::Accept(Time /*aNow*/, const LoadMeasured& aLoad)
{
  this->partitionLoads = aLoad.partitions;
  double total = 0;
  for (const auto& [partition, load] : aLoad.partitions) {
    total += load;
  }
  this->serverLoads[this->self.incarnation] = total;
}

void
OwnershipSystem::Accept(Time /*aNow*/, const PeerLoadsLearned& aLoads)
{
  for (const auto& [incarnation, load] : aLoads.servers) {
    this->serverLoads[incarnation] = load;
  }
}

void
OwnershipSystem::Learn(const std::vector<Row>& aRows)
{
  for (const auto& row : aRows) {
    this->table.Apply(row);
  }
  const Member* known = this->table.FindMember(this->self.incarnation);
  bool ended = known != nullptr && known->state == MemberState::Ended;
  if (!ended || this->phase == Phase::Ended) {
    return;
  }
  if (this->phase == Phase::Ending) {
    this->phase = Phase::Ended;
    return;
  }
  ++this->counters.incarnationsEnded;
  this->Restart();
}

bool
OwnershipSystem::LeaseValid(Time aNow) const
{
  return aNow < this->holder.ValidUntil();
}

bool
OwnershipSystem::WantsPartitions(Time aNow) const
{
  return this->backend.Accepts(aNow) && !this->Leaves();
}

bool
OwnershipSystem::Leaves() const
{
  return this->Draining() || this->stopping;
}

std::string
OwnershipSystem::NextWriteId()
{
  return ToHex(this->self.incarnation) + "-" +
         std::to_string(++this->writeCounter);
}

void
OwnershipSystem::Join(Time aNow)
{
  if (this->phase != Phase::NoBackend || !this->WantsPartitions(aNow)) {
    return;
  }
  const BackendAnnounced& announced = *this->backend.Backend();
  this->self.service = announced.service;
  this->self.slots = announced.slots;
  this->self.connections = announced.connections;
  this->self.checksGrant = announced.checksGrant;
  this->self.state = MemberState::Active;
  this->phase = Phase::Joining;
  Member joining = this->self;
  joining.grantor = ChooseGrantor(this->self, this->table, {});
  this->WriteSelf(aNow, joining);
}

void
OwnershipSystem::WriteSelf(Time aNow, Member aMember)
{
  aMember.version = this->self.version;
  aMember.writeId = this->NextWriteId();
  this->selfWritePending = true;
  this->selfWriteId = aMember.writeId;
  if (aMember.grantor != this->holder.Grantor()) {
    this->holder.ProposeGrantor(aNow);
  }
  this->transactions.Submit(
    aMember.writeId,
    WriteMemberChange(aMember),
    [this, aNow, aMember](Time aAt, const TransactionResult& aResult) {
      this->selfWritePending = false;
      this->SelfWritten(aAt, aNow, aMember, aResult);
    });
}

void
OwnershipSystem::SelfWritten(Time aNow,
                             Time aSentAt,
                             const Member& aMember,
                             const TransactionResult& aResult)
{
  if (!aResult.committed) {
    this->SelfNotWritten(aResult);
    return;
  }
  bool newGrantor = aMember.grantor != this->holder.Grantor();
  this->self = aMember;
  this->self.version = aResult.revision;
  this->table.Apply(ToRow(this->self));
  this->holder.RecordWritten(aSentAt);
  if (newGrantor) {
    this->holder.SetGrantor(aNow, aMember.grantor);
    this->Push(aMember.grantor, { ToRow(this->self) });
  }
  if (this->phase == Phase::Joining) {
    this->phase = Phase::Active;
  }
  if (this->phase == Phase::Ending) {
    this->phase = Phase::Ended;
  }
}

void
OwnershipSystem::SelfNotWritten(const TransactionResult& aResult)
{
  this->holder.WithdrawProposal();
  this->Learn(aResult.conflicts);
  if (this->phase == Phase::Ending) {
    this->phase = Phase::Active;
  }
  if (this->phase == Phase::Joining) {
    this->phase = Phase::NoBackend;
  }
}

bool
OwnershipSystem::GrantorUsable(Time aNow) const
{
  const Member* peer = this->table.FindMember(this->holder.Grantor());
  bool lives = peer != nullptr && peer->state != MemberState::Ended;
  return lives && !this->holder.GrantorSilent(aNow);
}

bool
OwnershipSystem::MayImproveGrantor(Time aNow)
{
  bool due = aNow >= this->nextGrantorCheck && this->storeReachable;
  if (!due) {
    return false;
  }
  this->nextGrantorCheck = aNow + this->settings.grantorCheckInterval;
  return HasPoorGrantor(this->self, this->table);
}

void
OwnershipSystem::KeepLease(Time aNow)
{
  if (this->phase != Phase::Active && this->phase != Phase::Ending) {
    return;
  }
  const Member* peer = this->table.FindMember(this->holder.Grantor());
  if (peer != nullptr && peer->state != MemberState::Ended) {
    this->holder.Tick(aNow, peer->controlAddress, this->outputs);
  }
  if (this->selfWritePending || this->phase != Phase::Active) {
    return;
  }
  if (this->GrantorUsable(aNow)) {
    this->silentGrantors.clear();
    if (this->MayImproveGrantor(aNow)) {
      this->NameGrantor(aNow, ChooseGrantor(this->self, this->table, {}));
    }
    return;
  }
  bool hasGrantor = this->holder.Grantor() != kNoIncarnation;
  if (hasGrantor && !this->storeReachable) {
    return;
  }
  if (hasGrantor) {
    this->silentGrantors.insert(this->holder.Grantor());
  }
  this->NameGrantor(
    aNow, ChooseGrantor(this->self, this->table, this->silentGrantors));
}

void
OwnershipSystem::NameGrantor(Time aNow, Incarnation aGrantor)
{
  bool changed = aGrantor != this->self.grantor;
  if (!changed && aNow < this->nextStoreRenewal) {
    return;
  }
  this->counters.grantorChanges += changed ? 1 : 0;
  this->nextStoreRenewal = aNow + this->settings.lease.lease / 3;
  Member renewed = this->self;
  renewed.grantor = aGrantor;
  this->WriteSelf(aNow, renewed);
}

void
OwnershipSystem::TakeOverLost(Time aNow)
{
  if (this->phase != Phase::Active || !this->LeaseValid(aNow)) {
    return;
  }
  for (Incarnation ward : this->grantor.Expired(aNow)) {
    this->grantor.Bar(ward);
    this->TakeOver(aNow, ward);
  }
  if (!this->storeReachable) {
    return;
  }
  for (Incarnation lost : this->watch.TakeDue(aNow, this->table)) {
    this->TakeOver(aNow, lost);
  }
}

void
OwnershipSystem::TakeOver(Time aNow, Incarnation aLost)
{
  const Member& lost = *this->table.FindMember(aLost);
  PlacementView view = this->View(aNow, lost.service);
  view.soleDecider = true;
  for (auto& server : view.servers) {
    server.accepting = server.accepting && server.id != aLost;
  }
  for (auto& partition : view.partitions) {
    bool released = partition.owner == aLost;
    partition.owner = released ? kNoIncarnation : partition.owner;
  }
  std::string writeId = this->NextWriteId();
  Transaction change = TakeOverChange(
    lost, this->self.incarnation, writeId, this->table, this->placement(view));
  this->transactions.Submit(
    writeId,
    change,
    [this, change, aLost](Time aAt, const TransactionResult& aResult) {
      if (aResult.committed) {
        ++this->counters.takeovers;
        this->ApplyChanges(change, aResult.revision);
        return;
      }
      this->grantor.TakeOverFailed(aLost);
      this->watch.TakeOverFailed(aAt, aLost);
      this->Learn(aResult.conflicts);
    });
}

void
OwnershipSystem::ApplyChanges(const Transaction& aChange, RowVersion aRevision)
{
  std::vector<Row> rows = aChange.changes;
  std::set<Incarnation> owners;
  for (auto& row : rows) {
    row.version = aRevision;
    this->table.Apply(row);
    auto assignment = ParseAssignment(row);
    if (row.key.table == kAssignmentTable && assignment) {
      owners.insert(assignment->owner);
    }
  }
  for (Incarnation owner : owners) {
    this->Push(owner, rows);
  }
}

void
OwnershipSystem::Push(Incarnation aTo, const std::vector<Row>& aRows)
{
  const Member* member = this->table.FindMember(aTo);
  if (member != nullptr && aTo != this->self.incarnation) {
    this->outputs.push_back(PushRows{ member->peerAddress, aRows });
  }
}

PlacementView
OwnershipSystem::View(Time aNow, const std::string& aService) const
{
  PlacementView view;
  view.now = aNow;
  for (const auto& [incarnation, member] : this->table.Members()) {
    if (member.service != aService || member.state == MemberState::Ended) {
      continue;
    }
    bool accepting = member.state == MemberState::Active;
    if (incarnation == this->self.incarnation) {
      accepting = accepting && this->WantsPartitions(aNow);
    }
    view.servers.push_back({ incarnation,
                             member.zone,
                             member.slots,
                             LoadOf(this->serverLoads, incarnation),
                             accepting });
  }
  auto count = this->settings.partitions.find(aService);
  uint32_t partitions =
    count == this->settings.partitions.end() ? 0 : count->second;
  for (uint32_t index = 0; index < partitions; ++index) {
    PartitionId id{ aService, index };
    view.partitions.push_back(
      { id, this->table.LiveOwner(id), LoadOf(this->partitionLoads, id) });
  }
  view.self = this->self.incarnation;
  this->history.Complete(view);
  return view;
}

void
OwnershipSystem::Plan(Time aNow)
{
  bool ready = this->phase == Phase::Active && this->LeaseValid(aNow);
  if (!ready || aNow < this->nextPlan) {
    return;
  }
  this->nextPlan = aNow + this->settings.planInterval;
  this->moves.CancelWithoutTarget(this->table);
  if (!this->storeReachable) {
    return;
  }
  PlacementView view = this->View(aNow, this->self.service);
  bool anyAccepting =
    std::any_of(view.servers.begin(),
                view.servers.end(),
                [](const ServerView& aServer) { return aServer.accepting; });
  if (!anyAccepting) {
    this->ReleaseAll();
    return;
  }
  // The load of partitions under way still counts as this server's own, so a
  // further choice would give too much.
  bool mayGive = this->moves.Empty() || !this->WantsPartitions(aNow);
  std::vector<Move> claims;
  for (const auto& move : this->placement(view)) {
    if (move.from == kNoIncarnation && move.to == this->self.incarnation) {
      claims.push_back(move);
    }
    if (mayGive && move.from == this->self.incarnation) {
      this->moves.Start(move, this->MoveLimit());
    }
  }
  this->Claim(claims);
}

size_t
OwnershipSystem::MoveLimit() const
{
  return this->backend.Serves() ? this->settings.movesAtOnce : SIZE_MAX;
}

void
OwnershipSystem::ReleaseAll()
{
  for (const auto& owned : this->table.OwnedBy(this->self.incarnation)) {
    this->moves.Start({ owned.partition, owned.owner, kNoIncarnation },
                      this->MoveLimit());
  }
}

void
OwnershipSystem::Claim(const std::vector<Move>& aMoves)
{
  if (aMoves.empty() || this->claimPending) {
    return;
  }
  std::vector<PartitionId> partitions;
  for (const auto& move : aMoves) {
    if (partitions.size() < this->settings.claimsAtOnce) {
      partitions.push_back(move.partition);
    }
  }
  std::string writeId = this->NextWriteId();
  Transaction change =
    ClaimChange(this->self, partitions, writeId, this->table);
  this->claimPending = true;
  this->transactions.Submit(
    writeId,
    change,
    [this, change](Time /*aAt*/, const TransactionResult& aResult) {
      this->claimPending = false;
      if (!aResult.committed) {
        this->Learn(aResult.conflicts);
        return;
      }
      this->counters.claims += change.changes.size();
      this->ApplyChanges(change, aResult.revision);
    });
}

void
OwnershipSystem::FinishLapsedMoves(Time aNow)
{
  if (!this->backend.Lapsed(aNow) || this->phase != Phase::Active) {
    return;
  }
  for (const auto& move : this->moves.Waiting()) {
    this->FinishMove(move);
  }
}

void
OwnershipSystem::FinishMove(const Move& aMove)
{
  const Assignment* known = this->table.FindAssignment(aMove.partition);
  const Member* target = this->table.FindMember(aMove.to);
  bool released = aMove.to == kNoIncarnation;
  bool ready =
    released || (target != nullptr && target->state == MemberState::Active);
  bool owned = known != nullptr && known->owner == this->self.incarnation;
  if (!owned || !ready) {
    this->moves.Finish(aMove.partition);
    return;
  }
  std::string writeId = this->NextWriteId();
  this->moves.BeginWrite(aMove.partition, writeId);
  Transaction change = MoveChange(*known, released ? nullptr : target, writeId);
  this->transactions.Submit(
    writeId,
    change,
    [this, change, aMove](Time /*aAt*/, const TransactionResult& aResult) {
      this->moves.Finish(aMove.partition);
      if (!aResult.committed) {
        this->Learn(aResult.conflicts);
        return;
      }
      ++this->counters.movesOut;
      this->ApplyChanges(change, aResult.revision);
    });
}

bool
OwnershipSystem::Empty() const
{
  return this->table.OwnedBy(this->self.incarnation).empty() &&
         !this->claimPending && this->transactions.Empty();
}

void
OwnershipSystem::EndWhenEmpty(Time aNow)
{
  bool ready = this->phase == Phase::Active && !this->selfWritePending &&
               this->storeReachable;
  if (!ready) {
    return;
  }
  bool wants = this->WantsPartitions(aNow);
  MemberState wanted = wants ? MemberState::Active : MemberState::Leaving;
  if (this->self.state != wanted) {
    Member changed = this->self;
    changed.state = wanted;
    this->WriteSelf(aNow, changed);
    return;
  }
  if (this->stopping && this->Empty()) {
    this->phase = Phase::Ending;
    Member ended = this->self;
    ended.state = MemberState::Ended;
    ended.endedBy = this->self.grantor;
    this->WriteSelf(aNow, ended);
  }
}

Serving
OwnershipSystem::CurrentServing() const
{
  Serving serving;
  serving.incarnation = this->self.incarnation;
  serving.leaseUntil = this->holder.ValidUntil();
  if (this->phase != Phase::Active) {
    return serving;
  }
  for (const auto& owned : this->table.OwnedBy(this->self.incarnation)) {
    bool admitting =
      this->backend.Serves() && !this->moves.Contains(owned.partition);
    serving.partitions.push_back({ owned.partition, owned.epoch, admitting });
  }
  return serving;
}

const ClusterTable&
OwnershipSystem::Table() const
{
  return this->table;
}

const OwnershipCounters&
OwnershipSystem::Counters() const
{
  return this->counters;
}

Incarnation
OwnershipSystem::Self() const
{
  return this->self.incarnation;
}

bool
OwnershipSystem::Stopped() const
{
  bool neverJoined = this->phase == Phase::NoBackend && this->stopping;
  return this->phase == Phase::Ended || neverJoined;
}

} // namespace fescuetiller
