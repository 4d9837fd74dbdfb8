#include "faultycluster.h"

#include <algorithm>
#include <utility>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(10);
constexpr Duration kPollInterval = milliseconds(200);
constexpr Duration kGrantInterval = milliseconds(150);
constexpr Duration kAnnounceInterval = milliseconds(500);
constexpr Duration kHealthInterval = milliseconds(200);
constexpr Duration kHealthTimeout = milliseconds(500);
constexpr Duration kAnswerTimeout = milliseconds(500);
constexpr Duration kWork = milliseconds(30);
constexpr Duration kLongWork = milliseconds(400);
constexpr Duration kRequestTimeout = seconds(5);
constexpr uint32_t kTicksBetweenDispatches = 5;
constexpr uint32_t kDispatchesBetweenLong = 7;

Error
NoAnswer(ErrorCode aCode)
{
  return { aCode, "transact", "store", "no answer" };
}

bool
Contains(const std::vector<size_t>& aNodes, size_t aNode)
{
  return std::find(aNodes.begin(), aNodes.end(), aNode) != aNodes.end();
}

} // namespace

FaultyCluster::FaultyCluster(const ClusterOptions& aOptions)
  : options(aOptions)
  , random(aOptions.seed)
  , nodes(aOptions.nodes)
{
  for (size_t index = 0; index < this->nodes.size(); ++index) {
    Node& node = this->nodes[index];
    // Neighbours run apart: one fast, the next slow.
    node.rate = 1 + (index % 2 == 0 ? aOptions.drift : -aOptions.drift);
    node.offset = seconds(1000 * (index + 1));
  }
}

size_t
FaultyCluster::StoreIndex() const
{
  return this->nodes.size();
}

std::vector<size_t>
FaultyCluster::Others(size_t aNode) const
{
  std::vector<size_t> others;
  for (size_t index = 0; index <= this->StoreIndex(); ++index) {
    if (index != aNode) {
      others.push_back(index);
    }
  }
  return others;
}

Time
FaultyCluster::Local(const Node& aNode) const
{
  auto passed = this->now.time_since_epoch() * aNode.rate;
  return Time(std::chrono::duration_cast<Duration>(passed) + aNode.offset);
}

void
FaultyCluster::Arm(Step aStep, Fault aFault)
{
  this->armed = { aStep, aFault };
}

void
FaultyCluster::ArmSecond(Fault aFault, Duration aDelay)
{
  this->second = { aFault, aDelay };
}

void
FaultyCluster::ArmAgain(Fault aFault, Duration aDelay)
{
  this->again = { aFault, aDelay };
}

void
FaultyCluster::StartNode(size_t aNode)
{
  Node& node = this->nodes[aNode];
  OwnershipSettings settings;
  settings.name = "agenda-" + std::to_string(aNode);
  settings.zone = "zone-" + std::to_string(aNode % this->options.zones);
  settings.controlAddress = std::to_string(aNode);
  settings.peerAddress = std::to_string(aNode);
  settings.partitions = { { kService, kPartitions } };
  settings.lease = this->options.lease;
  Incarnation first = aNode + 1 + (++this->starts * 10000);
  auto draw = [next = first]() mutable { return next += 100; };
  node.system =
    std::make_unique<OwnershipSystem>(settings, RendezvousPlacement, draw);
  node.serving = std::make_unique<ServingTable>();
  node.published = Serving();
  node.readMembers = 0;
  node.readAssignments = 0;
  node.inbox.clear();
  node.held.clear();
  node.alive = true;
}

void
FaultyCluster::LoseNode(size_t aNode, bool aWithBackend)
{
  this->nodes[aNode].alive = false;
  if (aWithBackend) {
    this->nodes[aNode].backend.alive = false;
  }
}

void
FaultyCluster::Drain(size_t aNode, bool aDrain)
{
  this->nodes[aNode].inbox.push_back(DrainRequested{ aDrain });
  if (aDrain) {
    this->checker.Leaving(this->now, aNode);
  } else {
    this->checker.Returned(aNode);
  }
}

