#include "cluster/clustersimulation.h"

#include <algorithm>
#include <deque>

#include "platform/evacuationkeys.h"

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kService = "agenda";
constexpr Duration kTickInterval = milliseconds(100);
constexpr Duration kPollInterval = milliseconds(250);
constexpr Duration kHeartbeat = milliseconds(870);
constexpr Duration kReleaseHeartbeat = milliseconds(100);
/** Time within which a server accepts the reply to a heartbeat. */
constexpr Duration kReplyTimeout = seconds(1);
/** Factor by which a server with a slow clock holds keys longer. */
constexpr double kSlowClock = 1.02;
constexpr Duration kStoreTimeout = seconds(1);
constexpr size_t kMaxHistory = 12;
constexpr double kLossShare = 0.33;
constexpr Duration kCopyInterval = milliseconds(500);
constexpr size_t kMaxCopies = 21; ///< Ten seconds.
/** How long the store is away before it comes back from a copy. */
constexpr Duration kRestoreTime = milliseconds(700);
/** Member that another writer adds; no process has this id. */
constexpr const char* kOddMember = "eeeeeeeeeeeeeee1";
/** Owner of a range that another writer adds; not even a member. */
constexpr const char* kOddOwner = "fffffffffffffff1";

/** Adds the era to a version of the store, as the store's client does. */
RowVersion
WithEra(RowVersion aVersion, StoreEra aEra)
{
  return aVersion == 0 ? 0 : MakeRowVersion(aEra, aVersion);
}

AgentSettings
Settings(const BrokenRules& aBroken)
{
  AgentSettings settings;
  settings.heartbeat = kHeartbeat;
  if (aBroken.shortPromise) {
    settings.times.promise = milliseconds(3000);
    settings.times.clockDrift = -0.8;
  }
  if (aBroken.grantWithoutLease) {
    settings.times.promise = seconds(9);
    settings.times.clockDrift = -0.65;
  }
  return settings;
}

} // namespace

const char*
ToString(ClusterFault aFault)
{
  switch (aFault) {
    case ClusterFault::None:
      return "none";
    case ClusterFault::DaemonKilled:
      return "daemon killed";
    case ClusterFault::MachineRestarted:
      return "machine restarted";
    case ClusterFault::MachineLost:
      return "machine lost";
    case ClusterFault::ServerCrashed:
      return "server crashed";
    case ClusterFault::ServerRestartedSameId:
      return "server restarted with the same id";
    case ClusterFault::ServerSilent:
      return "server silent";
    case ClusterFault::ServerDraining:
      return "server draining";
    case ClusterFault::DaemonFrozen:
      return "daemon frozen";
    case ClusterFault::HeartbeatsDelayed:
      return "heartbeats delayed";
    case ClusterFault::PeersUnreachable:
      return "peers unreachable";
    case ClusterFault::DaemonIsolated:
      return "daemon isolated";
    case ClusterFault::StoreUnreachable:
      return "store unreachable";
    case ClusterFault::StoreUnavailable:
      return "store unavailable";
    case ClusterFault::StoreUnresponsive:
      return "store unresponsive";
    case ClusterFault::ResponsesLost:
      return "responses lost";
    case ClusterFault::CommitsDelayed:
      return "commits delayed";
    case ClusterFault::PacketLoss:
      return "packet loss";
    case ClusterFault::AllDaemonsKilled:
      return "all daemons killed";
    case ClusterFault::AllMachinesRestarted:
      return "all machines restarted";
    case ClusterFault::HotKeys:
      return "hot keys";
    case ClusterFault::MemberDrained:
      return "member drained";
    case ClusterFault::MachineAdded:
      return "machine added";
    case ClusterFault::StoreRestored:
      return "store restored from an older copy";
    case ClusterFault::OddMemberRow:
      return "odd member row";
    case ClusterFault::OddRangeRow:
      return "odd range row";
    case ClusterFault::ZoneEvacuated:
      return "zone evacuated";
  }
  return "unknown";
}

/** A daemon and the backend server beside it. */
struct ClusterSimulation::Node
{
  std::string address;
  std::unique_ptr<OwnershipAgent> agent;
  uint64_t run = 0; ///< Counts the daemon's processes.
  bool daemonUp = false;
  Time frozenUntil;
  RowVersion seenVersion = 0;
  bool loaded = false;
  bool transacting = false;

  uint64_t incarnation = 0; ///< Counts the server's incarnations.
  bool serverUp = false;
  bool draining = false;
  ServerIncarnation identity;
  uint64_t sequence = 0;
  std::vector<Holding> held;
  std::vector<ReleasedRange> released;
  std::map<Key, Fence> seenFences;

  bool lost = false;
  Time peersUnreachableUntil;
  Time storeUnreachableUntil;
  Time heartbeatsDelayedUntil;
  bool hotKeys = false;
  std::deque<std::string> history; ///< Latest events of the daemon.
};

