#include "fescuetillerd/controlloop.h"

#include <random>

#include <glog/logging.h>

namespace fescuetiller {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kLeastPollInterval = std::chrono::milliseconds(200);
/** Share of the store's reads that all daemons together use for polling. */
constexpr double kPollsPerSecond = 200;
constexpr const char* kPolledTables[] = { kMemberTable,
                                          kAssignmentTable,
                                          kClassTable,
                                          kDrainTable };
constexpr Duration kLoadInterval = std::chrono::milliseconds(200);
constexpr Duration kGrantInterval = std::chrono::milliseconds(150);
constexpr Duration kHealthInterval = std::chrono::milliseconds(200);
constexpr size_t kStoreWriters = 2;
constexpr size_t kPushThreads = 2;

Incarnation
DrawIncarnation()
{
  static std::random_device device;
  std::uniform_int_distribution<Incarnation> any(1);
  return any(device);
}

} // namespace

ControlLoop::ControlLoop(OwnershipSettings aSettings,
                         PlacementPolicy aPlacement,
                         ControlParts aParts)
  : backendGrant(aSettings.lease.backendGrant)
  , system(std::move(aSettings), std::move(aPlacement), DrawIncarnation)
  , gossip(GossipSettings(), static_cast<uint32_t>(DrawIncarnation()))
  , parts(std::move(aParts))
  , storeWrites(kStoreWriters)
  , storeReads(1)
  , pushes(kPushThreads)
  , backendCalls(2)
  , pollInterval(kLeastPollInterval)
{
}

ControlLoop::~ControlLoop()
{
  this->Stop();
}

void
ControlLoop::Start()
{
  this->UpdatePeers();
  this->thread = std::thread([this] { this->Run(); });
}

void
ControlLoop::Stop()
{
  this->stopping = true;
  if (this->thread.joinable()) {
    this->thread.join();
  }
  this->storeWrites.Stop();
  this->storeReads.Stop();
  this->pushes.Stop();
  this->backendCalls.Stop();
}

bool
ControlLoop::Stopped() const
{
  return this->stopped;
}

ControlStatus
ControlLoop::Summary() const
{
  std::lock_guard<std::mutex> lock(this->statusMutex);
  ControlStatus copy;
  copy.serving = this->status.serving;
  copy.counters = this->status.counters;
  copy.gossip = this->status.gossip;
  copy.storeReachable = this->storeReachable;
  copy.backendHealthy = this->backendHealthy;
  return copy;
}

ControlStatus
ControlLoop::Status() const
{
  ControlStatus copy = this->Summary();
  std::lock_guard<std::mutex> lock(this->statusMutex);
  copy.members = this->status.members;
  copy.assignments = this->status.assignments;
  return copy;
}

void
ControlLoop::Run()
{
  while (!this->stopping) {
    ReceivedMessages received = this->parts.socket.Receive(kTick);
    for (auto& input : this->parts.inbox.TakeAll()) {
      received.ownership.push_back(std::move(input));
    }
    this->TickOnce(BootClock::now(), std::move(received));
  }
}

void
ControlLoop::TickOnce(Time aNow, ReceivedMessages aReceived)
{
  std::vector<Input> inputs = std::move(aReceived.ownership);
  this->TickGossip(aNow, aReceived.gossip, inputs);
  this->MeasureLoad(aNow, inputs);
  this->ReportIdle(inputs);
  for (const auto& output : this->system.Tick(aNow, inputs)) {
    std::visit([this](const auto& aOutput) { this->Perform(aOutput); }, output);
  }
  this->PublishTables();
  this->PollStore(aNow);
  this->RenewGrants(aNow);
  this->CheckBackend(aNow);
  this->parts.gate.Tick(aNow);
  this->stopped = this->system.Stopped();
}