void
FaultyCluster::Stop(size_t aNode)
{
  this->nodes[aNode].inbox.push_back(StopRequested{});
  this->checker.Leaving(this->now, aNode);
}

void
FaultyCluster::DeclareLost()
{
  std::set<Incarnation> live;
  Node* informed = nullptr;
  for (auto& node : this->nodes) {
    if (node.alive) {
      live.insert(node.system->Self());
      informed = &node;
    }
  }
  if (informed == nullptr) {
    return;
  }
  const ClusterTable& table = informed->system->Table();
  for (const auto& [incarnation, member] : table.Members()) {
    const Member* current = &member;
    for (size_t step = 0; step <= this->nodes.size(); ++step) {
      bool settles =
        current == nullptr || live.count(current->incarnation) != 0;
      if (settles || member.state == MemberState::Ended) {
        break;
      }
      if (step == this->nodes.size()) {
        informed->inbox.push_back(MemberDeclaredLost{ incarnation });
      }
      current = table.FindMember(table.EffectiveGrantor(*current));
    }
  }
}

void
FaultyCluster::Cut(std::vector<size_t> aFrom,
                   std::vector<size_t> aTo,
                   Duration aTime)
{
  this->rules.push_back(
    { std::move(aFrom), std::move(aTo), this->now + aTime });
}

void
FaultyCluster::Strike(Fault aFault, size_t aNode)
{
  constexpr Duration kPause = milliseconds(1500);
  constexpr Duration kCut = milliseconds(2500);
  constexpr Duration kLongCut = seconds(4);
  constexpr Duration kStoreFault = seconds(3);
  constexpr Duration kForGood = std::chrono::hours(1);
  Node& node = this->nodes[aNode];
  std::vector<size_t> others = this->Others(aNode);
  std::vector<size_t> self = { aNode };
  switch (aFault) {
    case Fault::LostBefore:
    case Fault::LostAfter:
      this->LoseNode(aNode, false);
      break;
    case Fault::PairLost:
      this->LoseNode(aNode, true);
      break;
    case Fault::DaemonPaused:
      node.pausedUntil = this->now + kPause;
      break;
    case Fault::BackendFrozen:
      node.backend.frozenUntil = this->now + kPause;
      break;
    case Fault::PairPaused:
      node.pausedUntil = this->now + kPause;
      node.backend.frozenUntil = this->now + kPause;
      break;
    case Fault::CutOut:
      this->Cut(self, others, kCut);
      break;
    case Fault::CutIn:
      this->Cut(others, self, kCut);
      break;
    case Fault::CutBoth:
      this->Cut(self, others, kCut);
      this->Cut(others, self, kCut);
      break;
    case Fault::CutWithWards: {
      std::vector<size_t> inside = self;
      std::vector<size_t> outside;
      const ClusterTable& table = node.system->Table();
      for (const auto& [incarnation, member] : table.Members()) {
        if (table.EffectiveGrantor(member) == node.system->Self()) {
          inside.push_back(this->IndexOf(incarnation));
        }
      }
      for (size_t other : others) {
        if (!Contains(inside, other)) {
          outside.push_back(other);
        }
      }
      this->Cut(inside, outside, kLongCut);
      this->Cut(outside, inside, kLongCut);
      break;
    }
    case Fault::GrantorSilent: {
      const Member* member =
        node.system->Table().FindMember(node.system->Self());
      if (member != nullptr && member->grantor != kNoIncarnation) {
        std::vector<size_t> peer = { this->IndexOf(member->grantor) };
        this->Cut(self, peer, kForGood);
        this->Cut(peer, self, kForGood);
      }
      break;
    }
    case Fault::MessageLost:
      break;
    case Fault::MessageDoubled:
      node.doubled = 1;
      break;
    case Fault::MessageReordered:
      node.reorderUntil = this->now + kTick;
      break;
    case Fault::MessagesLate: {
      constexpr Duration kLate = milliseconds(300);
      Time until = this->now + seconds(2);
      this->rules.push_back({ self, others, until, kLate, false });
      this->rules.push_back({ others, self, until, kLate, false });
      break;
    }
    case Fault::StoreDown:
      this->storeDownUntil = this->now + kStoreFault;
      break;
    case Fault::StoreCut:
      this->Cut(self, { this->StoreIndex() }, kStoreFault);
      this->Cut({ this->StoreIndex() }, self, kStoreFault);
      break;
    case Fault::StoreSlow:
      this->storeSlowUntil = this->now + kStoreFault;
      break;
    case Fault::AnswersLost:
      node.answersLostUntil = this->now + kPause;
      break;
    case Fault::EffectLate:
      node.effectLate = true;
      break;
    case Fault::OperatorsRace:
      node.raceUntil = this->now + seconds(2);
      break;
    case Fault::Count:
      break;
  }
}