ClusterSimulation::ClusterSimulation(size_t aNodes,
                                     uint64_t aSeed,
                                     BrokenRules aBroken)
  : now(FromBootNanoseconds(1000000000))
  , random(aSeed)
  , broken(aBroken)
  , highest(kLastKey + 1, { 0, SIZE_MAX })
  , handovers(kLastKey + 1)
  , pollInterval(kPollInterval)
{
  this->CopyStore();
  for (size_t index = 0; index < aNodes; ++index) {
    this->AddNode();
  }
}

ClusterSimulation::~ClusterSimulation() = default;

void
ClusterSimulation::AddNode()
{
  size_t index = this->nodes.size();
  auto node = std::make_unique<Node>();
  node->address = "10.0.0." + std::to_string(index + 1);
  this->nodes.push_back(std::move(node));
  this->Schedule(this->DrawDuration(milliseconds(0), milliseconds(300)),
                 [this, index] {
                   this->StartDaemon(index);
                   this->StartServer(index, false);
                 });
}

void
ClusterSimulation::CopyStore()
{
  this->copies.push_front(this->store);
  if (this->copies.size() > kMaxCopies) {
    this->copies.pop_back();
  }
  this->Schedule(kCopyInterval, [this] { this->CopyStore(); });
}

void
ClusterSimulation::UpdateEra(size_t aNode)
{
  auto& node = *this->nodes[aNode];
  if (!this->broken.ignoreEra && node.agent->Era() != this->store.Era()) {
    node.agent->OnStoreEra(this->now, this->store.Era());
    node.loaded = false;
  }
  if (this->broken.ignoreEra && node.seenVersion > this->store.Version()) {
    node.loaded = false; // The store does not have that version.
  }
}

StoreRows
ClusterSimulation::ReadRows(size_t aNode, std::vector<StoreRow> aRows) const
{
  auto& agent = *this->nodes[aNode]->agent;
  auto era = agent.Era();
  StoreRows read;
  read.version = WithEra(this->store.Version(), era);
  read.rows = FromStored(std::move(aRows), era);
  for (auto& row : read.rows) {
    row.version = WithEra(row.version, era);
  }
  return read;
}

void
ClusterSimulation::WriteRow(StoreRow aRow)
{
  aRow.key = ToStoredKey(std::move(aRow.key), this->store.Era());
  this->store.Apply({ {}, { aRow }, {} });
}

void
ClusterSimulation::WriteOddRange(size_t aNode)
{
  constexpr KeyRange kKeys{ 10001, 10002 };
  constexpr KeyRange kManyKeys{ 9000, 30000 };
  constexpr uint64_t kVariants = 5;
  RangeRecord range{ kService, kKeys, kOddOwner, 1, "" };
  switch (this->random() % kVariants) {
    case 0:
      break;
    case 1:
      range.epoch = UINT64_MAX;
      break;
    case 2:
      range.range = kManyKeys;
      break;
    case 3:
      range.owner = this->nodes[aNode]->agent->ServingStateAt(this->now).member;
      break;
    default:
      range.range = kManyKeys;
      range.owner = this->nodes[aNode]->agent->ServingStateAt(this->now).member;
      range.epoch = 9;
  }
  auto key = RangeKey(kService, range.range.first);
  if (this->store.Find(ToStoredKey(key, this->store.Era())) == nullptr) {
    this->WriteRow(ToRow(range));
  }
}

StoreOutcome
ClusterSimulation::Apply(StoreTransaction aChange, StoreEra aEra)
{
  for (const auto& row : aChange.sets) {
    auto range = ParseRange(row);
    if (range && range->owner == kOddMember) {
      this->violations.push_back(ToString(range->range) +
                                 " is given to a member that has no process");
    }
  }
  for (auto& condition : aChange.conditions) {
    condition.version = NumberOf(condition.version);
  }
  auto outcome = this->store.Apply(ToStored(aChange, aEra));
  outcome.version = WithEra(outcome.version, aEra);
  outcome.current = FromStored(std::move(outcome.current), aEra);
  for (auto& row : outcome.current) {
    row.version = WithEra(row.version, aEra);
  }
  return outcome;
}

bool
ClusterSimulation::DrawChance(double aShare)
{
  return std::uniform_real_distribution<double>(0, 1)(this->random) < aShare;
}

Duration
ClusterSimulation::DrawDuration(Duration aLeast, Duration aMost)
{
  return Duration(std::uniform_int_distribution<int64_t>(
    aLeast.count(), aMost.count())(this->random));
}

void
ClusterSimulation::Schedule(Duration aDelay, Action aAction)
{
  this->actions.emplace(std::pair(this->now + aDelay, this->actionCount++),
                        std::move(aAction));
}

void
ClusterSimulation::RunFor(Duration aTime)
{
  auto end = this->now + aTime;
  while (!this->actions.empty() && this->actions.begin()->first.first <= end) {
    auto entry = this->actions.extract(this->actions.begin());
    this->now = entry.key().first;
    entry.mapped()();
  }
  this->now = end;
}

