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
{
  this->Restart();
}

std::vector<Output>
OwnershipSystem::Tick(Time aNow, const std::vector<Input>& aInputs)
{
  for (const auto& input : aInputs) {
    std::visit([&](const auto& aMessage) { this->Accept(aNow, aMessage); },
               input);
  }
  this->grantor.Follow(aNow, this->table);
  this->Join(aNow);
  this->KeepLease(aNow);
  this->TakeOverExpired(aNow);
  this->Plan(aNow);
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
  this->moving.clear();
  this->writing.clear();
  this->selfWritePending = false;
  this->claimPending = false;
  this->phase = Phase::NoBackend;
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
OwnershipSystem::Accept(Time /*aNow*/, const RenewalAck& aAck)
{
  this->holder.Acknowledged(aAck);
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
  this->backend = aBackend;
}

void
OwnershipSystem::Accept(Time /*aNow*/, const BackendLost& /*aLost*/)
{
  this->backend.reset();
}

void
OwnershipSystem::Accept(Time /*aNow*/, const PartitionIdle& aIdle)
{
  auto found = this->moving.find(aIdle.partition);
  if (found != this->moving.end() &&
      this->writing.insert(aIdle.partition).second) {
    this->FinishMove(found->second);
  }
}

void
OwnershipSystem::Accept(Time /*aNow*/, const DrainRequested& aRequest)
{
  this->draining = aRequest.drain;
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
  if (ended && this->phase != Phase::Ended && this->phase != Phase::Ending) {
    ++this->counters.incarnationsEnded;
    this->Restart();
  }
}

bool
OwnershipSystem::LeaseValid(Time aNow) const
{
  return aNow < this->holder.ValidUntil();
}

bool
OwnershipSystem::WantsPartitions() const
{
  return this->backend.has_value() && !this->draining && !this->stopping;
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
  if (this->phase != Phase::NoBackend || !this->WantsPartitions()) {
    return;
  }
  this->self.service = this->backend->service;
  this->self.slots = this->backend->slots;
  this->self.connections = this->backend->connections;
  this->self.checksGrant = this->backend->checksGrant;
  this->self.state = MemberState::Active;
  this->phase = Phase::Joining;
  Member joining = this->self;
  joining.grantor = this->ChooseGrantor(aNow);
  this->WriteSelf(aNow, joining);
}

void
OwnershipSystem::WriteSelf(Time aNow, Member aMember)
{
  aMember.writeId = this->NextWriteId();
  Transaction change;
  change.conditions.push_back(
    { MemberKey(this->self.incarnation), this->self.version });
  change.changes.push_back(ToRow(aMember));
  this->selfWritePending = true;
  this->transactions.Submit(
    aMember.writeId,
    change,
    [this, aNow, aMember](Time /*aAt*/, const TransactionResult& aResult) {
      this->selfWritePending = false;
      this->SelfWritten(aNow, aMember, aResult);
    });
}

void
OwnershipSystem::SelfWritten(Time aSentAt,
                             const Member& aMember,
                             const TransactionResult& aResult)
{
  if (!aResult.committed) {
    this->Learn(aResult.conflicts);
    return;
  }
  bool newGrantor = aMember.grantor != this->holder.Grantor();
  this->self = aMember;
  this->self.version = aResult.revision;
  this->table.Apply(ToRow(this->self));
  this->holder.RecordWritten(aSentAt);
  if (newGrantor) {
    this->holder.SetGrantor(aSentAt, aMember.grantor);
    this->Push(aMember.grantor, { ToRow(this->self) });
  }
  if (this->phase == Phase::Joining) {
    this->phase = Phase::Active;
  }
  if (this->phase == Phase::Ending) {
    this->phase = Phase::Ended;
  }
}

Incarnation
OwnershipSystem::ChooseGrantor(Time aNow) const
{
  Incarnation best = kNoIncarnation;
  std::tuple<bool, bool, uint64_t> bestScore;
  for (const auto& [incarnation, member] : this->table.Members()) {
    if (member.state != MemberState::Active ||
        incarnation == this->self.incarnation) {
      continue;
    }
    (void)aNow;
    std::tuple<bool, bool, uint64_t> score(
      this->silentGrantors.count(incarnation) == 0,
      member.zone != this->self.zone,
      HashKey(ToHex(incarnation), this->self.incarnation));
    if (best == kNoIncarnation || score > bestScore) {
      best = incarnation;
      bestScore = score;
    }
  }
  return best;
}

void
OwnershipSystem::KeepLease(Time aNow)
{
  if (this->phase != Phase::Active && this->phase != Phase::Ending) {
    return;
  }
  const Member* peer = this->table.FindMember(this->holder.Grantor());
  bool usable = peer != nullptr && peer->state != MemberState::Ended;
  if (usable) {
    this->holder.Tick(aNow, peer->controlAddress, this->outputs);
  }
  if (this->selfWritePending || this->phase != Phase::Active) {
    return;
  }
  if (usable && !this->holder.GrantorSilent(aNow)) {
    this->silentGrantors.clear();
    return;
  }
  if (this->holder.Grantor() != kNoIncarnation) {
    this->silentGrantors.insert(this->holder.Grantor());
  }
  Member renewed = this->self;
  renewed.grantor = this->ChooseGrantor(aNow);
  bool changed = renewed.grantor != this->self.grantor;
  if (changed || aNow >= this->nextStoreRenewal) {
    ++this->counters.grantorChanges;
    this->nextStoreRenewal = aNow + this->settings.lease.lease / 3;
    this->WriteSelf(aNow, renewed);
  }
}

void
OwnershipSystem::TakeOverExpired(Time aNow)
{
  if (this->phase != Phase::Active || !this->LeaseValid(aNow)) {
    return;
  }
  for (Incarnation ward : this->grantor.Expired(aNow)) {
    const Member* lost = this->table.FindMember(ward);
    this->grantor.Bar(ward);
    this->TakeOver(*lost);
  }
}

void
OwnershipSystem::TakeOver(const Member& aLost)
{
  Member ended = aLost;
  ended.state = MemberState::Ended;
  ended.endedBy = this->self.incarnation;
  ended.writeId = this->NextWriteId();
  Transaction change;
  change.conditions.push_back({ MemberKey(aLost.incarnation), aLost.version });
  change.changes.push_back(ToRow(ended));

  PlacementView view = this->View({}, aLost.service);
  for (auto& server : view.servers) {
    server.accepting = server.accepting && server.id != aLost.incarnation;
  }
  for (auto& partition : view.partitions) {
    bool orphaned = partition.owner == aLost.incarnation;
    partition.owner = orphaned ? kNoIncarnation : partition.owner;
  }
  std::map<PartitionId, Incarnation> successors;
  for (const auto& move : this->placement(view)) {
    if (move.from == kNoIncarnation) {
      successors[move.partition] = move.to;
    }
  }
  for (const auto& assignment : this->table.OwnedBy(aLost.incarnation)) {
    Assignment next = assignment;
    auto successor = successors.find(assignment.partition);
    next.owner =
      successor == successors.end() ? kNoIncarnation : successor->second;
    next.epoch = assignment.epoch + 1;
    next.writeId = ended.writeId;
    change.conditions.push_back(
      { AssignmentKey(assignment.partition), assignment.version });
    change.changes.push_back(ToRow(next));
  }
  this->transactions.Submit(
    ended.writeId,
    change,
    [this, change](Time /*aAt*/, const TransactionResult& aResult) {
      if (!aResult.committed) {
        this->Learn(aResult.conflicts);
        return;
      }
      ++this->counters.takeovers;
      this->ApplyChanges(change, aResult.revision);
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
      accepting = accepting && this->WantsPartitions();
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
    const Assignment* known = this->table.FindAssignment(id);
    view.partitions.push_back(
      { id,
        known == nullptr ? kNoIncarnation : known->owner,
        LoadOf(this->partitionLoads, id) });
  }
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
  PlacementView view = this->View(aNow, this->self.service);
  bool anyAccepting =
    std::any_of(view.servers.begin(),
                view.servers.end(),
                [](const ServerView& aServer) { return aServer.accepting; });
  if (!anyAccepting) {
    this->ReleaseAll();
    return;
  }
  std::vector<PartitionId> claims;
  for (const auto& move : this->placement(view)) {
    if (move.from == kNoIncarnation && move.to == this->self.incarnation) {
      claims.push_back(move.partition);
    }
    if (move.from == this->self.incarnation) {
      this->StartMove(move);
    }
  }
  this->Claim(claims);
}

void
OwnershipSystem::ReleaseAll()
{
  for (const auto& owned : this->table.OwnedBy(this->self.incarnation)) {
    this->StartMove({ owned.partition, owned.owner, kNoIncarnation });
  }
}

void
OwnershipSystem::Claim(const std::vector<PartitionId>& aPartitions)
{
  if (aPartitions.empty() || this->claimPending) {
    return;
  }
  std::string writeId = this->NextWriteId();
  Transaction change;
  change.conditions.push_back(
    { MemberKey(this->self.incarnation), this->self.version });
  for (const auto& partition : aPartitions) {
    if (change.changes.size() == this->settings.claimsAtOnce) {
      break;
    }
    const Assignment* known = this->table.FindAssignment(partition);
    Assignment next = known == nullptr ? Assignment() : *known;
    change.conditions.push_back({ AssignmentKey(partition), next.version });
    next.partition = partition;
    next.owner = this->self.incarnation;
    next.epoch += 1;
    next.writeId = writeId;
    change.changes.push_back(ToRow(next));
  }
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
OwnershipSystem::StartMove(const Move& aMove)
{
  if (this->moving.size() < this->settings.movesAtOnce) {
    this->moving.emplace(aMove.partition, aMove);
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
  bool stale =
    known == nullptr || known->owner != this->self.incarnation || !ready;
  if (stale) {
    this->moving.erase(aMove.partition);
    this->writing.erase(aMove.partition);
    return;
  }
  Assignment next = *known;
  next.owner = aMove.to;
  next.epoch += 1;
  next.writeId = this->NextWriteId();
  Transaction change;
  change.conditions.push_back({ AssignmentKey(aMove.partition), next.version });
  if (!released) {
    change.conditions.push_back({ MemberKey(aMove.to), target->version });
  }
  change.changes.push_back(ToRow(next));
  this->transactions.Submit(
    next.writeId,
    change,
    [this, change, aMove](Time /*aAt*/, const TransactionResult& aResult) {
      this->moving.erase(aMove.partition);
      this->writing.erase(aMove.partition);
      if (!aResult.committed) {
        this->Learn(aResult.conflicts);
        return;
      }
      ++this->counters.movesOut;
      this->ApplyChanges(change, aResult.revision);
    });
}

void
OwnershipSystem::EndWhenEmpty(Time aNow)
{
  if (this->phase != Phase::Active || this->selfWritePending) {
    return;
  }
  bool leaving = !this->WantsPartitions();
  MemberState wanted = leaving ? MemberState::Leaving : MemberState::Active;
  if (this->self.state != wanted) {
    Member changed = this->self;
    changed.state = wanted;
    this->WriteSelf(aNow, changed);
    return;
  }
  bool empty = this->table.OwnedBy(this->self.incarnation).empty() &&
               !this->claimPending && this->transactions.Empty();
  if (this->stopping && empty) {
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
    bool admitting = this->moving.count(owned.partition) == 0;
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