std::optional<Step>
FaultyCluster::StepOf(size_t aNode, const Transaction& aChange) const
{
  Incarnation self = this->nodes[aNode].system->Self();
  const ClusterTable& table = this->nodes[aNode].system->Table();
  for (const auto& row : aChange.changes) {
    auto member = ParseMember(row);
    if (row.key.table != kMemberTable || !member) {
      continue;
    }
    if (member->incarnation != self) {
      return Step::TakeOver;
    }
    const Member* before = table.FindMember(self);
    if (before == nullptr) {
      return Step::Join;
    }
    if (member->state == MemberState::Ended) {
      return Step::End;
    }
    if (member->state != before->state) {
      return member->state == MemberState::Leaving ? Step::Leave : Step::Return;
    }
    return Step::ChangeGrantor;
  }
  for (const auto& row : aChange.changes) {
    auto assignment = ParseAssignment(row);
    if (row.key.table == kAssignmentTable && assignment) {
      return assignment->owner == self ? Step::Claim : Step::Move;
    }
  }
  return std::nullopt;
}

std::optional<Step>
FaultyCluster::StepOf(size_t aNode, const Output& aOutput) const
{
  if (std::holds_alternative<SendRenewal>(aOutput)) {
    return Step::Renew;
  }
  if (std::holds_alternative<SendAck>(aOutput)) {
    return Step::Acknowledge;
  }
  if (std::holds_alternative<PushRows>(aOutput)) {
    return Step::PushRows;
  }
  const auto* start = std::get_if<StartTransaction>(&aOutput);
  return start == nullptr ? std::nullopt
                          : this->StepOf(aNode, start->transaction);
}

void
FaultyCluster::Run(Duration aTime)
{
  Time end = this->now + aTime;
  while (this->now < end) {
    this->now += kTick;
    ++this->tick;
    auto due = std::stable_partition(
      this->planned.begin(), this->planned.end(), [this](const Armed& aEntry) {
        return aEntry.at > this->now;
      });
    std::vector<Armed> striking(due, this->planned.end());
    this->planned.erase(due, this->planned.end());
    for (const auto& entry : striking) {
      this->Strike(entry.fault, entry.node);
    }
    this->DeliverMessages();
    this->RunWrites();
    for (size_t index = 0; index < this->nodes.size(); ++index) {
      this->TickNode(index);
    }
    this->Observe();
  }
}

void
FaultyCluster::TickNode(size_t aNode)
{
  Node& node = this->nodes[aNode];
  if (node.alive && this->now >= node.pausedUntil) {
    // Traffic threads may run before the control thread after a pause.
    this->Traffic(aNode);
    this->TickControl(aNode);
  }
  if (node.backend.alive && this->now >= node.backend.frozenUntil) {
    this->RunBackend(aNode);
  }
}

void
FaultyCluster::Traffic(size_t aNode)
{
  Node& node = this->nodes[aNode];
  Time local = this->Local(node);
  for (auto& dispatch : node.backend.dispatches) {
    if (!dispatch.released && this->now >= dispatch.givenUp) {
      node.serving->End(dispatch.fence.partition);
      dispatch.released = true;
    }
  }
  for (uint32_t index = 0; index < kPartitions; ++index) {
    if ((this->tick + index) % kTicksBetweenDispatches != 0) {
      continue;
    }
    auto fence = node.serving->Begin(local, { kService, index });
    if (!fence) {
      continue;
    }
    node.backend.dispatches.push_back(
      { *fence, this->now + kTick, {}, this->now + kRequestTimeout });
  }
}