void
ClusterSimulation::StartDaemon(size_t aNode)
{
  auto& node = *this->nodes[aNode];
  if (node.lost) {
    return;
  }
  ++node.run;
  node.daemonUp = true;
  node.loaded = false;
  node.transacting = false;
  node.frozenUntil = Time();
  node.agent = std::make_unique<OwnershipAgent>(
    AgentIdentity{ kService,
                   ZoneOf(aNode),
                   node.address + ":2",
                   node.address + ":3",
                   node.address + ":1" },
    Settings(this->broken),
    [this] { return ToHex(this->random()); },
    [this] {
      return std::uniform_real_distribution<double>(0, 1)(this->random);
    });
  node.agent->SetOwnsKeys(true);
  this->TickDaemon(aNode, node.run);
  this->PollStore(aNode, node.run);
}

void
ClusterSimulation::StartServer(size_t aNode, bool aSameId)
{
  auto& node = *this->nodes[aNode];
  if (node.lost) {
    return;
  }
  ++node.incarnation;
  node.serverUp = true;
  node.draining = false;
  node.held.clear();
  node.released.clear();
  node.seenFences.clear();
  node.sequence = 0;
  if (!aSameId) {
    node.identity.id =
      "i-" + std::to_string(aNode) + "-" + std::to_string(node.incarnation);
  }
  node.identity.startedAt = ToBootNanoseconds(this->now) / 1000000;
  this->Schedule(this->DrawDuration(milliseconds(50), milliseconds(800)),
                 [this, aNode, incarnation = node.incarnation] {
                   this->SendHeartbeat(aNode, incarnation);
                 });
}

void
ClusterSimulation::TickDaemon(size_t aNode, uint64_t aRun)
{
  auto& node = *this->nodes[aNode];
  if (!node.daemonUp || node.run != aRun) {
    return;
  }
  if (this->now >= node.frozenUntil) {
    std::vector<KeyWeight> weights;
    if (node.hotKeys) {
      for (Key key = 0; key <= kLastKey; key += 512) {
        weights.push_back({ key, 0.05 });
      }
    }
    node.agent->SetLoads(weights, 0, {});
    this->DeliverOutput(aNode, node.agent->Tick(this->now));
    this->SendTransaction(aNode);
    this->RecordEvents(node);
  }
  this->Schedule(kTickInterval,
                 [this, aNode, aRun] { this->TickDaemon(aNode, aRun); });
}

/** Keeps the latest events of a daemon to describe a failure. */
void
ClusterSimulation::RecordEvents(Node& aNode)
{
  for (const auto& event : aNode.agent->TakeEvents()) {
    std::string line =
      std::to_string(ToMilliseconds(this->now.time_since_epoch())) + " " +
      event.name;
    for (const auto& [name, value] : event.fields) {
      line.append(" ").append(name).append("=").append(value);
    }
    aNode.history.push_back(line);
    if (aNode.history.size() > kMaxHistory) {
      aNode.history.pop_front();
    }
  }
}

void
ClusterSimulation::DeliverOutput(size_t aNode,
                                 const OwnershipAgent::Output& aOutput)
{
  for (const auto& message : aOutput.messages) {
    this->SendPeerMessage(aNode, message);
  }
  auto& node = *this->nodes[aNode];
  for (const auto& key : aOutput.leaseReads) {
    if (!this->IsStoreResponding(aNode)) {
      continue;
    }
    const auto* found = this->store.Find(ToStoredKey(key, node.agent->Era()));
    RowVersion leaseVersion =
      found == nullptr ? 0 : WithEra(found->version, node.agent->Era());
    this->Schedule(
      milliseconds(5), [this, &node, key, leaseVersion, run = node.run] {
        if (node.daemonUp && node.run == run) {
          node.agent->OnLongLeaseRead(this->now, key.key, leaseVersion);
        }
      });
  }
}

void
ClusterSimulation::SendPeerMessage(size_t aFrom,
                                   const OutgoingMessage& aMessage)
{
  auto& from = *this->nodes[aFrom];
  this->CountRowDatagram(aFrom, aMessage);
  bool lost =
    this->now < from.peersUnreachableUntil ||
    (this->now < this->packetLossUntil && this->DrawChance(kLossShare));
  for (size_t index = 0; index < this->nodes.size(); ++index) {
    auto& node = *this->nodes[index];
    if (lost || node.address + ":3" != aMessage.address ||
        this->now < node.peersUnreachableUntil) {
      continue;
    }
    auto message = aMessage.message;
    message.evacuations = from.agent->ZoneEvacuations().Orders();
    auto encoded = Encode(message);
    auto deliver = std::make_shared<Action>();
    *deliver = [this, index, aFrom, encoded, deliver] {
      auto& target = *this->nodes[index];
      if (!target.daemonUp) {
        return;
      }
      if (this->now < target.frozenUntil) {
        // Datagrams are queued in the socket of a suspended process.
        this->Schedule(target.frozenUntil - this->now, *deliver);
        return;
      }
      for (auto& reply : target.agent->OnPeerMessage(
             this->now, *DecodePeerMessage(encoded))) {
        if (reply.address.empty()) {
          reply.address = this->nodes[aFrom]->address + ":3";
        }
        this->SendPeerMessage(index, reply);
      }
    };
    this->Schedule(this->DrawDuration(milliseconds(1), milliseconds(4)),
                   *deliver);
  }
}