void
ControlLoop::TickGossip(Time aNow,
                        const std::vector<GossipReceived>& aReceived,
                        std::vector<Input>& aInputs)
{
  for (const auto& input : aInputs) {
    if (const auto* rows = std::get_if<RowsLearned>(&input)) {
      this->ApplyLearned(this->gossip.Learn(rows->rows));
    }
  }
  GossipOutput output = this->gossip.Tick(aNow, aReceived);
  for (const auto& message : output.messages) {
    this->parts.socket.Send(message);
  }
  if (!output.learned.empty()) {
    this->ApplyLearned(output.learned);
    aInputs.push_back(RowsLearned{ std::move(output.learned) });
  }
}

void
ControlLoop::ApplyLearned(const std::vector<Row>& aRows)
{
  if (this->parts.classes.Apply(aRows)) {
    this->parts.gate.SetTargets(this->parts.classes.All());
  }
  if (!aRows.empty()) {
    this->parts.onLearned(aRows);
  }
}

void
ControlLoop::UpdatePeers()
{
  std::vector<std::string> addresses;
  for (const auto& [incarnation, member] : this->system.Table().Members()) {
    if (member.state != MemberState::Ended &&
        incarnation != this->system.Self()) {
      addresses.push_back(member.controlAddress);
    }
  }
  if (addresses.empty()) {
    addresses = this->parts.seeds;
  }
  auto members = static_cast<double>(addresses.size() + 1);
  std::chrono::duration<double> fair(members / kPollsPerSecond);
  this->pollInterval = std::max<Duration>(
    kLeastPollInterval, std::chrono::duration_cast<Duration>(fair));
  this->gossip.SetPeers(
    std::make_shared<std::vector<std::string>>(std::move(addresses)));
}

void
ControlLoop::MeasureLoad(Time aNow, std::vector<Input>& aInputs)
{
  this->load.Sample(aNow, this->parts.serving.RunningByPartition());
  if (aNow < this->nextLoad) {
    return;
  }
  this->nextLoad = aNow + kLoadInterval;
  this->gossip.SetOwnLoad(this->system.Self(), this->load.Total());
  aInputs.push_back(PeerLoadsLearned{ this->gossip.Loads() });
  aInputs.push_back(LoadMeasured{ this->load.Partitions() });
}

void
ControlLoop::ReportIdle(std::vector<Input>& aInputs)
{
  for (const auto& partition : this->parts.serving.Idle()) {
    aInputs.push_back(PartitionIdle{ partition });
  }
}

void
ControlLoop::Perform(const SendRenewal& aOutput)
{
  this->parts.socket.Send(aOutput);
}

void
ControlLoop::Perform(const SendAck& aOutput)
{
  this->parts.socket.Send(aOutput);
}

void
ControlLoop::Perform(const StartTransaction& aOutput)
{
  this->storeWrites.Add([this, aOutput] { this->RunTransaction(aOutput); });
}

void
ControlLoop::Perform(const PushRows& aOutput)
{
  this->pushes.Add([this, aOutput] {
    wire::Deltas deltas;
    for (const auto& row : aOutput.rows) {
      *deltas.add_rows() = ToWire(row);
    }
    this->parts.peers.Exchange(aOutput.address, deltas);
  });
}

void
ControlLoop::RunTransaction(const StartTransaction& aOutput)
{
  thread_local std::unique_ptr<TableStore> store = this->parts.openStore();
  auto result = store->Transact(aOutput.transaction);
  std::vector<Row> rows;
  if (result && result->committed) {
    rows = aOutput.transaction.changes;
    for (auto& row : rows) {
      row.version = result->revision;
    }
  } else if (result) {
    rows = result->conflicts;
  }
  this->parts.inbox.Put(TransactionAnswer{ aOutput.id, std::move(result) });
  this->parts.inbox.Put(RowsLearned{ std::move(rows) });
}