bool
FaultyCluster::Granted(const Node& aNode, const Fence& aFence) const
{
  Time local = this->Local(aNode);
  if (this->options.checksDeadline && local >= aFence.leaseUntil) {
    return false;
  }
  if (!this->options.checksGrant) {
    return true;
  }
  const wire::Grants& grants = aNode.backend.grants;
  if (ToBootNanoseconds(local) >= grants.lease_until_boot_ns() ||
      grants.incarnation() != aFence.incarnation) {
    return false;
  }
  for (const auto& granted : grants.partitions()) {
    if (granted.partition() == aFence.partition.index) {
      return granted.epoch() == aFence.epoch;
    }
  }
  return false;
}

void
FaultyCluster::RunBackend(size_t aNode)
{
  Node& node = this->nodes[aNode];
  for (const auto& grants : std::exchange(node.backend.waiting, {})) {
    node.backend.grants = grants;
  }
  std::deque<Backend::Dispatch> left;
  for (auto& dispatch : node.backend.dispatches) {
    if (!dispatch.started) {
      // A paused daemon sends what it had checked only when it goes on.
      bool sent = node.alive && this->now >= node.pausedUntil;
      if (!sent || this->now < dispatch.arrives) {
        if (node.alive) {
          left.push_back(dispatch);
        }
        continue;
      }
      if (!this->Granted(node, dispatch.fence)) {
        if (!dispatch.released) {
          node.serving->End(dispatch.fence.partition);
        }
        continue;
      }
      bool isLong =
        node.backend.dispatches.size() % kDispatchesBetweenLong == 0;
      dispatch.started = true;
      dispatch.ends = this->now + (isLong ? kLongWork : kWork);
      this->checker.Started(this->now, aNode, dispatch.fence);
    }
    if (this->now < dispatch.ends) {
      left.push_back(dispatch);
      continue;
    }
    if (this->Granted(node, dispatch.fence)) {
      this->checker.Committed(this->now, dispatch.fence);
    } else {
      this->checker.Cut(this->now, aNode, dispatch.fence);
    }
    if (!dispatch.released && node.alive) {
      node.serving->End(dispatch.fence.partition);
    }
  }
  node.backend.dispatches = std::move(left);
}

void
FaultyCluster::TickControl(size_t aNode)
{
  Node& node = this->nodes[aNode];
  for (const auto& output : std::exchange(node.held, {})) {
    this->Deliver(aNode, output);
  }
  this->Poll(aNode);
  this->CheckBackend(aNode);
  if (this->now < node.raceUntil && this->tick % 7 == 0) {
    node.inbox.push_back(DrainRequested{ this->tick % 2 == 0 });
  } else if (node.raceUntil != Time() && this->now >= node.raceUntil) {
    node.inbox.push_back(DrainRequested{ false });
    node.raceUntil = Time();
  }
  for (const auto& partition : node.serving->Idle()) {
    node.inbox.push_back(PartitionIdle{ partition });
  }
  auto inputs = std::exchange(node.inbox, {});
  auto outputs = node.system->Tick(this->Local(node), inputs);
  node.published = node.system->CurrentServing();
  node.serving->Publish(node.published);
  this->SendGrants(aNode);
  for (size_t index = 0; index < outputs.size(); ++index) {
    if (!this->StrikeAt(aNode, outputs[index])) {
      this->Deliver(aNode, outputs[index]);
    }
    if (!node.alive) {
      return;
    }
    if (this->now < node.pausedUntil) {
      node.held.assign(outputs.begin() + static_cast<ptrdiff_t>(index),
                       outputs.end());
      return;
    }
  }
  if (node.system->Stopped()) {
    node.alive = false;
    node.stopped = true;
  }
}