void
ClusterSimulation::CountRowDatagram(size_t aFrom,
                                    const OutgoingMessage& aMessage)
{
  // Only the cases that send promptly read the counts, which cost time.
  if (!this->promptSending ||
      aMessage.message.kind != PeerMessage::Kind::Rows) {
    return;
  }
  PeerMessage content;
  content.rows = aMessage.message.rows;
  bool isNew = this->sentRows.insert(Encode(content)).second;
  for (size_t index = 0; index < this->nodes.size(); ++index) {
    bool isOther = ZoneOf(index) != ZoneOf(aFrom);
    bool isReceiver = this->nodes[index]->address + ":3" == aMessage.address;
    this->rowReceiversInOtherZones += isOther && isNew ? 1 : 0;
    this->rowDatagramsBetweenZones += isOther && isReceiver ? 1 : 0;
  }
}

bool
ClusterSimulation::IsStoreResponding(size_t aNode) const
{
  return this->now >= this->storeUnavailableUntil &&
         this->now >= this->storeUnresponsiveUntil &&
         this->now >= this->nodes[aNode]->storeUnreachableUntil;
}

void
ClusterSimulation::PollStore(size_t aNode, uint64_t aRun)
{
  auto& node = *this->nodes[aNode];
  if (!node.daemonUp || node.run != aRun) {
    return;
  }
  bool reachable = this->IsStoreResponding(aNode);
  if (this->now >= node.frozenUntil) {
    node.agent->SetStoreReachable(reachable);
  }
  if (reachable && this->now >= node.frozenUntil) {
    this->UpdateEra(aNode);
    this->ReadOrders(node, this->store.ChangesAfter(node.seenVersion));
    if (!node.loaded) {
      auto stored = this->store.Read({ kClusterTable, kService, "" });
      auto read = this->ReadRows(aNode, stored.rows);
      if (read.rows.size() < stored.rows.size()) {
        node.agent->SetHasEarlierRows(this->now);
      }
      node.agent->OnRows(this->now, kService, read);
      node.loaded = true;
    } else {
      auto changes = this->store.ChangesAfter(node.seenVersion);
      for (const auto& row : this->ReadRows(aNode, changes).rows) {
        if (!ParseEvacuationKey(row.key)) {
          node.agent->OnRow(this->now, row);
        }
      }
    }
    node.seenVersion = this->store.Version();
    node.agent->OnRowsComplete(WithEra(node.seenVersion, node.agent->Era()));
  }
  this->Schedule(this->pollInterval,
                 [this, aNode, aRun] { this->PollStore(aNode, aRun); });
}

/** Reads the operators' orders, or their changes once they are loaded. */
void
ClusterSimulation::ReadOrders(Node& aNode,
                              const std::vector<StoreRow>& aChanges)
{
  auto era = aNode.agent->Era();
  auto version = WithEra(this->store.Version(), era);
  auto& evacuations = aNode.agent->ZoneEvacuations();
  if (!aNode.loaded) {
    std::set<std::string> zones;
    for (const auto& row : this->store.Read(EvacuationKey("")).rows) {
      if (auto zone = ParseEvacuationKey(row.key)) {
        zones.insert(*zone);
      }
    }
    evacuations.OnRead(this->now, version, std::move(zones));
  } else {
    std::vector<EvacuationChange> changes;
    for (const auto& row : aChanges) {
      if (auto zone = ParseEvacuationKey(row.key)) {
        changes.push_back({ *zone, WithEra(row.version, era), row.removed });
      }
    }
    evacuations.OnChanges(this->now, version, changes);
  }
  evacuations.OnConfirmed(this->now);
}

void
ClusterSimulation::SendTransaction(size_t aNode)
{
  auto& node = *this->nodes[aNode];
  if (node.transacting) {
    return;
  }
  auto change = node.agent->Transactions().Next(this->now);
  if (!change) {
    return;
  }
  node.transacting = true;
  auto era = node.agent->Era();
  auto respond =
    [this, aNode, run = node.run](const Result<StoreOutcome>& aResponse) {
      auto& target = *this->nodes[aNode];
      if (!target.daemonUp || target.run != run) {
        return;
      }
      target.transacting = false;
      if (aResponse) {
        this->UpdateEra(aNode);
      }
      target.agent->Transactions().OnResponse(this->now, aResponse);
      if (this->promptSending) {
        this->DeliverOutput(aNode, target.agent->Tick(this->now));
      }
      this->SendTransaction(aNode);
    };
  Error unknown{ ErrorCode::Unknown, "change", "store", "no response" };
  Error unavailable{ ErrorCode::Unavailable, "change", "store", "status 503" };
  bool silent = this->now < this->storeUnresponsiveUntil ||
                this->now < node.storeUnreachableUntil;
  if (silent || this->now < this->storeUnavailableUntil) {
    this->Schedule(silent ? kStoreTimeout : milliseconds(5), [=] {
      respond(tl::unexpected(silent ? unknown : unavailable));
    });
    return;
  }
  if (this->now < this->commitsDelayedUntil && this->DrawChance(0.5)) {
    this->Schedule(this->DrawDuration(seconds(1), seconds(6)),
                   [this, change, era] { this->Apply(*change, era); });
    this->Schedule(kStoreTimeout, [=] { respond(tl::unexpected(unknown)); });
    return;
  }
  bool lose = this->now < this->responsesLostUntil && this->DrawChance(0.5);
  this->Schedule(this->DrawDuration(milliseconds(3), milliseconds(8)),
                 [this, change, era, respond, lose, unknown] {
                   auto outcome = this->Apply(*change, era);
                   if (lose) {
                     this->Schedule(kStoreTimeout,
                                    [=] { respond(tl::unexpected(unknown)); });
                   } else {
                     respond(outcome);
                   }
                 });
}