void
ControlLoop::PublishTables()
{
  Serving serving = this->system.CurrentServing();
  if (!(serving == this->published)) {
    this->parts.serving.Publish(serving);
    this->published = serving;
  }
  const ClusterTable& table = this->system.Table();
  bool changed = table.ChangeCount() != this->publishedChange;
  if (changed) {
    this->publishedChange = table.ChangeCount();
    this->parts.routes.Publish(table);
    this->UpdatePeers();
  }
  std::lock_guard<std::mutex> lock(this->statusMutex);
  this->status.serving = serving;
  this->status.counters = this->system.Counters();
  this->status.gossip = this->gossip.Counters();
  if (!changed) {
    return;
  }
  this->status.members.clear();
  this->status.assignments.clear();
  for (const auto& [incarnation, member] : table.Members()) {
    this->status.members.push_back(member);
  }
  for (const auto& [partition, assignment] : table.Assignments()) {
    this->status.assignments.push_back(assignment);
  }
}

void
ControlLoop::PollStore(Time aNow)
{
  if (aNow < this->nextPoll || this->readPending.exchange(true)) {
    return;
  }
  this->nextPoll = aNow + this->pollInterval;
  this->storeReads.Add([this] {
    this->ReadChanges();
    this->readPending = false;
  });
}

void
ControlLoop::ReadChanges()
{
  thread_local std::unique_ptr<TableStore> store = this->parts.openStore();
  bool reachable = true;
  for (const char* table : kPolledTables) {
    RowVersion& since = this->readRevisions[table];
    auto read = store->ReadChanges(table, since);
    if (!read) {
      reachable = false;
      LOG_IF(WARNING, this->storeReachable) << read.error();
      break;
    }
    since = read->revision;
    if (read->rows.empty()) {
      continue;
    }
    this->parts.inbox.Put(RowsLearned{ std::move(read->rows) });
  }
  LOG_IF(INFO, reachable && !this->storeReachable) << "table service reached";
  if (reachable != this->storeReachable) {
    this->parts.inbox.Put(StoreReachable{ reachable });
  }
  this->storeReachable = reachable;
}

void
ControlLoop::RenewGrants(Time aNow)
{
  // A backend server that does not answer is granted nothing new, so that what
  // it still has lapses.
  bool due = aNow >= this->nextGrant && this->backendHealthy;
  if (!due || this->grantPending) {
    return;
  }
  this->nextGrant = aNow + kGrantInterval;
  wire::Grants grants;
  grants.set_incarnation(this->published.incarnation);
  grants.set_sequence(++this->grantSequence);
  Time until = std::min(this->published.leaseUntil, aNow + this->backendGrant);
  grants.set_lease_until_boot_ns(ToBootNanoseconds(until));
  this->backendLapsesAt = std::max(this->backendLapsesAt.load(), until);
  for (const auto& owned : this->published.partitions) {
    auto* granted = grants.add_partitions();
    granted->set_partition(owned.partition.index);
    granted->set_epoch(owned.epoch);
  }
  this->grantPending = true;
  this->backendCalls.Add([this, grants] {
    this->parts.backend.SendGrants(grants);
    this->grantPending = false;
  });
}

void
ControlLoop::CheckBackend(Time aNow)
{
  if (aNow < this->nextHealth || this->healthPending.exchange(true)) {
    return;
  }
  this->nextHealth = aNow + kHealthInterval;
  this->backendCalls.Add([this] {
    auto health = this->parts.backend.ReadHealth();
    bool healthy = health && health->healthy();
    if (this->backendHealthy && !healthy) {
      LOG(WARNING) << "backend server lost: "
                   << (health ? "reports itself unhealthy"
                              : ToString(health.error()));
      this->parts.inbox.Put(BackendLost{ this->backendLapsesAt });
    }
    if (!this->backendHealthy && healthy) {
      this->parts.inbox.Put(BackendReturned{});
    }
    if (health) {
      this->parts.gate.ReportLoad(
        { BootClock::now(), health->load(), healthy });
    }
    if (healthy && !this->backendHealthy) {
      this->parts.gate.BackendRestarted();
    }
    this->backendHealthy = healthy;
    bool draining = health && health->draining();
    if (draining != this->backendDraining.exchange(draining)) {
      LOG(INFO) << "backend server " << (draining ? "drains" : "is back");
      this->parts.inbox.Put(
        DrainRequested{ draining, DrainSource::BackendServer });
    }
    this->healthPending = false;
  });
}

} // namespace fescuetiller