bool
FaultyCluster::StrikeAt(size_t aNode, const Output& aOutput)
{
  auto step = this->StepOf(aNode, aOutput);
  if (!this->armed || step != this->armed->first) {
    return false;
  }
  Fault fault = this->armed->second;
  this->armed.reset();
  this->struck = true;
  this->struckAt = this->now;
  const Member* member = this->nodes[aNode].system->Table().FindMember(
    this->nodes[aNode].system->Self());
  size_t other = (aNode + 1) % this->nodes.size();
  if (member != nullptr && member->grantor != kNoIncarnation) {
    other = this->IndexOf(member->grantor);
  }
  if (this->second) {
    Time at = this->now + this->second->second;
    this->planned.push_back({ this->second->first, at, other });
  }
  if (this->again) {
    Time at = this->now + this->again->second;
    this->planned.push_back({ this->again->first, at, aNode });
  }
  if (fault == Fault::LostAfter) {
    this->Deliver(aNode, aOutput);
  }
  this->Strike(fault, aNode);
  if (fault == Fault::MessageLost) {
    const auto* start = std::get_if<StartTransaction>(&aOutput);
    if (start != nullptr) {
      Error error = NoAnswer(ErrorCode::Unknown);
      this->messages.push_back(
        { this->StoreIndex(),
          aNode,
          this->now + kAnswerTimeout,
          TransactionAnswer{ start->id, tl::unexpected(error) } });
    }
    return true;
  }
  // A paused daemon holds the step back and sends it on its return.
  return !this->nodes[aNode].alive ||
         this->now < this->nodes[aNode].pausedUntil;
}

size_t
FaultyCluster::IndexOf(Incarnation aIncarnation) const
{
  return (aIncarnation - 1) % 100;
}

void
FaultyCluster::Deliver(size_t aNode, const Output& aOutput)
{
  if (const auto* renewal = std::get_if<SendRenewal>(&aOutput)) {
    this->Send(aNode, std::stoul(renewal->address), renewal->renewal);
  }
  if (const auto* ack = std::get_if<SendAck>(&aOutput)) {
    this->Send(aNode, std::stoul(ack->address), ack->ack);
  }
  if (const auto* push = std::get_if<PushRows>(&aOutput)) {
    this->Send(aNode, std::stoul(push->address), RowsLearned{ push->rows });
  }
  if (const auto* start = std::get_if<StartTransaction>(&aOutput)) {
    this->SendWrite(aNode, *start);
  }
}

const FaultyCluster::LinkRule*
FaultyCluster::RuleFor(size_t aFrom, size_t aTo) const
{
  const LinkRule* delaying = nullptr;
  for (const auto& rule : this->rules) {
    bool applies = this->now < rule.until && Contains(rule.from, aFrom) &&
                   Contains(rule.to, aTo);
    if (applies && rule.drop) {
      return &rule;
    }
    delaying = applies ? &rule : delaying;
  }
  return delaying;
}

void
FaultyCluster::Send(size_t aFrom, size_t aTo, Input aInput)
{
  Node& node = this->nodes[aFrom];
  const LinkRule* rule = this->RuleFor(aFrom, aTo);
  if (rule != nullptr && rule->drop) {
    return;
  }
  std::uniform_int_distribution<int> jitter(5, 15);
  Time due = this->now + milliseconds(jitter(this->random));
  due += rule == nullptr ? Duration(0) : rule->delay;
  if (this->now < node.reorderUntil) {
    due += milliseconds(250);
  }
  this->messages.push_back({ aFrom, aTo, due, aInput });
  if (node.doubled > 0) {
    --node.doubled;
    this->messages.push_back(
      { aFrom, aTo, due + milliseconds(250), std::move(aInput) });
  }
}