void
ClusterSimulation::SendHeartbeat(size_t aNode, uint64_t aIncarnation)
{
  auto& node = *this->nodes[aNode];
  if (!node.serverUp || node.incarnation != aIncarnation) {
    return;
  }
  node.held.erase(std::remove_if(node.held.begin(),
                                 node.held.end(),
                                 [&](const Holding& aHeld) {
                                   return aHeld.until <= this->now;
                                 }),
                  node.held.end());
  ServerReport report;
  report.incarnation = node.identity;
  report.service = kService;
  report.address = node.address + ":1";
  report.slots = 6;
  report.draining = node.draining;
  report.sequence = ++node.sequence;
  for (const auto& held : node.held) {
    report.grantedRanges.push_back({ held.range, held.fence });
  }
  report.releasedRanges = std::exchange(node.released, {});
  auto delay = this->now < node.heartbeatsDelayedUntil
                 ? this->DrawDuration(milliseconds(500), milliseconds(2500))
                 : this->DrawDuration(milliseconds(0), milliseconds(2));
  auto deliver = std::make_shared<Action>();
  auto sentAt = this->now;
  *deliver = [this, aNode, aIncarnation, report, sentAt, deliver] {
    auto& target = *this->nodes[aNode];
    if (!target.daemonUp) {
      return;
    }
    if (this->now < target.frozenUntil) {
      this->Schedule(target.frozenUntil - this->now, *deliver);
      return;
    }
    auto reply = target.agent->OnHeartbeat(this->now, report);
    this->Schedule(milliseconds(1), [this, aNode, aIncarnation, sentAt, reply] {
      this->ApplyReply(aNode, aIncarnation, sentAt, reply);
    });
  };
  this->Schedule(delay, *deliver);
  this->Schedule(kHeartbeat, [this, aNode, aIncarnation] {
    this->SendHeartbeat(aNode, aIncarnation);
  });
}

void
ClusterSimulation::ApplyReply(size_t aNode,
                              uint64_t aIncarnation,
                              Time aSentAt,
                              const HeartbeatReply& aReply)
{
  auto& node = *this->nodes[aNode];
  if (!node.serverUp || node.incarnation != aIncarnation || !aReply.grants ||
      this->now - aSentAt > kReplyTimeout) {
    return;
  }
  auto until = aSentAt + std::chrono::duration_cast<Duration>(
                           aReply.grants->validFor * kSlowClock);
  std::vector<Holding> granted;
  for (const auto& grant : aReply.grants->ranges) {
    auto highestSeen =
      std::max_element(node.seenFences.lower_bound(grant.range.first),
                       node.seenFences.upper_bound(grant.range.last),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second < aRight.second;
                       });
    bool any = highestSeen != node.seenFences.upper_bound(grant.range.last);
    if ((any && highestSeen->second > grant.fence) || until <= this->now) {
      continue;
    }
    node.seenFences[grant.range.first] = grant.fence;
    this->CountColdKeys(node, grant);
    this->CheckGrant(aNode, grant);
    granted.push_back({ grant.range, grant.fence, until });
  }
  bool releasing = false;
  for (const auto& held : node.held) {
    std::vector<KeyRange> left{ held.range };
    for (const auto& other : granted) {
      left = Subtract(left, other.range);
    }
    for (const auto& range : left) {
      releasing = true;
      this->Release(node, range);
    }
  }
  node.held = std::move(granted);
  if (releasing) {
    this->Schedule(kReleaseHeartbeat, [this, aNode, aIncarnation] {
      // One additional heartbeat; the regular ones continue.
      auto& target = *this->nodes[aNode];
      if (!target.serverUp || target.incarnation != aIncarnation ||
          !target.daemonUp || this->now < target.frozenUntil) {
        return;
      }
      ServerReport report;
      report.incarnation = target.identity;
      report.service = kService;
      report.address = target.address + ":1";
      report.slots = 6;
      report.draining = target.draining;
      report.sequence = ++target.sequence;
      for (const auto& held : target.held) {
        report.grantedRanges.push_back({ held.range, held.fence });
      }
      report.releasedRanges = std::exchange(target.released, {});
      auto reply = target.agent->OnHeartbeat(this->now, report);
      this->ApplyReply(aNode, aIncarnation, this->now, reply);
    });
  }
}

void
ClusterSimulation::Release(Node& aNode, const KeyRange& aRange)
{
  auto handover = "h" + std::to_string(++this->releases);
  aNode.released.push_back({ aRange, handover });
  std::fill(this->handovers.begin() + aRange.first,
            this->handovers.begin() + aRange.last + 1,
            handover);
}

void
ClusterSimulation::CountColdKeys(const Node& aNode, const Grant& aGrant)
{
  std::vector<KeyRange> arriving{ aGrant.range };
  for (const auto& held : aNode.held) {
    arriving = Subtract(arriving, held.range);
  }
  for (const auto& range : arriving) {
    for (Key key = range.first; key <= range.last; ++key) {
      auto handover = std::exchange(this->handovers[key], "");
      bool isFirst = this->highest[key].second == SIZE_MAX;
      this->coldKeys +=
        !isFirst && (handover.empty() || handover != aGrant.handover) ? 1 : 0;
    }
  }
}

size_t
ClusterSimulation::Releases() const
{
  return this->releases;
}

size_t
ClusterSimulation::ColdKeys() const
{
  return this->coldKeys;
}

void
ClusterSimulation::CheckGrant(size_t aNode, const Grant& aGrant)
{
  for (size_t index = 0; index < this->nodes.size(); ++index) {
    const auto& other = *this->nodes[index];
    if (index == aNode || !other.serverUp) {
      continue;
    }
    for (const auto& held : other.held) {
      if (held.until > this->now && held.range.Overlaps(aGrant.range)) {
        this->violations.push_back(
          "at " + std::to_string(ToMilliseconds(this->now.time_since_epoch())) +
          " ms server " + std::to_string(aNode) + " is granted " +
          ToString(aGrant.range) + " while server " + std::to_string(index) +
          " holds " + ToString(held.range));
      }
    }
  }
  for (Key key = aGrant.range.first; key <= aGrant.range.last; ++key) {
    auto& [fence, holder] = this->highest[key];
    if (holder != aNode && holder != SIZE_MAX && fence >= aGrant.fence) {
      this->violations.push_back("server " + std::to_string(aNode) +
                                 " is granted key " + std::to_string(key) +
                                 " with a fence that is not higher");
      break;
    }
    if (fence < aGrant.fence) {
      fence = aGrant.fence;
      holder = aNode;
    }
  }
}

void
ClusterSimulation::Inject(ClusterFault aFault, size_t aNode)
{
  auto& node = *this->nodes[aNode];
  auto kill = [this](size_t aIndex, Duration aRestart) {
    this->nodes[aIndex]->daemonUp = false;
    this->Schedule(aRestart, [this, aIndex] { this->StartDaemon(aIndex); });
  };
  auto off = [this, kill](size_t aIndex, Duration aRestart) {
    kill(aIndex, aRestart);
    this->nodes[aIndex]->serverUp = false;
    this->Schedule(aRestart,
                   [this, aIndex] { this->StartServer(aIndex, false); });
  };
  switch (aFault) {
    case ClusterFault::None:
      break;
    case ClusterFault::DaemonKilled:
      kill(aNode, milliseconds(700));
      break;
    case ClusterFault::MachineRestarted:
      off(aNode, seconds(2));
      break;
    case ClusterFault::MachineLost:
      node.daemonUp = false;
      node.serverUp = false;
      node.lost = true;
      break;
    case ClusterFault::ServerCrashed:
      node.serverUp = false;
      this->Schedule(milliseconds(150), [this, &node] {
        if (node.daemonUp && !node.serverUp) {
          node.agent->OnConnectionRefused(this->now);
        }
      });
      this->Schedule(seconds(4),
                     [this, aNode] { this->StartServer(aNode, false); });
      break;
    case ClusterFault::ServerRestartedSameId:
      node.serverUp = false;
      this->Schedule(milliseconds(500),
                     [this, aNode] { this->StartServer(aNode, true); });
      break;
    case ClusterFault::ServerSilent:
      node.serverUp = false;
      break;
    case ClusterFault::ServerDraining:
      node.draining = true;
      this->Schedule(seconds(5), [this, aNode, incarnation = node.incarnation] {
        auto& target = *this->nodes[aNode];
        if (target.incarnation == incarnation) {
          target.serverUp = false;
        }
      });
      break;
    case ClusterFault::DaemonFrozen:
      node.frozenUntil = this->now + seconds(5);
      break;
    case ClusterFault::HeartbeatsDelayed:
      node.heartbeatsDelayedUntil = this->now + seconds(6);
      break;
    case ClusterFault::PeersUnreachable:
      node.peersUnreachableUntil = this->now + seconds(7);
      break;
    case ClusterFault::DaemonIsolated:
      node.peersUnreachableUntil = this->now + seconds(12);
      node.storeUnreachableUntil = this->now + seconds(12);
      break;
    case ClusterFault::StoreUnreachable:
      node.storeUnreachableUntil = this->now + seconds(9);
      break;
    case ClusterFault::StoreUnavailable:
      this->storeUnavailableUntil = this->now + seconds(9);
      break;
    case ClusterFault::StoreUnresponsive:
      this->storeUnresponsiveUntil = this->now + seconds(9);
      break;
    case ClusterFault::ResponsesLost:
      this->responsesLostUntil = this->now + seconds(6);
      break;
    case ClusterFault::CommitsDelayed:
      this->commitsDelayedUntil = this->now + seconds(6);
      break;
    case ClusterFault::PacketLoss:
      this->packetLossUntil = this->now + seconds(6);
      break;
    case ClusterFault::AllDaemonsKilled:
      for (size_t index = 0; index < this->nodes.size(); ++index) {
        kill(index, milliseconds(1000));
      }
      break;
    case ClusterFault::AllMachinesRestarted:
      for (size_t index = 0; index < this->nodes.size(); ++index) {
        off(index, seconds(2));
      }
      break;
    case ClusterFault::HotKeys:
      node.hotKeys = true;
      this->Schedule(seconds(6), [&node] { node.hotKeys = false; });
      break;
    case ClusterFault::MemberDrained:
      this->SetDrain(aNode, true);
      this->Schedule(seconds(12),
                     [this, aNode] { this->SetDrain(aNode, false); });
      break;
    case ClusterFault::MachineAdded:
      this->AddNode();
      break;
    case ClusterFault::StoreRestored:
      this->storeUnavailableUntil = this->now + kRestoreTime;
      this->Schedule(kRestoreTime / 2, [this] {
        auto age = std::uniform_int_distribution<size_t>(
          0, this->copies.size() - 1)(this->random);
        this->store.Restore(this->copies[age]);
        this->copies.clear();
        this->copies.push_front(this->store);
      });
      break;
    case ClusterFault::OddMemberRow:
      this->WriteRow(ToRow(MemberRecord{ kOddMember,
                                         kService,
                                         "zone-0",
                                         "10.9.9.9:2",
                                         "10.9.9.9:3",
                                         MemberState::Ready,
                                         {} }));
      break;
    case ClusterFault::OddRangeRow:
      this->WriteOddRange(aNode);
      break;
    case ClusterFault::ZoneEvacuated:
      this->SetEvacuated(ZoneOf(aNode), true);
      this->Schedule(seconds(12), [this, aNode] {
        this->SetEvacuated(ZoneOf(aNode), false);
      });
      break;
  }
}