void
FaultyCluster::SendWrite(size_t aFrom, const StartTransaction& aStart)
{
  Node& node = this->nodes[aFrom];
  auto fail = [&](ErrorCode aCode, Duration aAfter) {
    TransactionAnswer answer{ aStart.id, tl::unexpected(NoAnswer(aCode)) };
    this->messages.push_back(
      { this->StoreIndex(), aFrom, this->now + aAfter, answer });
  };
  const LinkRule* rule = this->RuleFor(aFrom, this->StoreIndex());
  if (rule != nullptr && rule->drop) {
    fail(ErrorCode::Unknown, kAnswerTimeout);
    return;
  }
  if (this->now < this->storeDownUntil) {
    fail(ErrorCode::Unavailable, kTick);
    return;
  }
  Time due = this->now + kTick;
  due += rule == nullptr ? Duration(0) : rule->delay;
  due += this->now < this->storeSlowUntil ? milliseconds(200) : Duration(0);
  due += this->now < node.reorderUntil ? milliseconds(250) : Duration(0);
  if (node.effectLate) {
    node.effectLate = false;
    fail(ErrorCode::Unknown, milliseconds(300));
    this->writes.push_back(
      { aFrom, this->now + milliseconds(350), aStart, false });
    return;
  }
  if (this->now < node.answersLostUntil) {
    fail(ErrorCode::Unknown, kAnswerTimeout);
    this->writes.push_back({ aFrom, due, aStart, false });
    return;
  }
  this->writes.push_back({ aFrom, due, aStart, true });
  if (node.doubled > 0) {
    --node.doubled;
    this->writes.push_back({ aFrom, due + milliseconds(250), aStart, false });
  }
}

void
FaultyCluster::RunWrites()
{
  std::vector<Write> due;
  std::vector<Write> left;
  for (auto& write : this->writes) {
    (write.due <= this->now ? due : left).push_back(std::move(write));
  }
  this->writes = std::move(left);
  for (const auto& write : due) {
    ++this->storeWrites;
    auto result = this->store.Transact(write.start.transaction);
    if (write.answer) {
      this->AnswerWrite(write, result);
    }
  }
}

void
FaultyCluster::AnswerWrite(const Write& aWrite,
                           Result<TransactionResult> aResult)
{
  const LinkRule* rule = this->RuleFor(this->StoreIndex(), aWrite.from);
  Time due = this->now + kTick;
  due += this->now < this->storeSlowUntil ? milliseconds(200) : Duration(0);
  if (rule != nullptr && rule->drop) {
    aResult = tl::unexpected(NoAnswer(ErrorCode::Unknown));
    due = this->now + kAnswerTimeout;
  } else if (rule != nullptr) {
    due += rule->delay;
  }
  if (aResult && aResult->committed) {
    this->checker.Acknowledged(aWrite.start.transaction);
  }
  this->messages.push_back({ this->StoreIndex(),
                             aWrite.from,
                             due,
                             TransactionAnswer{ aWrite.start.id, aResult } });
}

void
FaultyCluster::DeliverMessages()
{
  std::vector<Message> left;
  for (auto& message : this->messages) {
    if (message.due > this->now) {
      left.push_back(std::move(message));
      continue;
    }
    Node& node = this->nodes[message.to];
    if (node.alive) {
      node.inbox.push_back(std::move(message.input));
    }
  }
  this->messages = std::move(left);
}

void
FaultyCluster::Poll(size_t aNode)
{
  Node& node = this->nodes[aNode];
  if (this->now < node.nextPoll) {
    return;
  }
  node.nextPoll = this->now + kPollInterval;
  const LinkRule* out = this->RuleFor(aNode, this->StoreIndex());
  const LinkRule* in = this->RuleFor(this->StoreIndex(), aNode);
  bool cut = (out != nullptr && out->drop) || (in != nullptr && in->drop);
  bool reachable = !cut && this->now >= this->storeDownUntil;
  if (reachable != node.storeReachable) {
    node.storeReachable = reachable;
    node.inbox.push_back(StoreReachable{ reachable });
  }
  if (!reachable) {
    return;
  }
  Time due = this->now + kTick;
  due += this->now < this->storeSlowUntil ? milliseconds(400) : Duration(0);
  due += out == nullptr ? Duration(0) : 2 * out->delay;
  std::pair<const char*, RowVersion*> tables[] = {
    { kMemberTable, &node.readMembers },
    { kAssignmentTable, &node.readAssignments }
  };
  for (auto [table, since] : tables) {
    auto read = this->store.ReadChanges(table, *since);
    *since = read->revision;
    if (!read->rows.empty()) {
      this->messages.push_back(
        { this->StoreIndex(), aNode, due, RowsLearned{ read->rows } });
    }
  }
}

void
FaultyCluster::SendGrants(size_t aNode)
{
  Node& node = this->nodes[aNode];
  Time local = this->Local(node);
  bool due = this->now >= node.nextGrant && node.backendHealthy;
  if (!due || !node.backend.alive) {
    return;
  }
  node.nextGrant = this->now + kGrantInterval;
  wire::Grants grants;
  grants.set_incarnation(node.published.incarnation);
  grants.set_sequence(++node.grantSequence);
  Time until = std::min(node.published.leaseUntil,
                        local + this->options.lease.backendGrant);
  node.grantedUntil = std::max(node.grantedUntil, until);
  grants.set_lease_until_boot_ns(ToBootNanoseconds(until));
  for (const auto& owned : node.published.partitions) {
    auto* granted = grants.add_partitions();
    granted->set_partition(owned.partition.index);
    granted->set_epoch(owned.epoch);
  }
  bool frozen = this->now < node.backend.frozenUntil;
  if (frozen) {
    node.backend.waiting.push_back(grants);
  } else {
    node.backend.grants = grants;
  }
}

void
FaultyCluster::CheckBackend(size_t aNode)
{
  Node& node = this->nodes[aNode];
  bool frozen = !node.backend.alive || this->now < node.backend.frozenUntil;
  if (frozen && node.frozenSince == Time()) {
    node.frozenSince = this->now;
  }
  if (!frozen) {
    node.frozenSince = Time();
  }
  if (this->now >= node.nextAnnounce && !frozen) {
    node.nextAnnounce = this->now + kAnnounceInterval;
    node.inbox.push_back(BackendAnnounced{
      kService, "backend", 6, 120, this->options.checksGrant });
  }
  if (this->now < node.nextHealth) {
    return;
  }
  node.nextHealth = this->now + kHealthInterval;
  bool lost = frozen && this->now - node.frozenSince >= kHealthTimeout;
  if (lost && node.backendHealthy) {
    node.backendHealthy = false;
    node.inbox.push_back(BackendLost{ node.grantedUntil });
  }
  if (!frozen && !node.backendHealthy) {
    node.backendHealthy = true;
    node.inbox.push_back(BackendReturned{});
  }
}

void
FaultyCluster::Observe()
{
  for (uint32_t index = 0; index < kPartitions; ++index) {
    PartitionId partition{ kService, index };
    std::vector<size_t> owners;
    bool answers = false;
    for (size_t node = 0; node < this->nodes.size(); ++node) {
      const Node& entry = this->nodes[node];
      bool runs = entry.alive && this->now >= entry.pausedUntil;
      if (runs && entry.serving->Serves(this->Local(entry), partition)) {
        owners.push_back(node);
        const Backend& backend = entry.backend;
        answers = backend.alive && this->now >= backend.frozenUntil;
      }
    }
    this->checker.Served(this->now, partition, owners, answers);
  }
}

size_t
FaultyCluster::ServedCount() const
{
  size_t count = 0;
  for (uint32_t index = 0; index < kPartitions; ++index) {
    for (const auto& node : this->nodes) {
      bool serves = node.alive && node.serving->Serves(this->Local(node),
                                                       { kService, index });
      count += serves ? 1 : 0;
    }
  }
  return count;
}

bool
FaultyCluster::Struck() const
{
  return this->struck;
}

Time
FaultyCluster::StruckAt() const
{
  return this->struckAt;
}

Time
FaultyCluster::Now() const
{
  return this->now;
}

bool
FaultyCluster::Alive(size_t aNode) const
{
  return this->nodes[aNode].alive;
}

bool
FaultyCluster::Stopped(size_t aNode) const
{
  return this->nodes[aNode].stopped;
}

const OwnershipSystem&
FaultyCluster::System(size_t aNode) const
{
  return *this->nodes[aNode].system;
}

OwnershipChecker&
FaultyCluster::Checker()
{
  return this->checker;
}

void
FaultyCluster::CompareWithStore()
{
  this->checker.CompareWith(this->store.ReadChanges(kAssignmentTable, 0)->rows);
}

uint64_t
FaultyCluster::StoreWrites() const
{
  return this->storeWrites;
}

} // namespace fescuetiller