void
ClusterSimulation::SetEvacuated(const std::string& aZone, bool aEvacuated)
{
  auto key = EvacuationKey(aZone);
  if (aEvacuated) {
    this->store.Apply({ {}, { { key, "{}", 0, false } }, {} });
  } else {
    this->store.Apply({ {}, {}, { key } });
  }
}

std::string
ClusterSimulation::ZoneOf(size_t aNode)
{
  constexpr size_t kZones = 3;
  return "zone-" + std::to_string(aNode % kZones);
}

ServingState
ClusterSimulation::Serving(size_t aNode) const
{
  return this->nodes[aNode]->agent->ServingStateAt(this->now);
}

bool
ClusterSimulation::MaySend(size_t aNode) const
{
  const auto& node = *this->nodes[aNode];
  if (!node.daemonUp || !node.serverUp || this->now < node.frozenUntil) {
    return false;
  }
  auto serving = this->Serving(aNode);
  bool granted = std::any_of(
    serving.ranges.begin(), serving.ranges.end(), [&](const auto& aRange) {
      return aRange.grantedUntil > this->now;
    });
  return serving.available && granted && this->now <= serving.sendUntil &&
         this->now <= serving.evacuatedFrom;
}

double
ClusterSimulation::OwnedIn(const std::string& aZone) const
{
  auto era = this->store.Era();
  auto rows =
    FromStored(this->store.Read({ kClusterTable, kService, "" }).rows, era);
  std::set<MemberId> members;
  for (const auto& row : rows) {
    auto member = ParseMember(row);
    if (member && member->zone == aZone) {
      members.insert(member->id);
    }
  }
  double keys = 0;
  for (const auto& row : rows) {
    auto range = ParseRange(row);
    if (range && members.count(range->owner) > 0) {
      keys += range->range.Size();
    }
  }
  return keys / (kLastKey + 1);
}

void
ClusterSimulation::SetBusy(bool aBusy)
{
  for (auto& node : this->nodes) {
    node->hotKeys = aBusy;
  }
}

void
ClusterSimulation::CutFromStore(size_t aNode, Duration aTime)
{
  this->nodes[aNode]->storeUnreachableUntil = this->now + aTime;
}

void
ClusterSimulation::CutStore(Duration aTime)
{
  this->storeUnavailableUntil = this->now + aTime;
}

void
ClusterSimulation::RestoreStore(size_t aAge)
{
  this->store.Restore(this->copies[std::min(aAge, this->copies.size() - 1)]);
  this->copies.clear();
  this->copies.push_front(this->store);
}

void
ClusterSimulation::Restart(size_t aNode, Duration aTime)
{
  this->nodes[aNode]->daemonUp = false;
  this->nodes[aNode]->serverUp = false;
  this->Schedule(aTime, [this, aNode] {
    this->StartDaemon(aNode);
    this->StartServer(aNode, false);
  });
}

const std::vector<std::string>&
ClusterSimulation::Violations() const
{
  return this->violations;
}

void
ClusterSimulation::SetDrain(size_t aNode, bool aDrain)
{
  DrainRecord record{
    kService, this->nodes[aNode]->address + ":2", aDrain, 1, "operator"
  };
  this->store.Apply({ {}, { ToRow(record) }, {} });
}

std::set<Key>
ClusterSimulation::HeldKeys(const Node& aNode) const
{
  std::set<Key> held;
  for (const auto& range : aNode.held) {
    if (aNode.serverUp && range.until > this->now) {
      for (Key key = range.range.first; key <= range.range.last; ++key) {
        held.insert(key);
      }
    }
  }
  return held;
}

double
ClusterSimulation::HeldShare() const
{
  std::set<Key> held;
  for (const auto& node : this->nodes) {
    held.merge(this->HeldKeys(*node));
  }
  return static_cast<double>(held.size()) / (kLastKey + 1);
}

double
ClusterSimulation::HeldBy(size_t aNode) const
{
  return static_cast<double>(this->HeldKeys(*this->nodes[aNode]).size()) /
         (kLastKey + 1);
}

std::string
ClusterSimulation::DescribeUnheldRanges() const
{
  std::string text;
  auto stored = this->store.Read({ kClusterTable, kService, "" });
  for (const auto& row : FromStored(stored.rows, this->store.Era())) {
    auto range = ParseRange(row);
    if (!range) {
      continue;
    }
    std::string owner = "no running daemon";
    bool isHeld = false;
    for (size_t index = 0; index < this->nodes.size(); ++index) {
      const auto& node = *this->nodes[index];
      auto state =
        node.daemonUp ? node.agent->ServingStateAt(this->now) : ServingState();
      if (state.member != range->owner || state.member.empty()) {
        continue;
      }
      owner = "node " + std::to_string(index) +
              (node.serverUp ? "" : " without server") +
              (node.draining ? " draining" : "") + " lease for " +
              std::to_string(ToMilliseconds(state.leaseUntil - this->now)) +
              " ms, server holds";
      for (const auto& held : node.held) {
        owner += " " + ToString(held.range) + "@" + std::to_string(held.fence);
      }
      owner += ", granted";
      for (const auto& granted : state.ranges) {
        owner += " " + ToString(granted.range);
      }
      owner += ", fences seen";
      for (const auto& [first, fence] : node.seenFences) {
        owner += " " + std::to_string(first) + "@" + std::to_string(fence);
      }
      for (const auto& line : node.history) {
        owner += "\n    " + line;
      }
      for (const auto& held : node.held) {
        isHeld = isHeld || (held.until > this->now && node.serverUp &&
                            held.range.Contains(range->range));
      }
    }
    if (!isHeld) {
      text += ToString(range->range) + " of " + owner + " epoch " +
              std::to_string(range->epoch) + "\n";
    }
  }
  return text;
}

void
ClusterSimulation::SetPollInterval(Duration aInterval)
{
  this->pollInterval = aInterval;
}

void
ClusterSimulation::ReadStoredVersions()
{
  if (this->storedVersionsOf == this->store.Version()) {
    return;
  }
  this->storedVersionsOf = this->store.Version();
  this->storedRanges.clear();
  auto era = this->store.Era();
  auto stored = this->store.Read({ kClusterTable, kService, "" }).rows;
  for (const auto& row : FromStored(stored, era)) {
    if (auto range = ParseRange(row)) {
      this->storedRanges[range->range.first] = WithEra(row.version, era);
    }
  }
}

void
ClusterSimulation::SetPromptSending()
{
  this->promptSending = true;
}

std::set<size_t>
ClusterSimulation::StaleNodes()
{
  this->ReadStoredVersions();
  std::set<size_t> stale;
  for (size_t index = 0; index < this->nodes.size(); ++index) {
    const auto& node = *this->nodes[index];
    if (!node.daemonUp || this->now < node.frozenUntil) {
      continue;
    }
    const auto& ranges = node.agent->View().RangesOf(kService);
    for (const auto& [first, version] : this->storedRanges) {
      auto known = ranges.find(first);
      if (known == ranges.end() || known->second.version < version) {
        stale.insert(index);
      }
    }
  }
  return stale;
}

size_t
ClusterSimulation::RowDatagramsBetweenZones() const
{
  return this->rowDatagramsBetweenZones;
}

size_t
ClusterSimulation::RowReceiversInOtherZones() const
{
  return this->rowReceiversInOtherZones;
}

size_t
ClusterSimulation::Nodes() const
{
  return this->nodes.size();
}

size_t
ClusterSimulation::Holders() const
{
  return static_cast<size_t>(std::count_if(
    this->nodes.begin(), this->nodes.end(), [](const auto& aNode) {
      return !aNode->held.empty();
    }));
}

size_t
ClusterSimulation::NodeHoldingMost() const
{
  size_t best = 0;
  uint32_t most = 0;
  for (size_t index = 0; index < this->nodes.size(); ++index) {
    uint32_t keys = 0;
    for (const auto& held : this->nodes[index]->held) {
      keys += held.range.Size();
    }
    if (keys > most) {
      most = keys;
      best = index;
    }
  }
  return best;
}

Time
ClusterSimulation::Now() const
{
  return this->now;
}

} // namespace fescuetiller
