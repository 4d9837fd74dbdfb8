#include "cluster/clusterworld.h"

#include <algorithm>
#include <deque>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kService = "agenda";
constexpr Duration kTick = milliseconds(100);
constexpr Duration kPoll = milliseconds(250);
constexpr Duration kHeartbeat = milliseconds(870);
constexpr Duration kFastHeartbeat = milliseconds(100);
/** A server takes an answer only within this time. */
constexpr Duration kReplyTimeout = seconds(1);
/** How much longer than told a server with a slow clock holds. */
constexpr double kSlowClock = 1.02;
constexpr Duration kStoreTimeout = seconds(1);
constexpr size_t kHistory = 12;
constexpr double kLossShare = 0.33;

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
    case ClusterFault::MachineOff:
      return "machine off";
    case ClusterFault::MachineGone:
      return "machine gone";
    case ClusterFault::ServerCrashed:
      return "server crashed";
    case ClusterFault::ServerReborn:
      return "server reborn";
    case ClusterFault::ServerDark:
      return "server dark";
    case ClusterFault::ServerDrains:
      return "server drains";
    case ClusterFault::DaemonFrozen:
      return "daemon frozen";
    case ClusterFault::HeartbeatsLate:
      return "heartbeats late";
    case ClusterFault::CutFromPeers:
      return "cut from peers";
    case ClusterFault::CutFromAll:
      return "cut from all";
    case ClusterFault::StoreCut:
      return "store cut";
    case ClusterFault::StoreDown:
      return "store down";
    case ClusterFault::StoreSilent:
      return "store silent";
    case ClusterFault::AnswersLost:
      return "answers lost";
    case ClusterFault::EffectsLate:
      return "effects late";
    case ClusterFault::Lossy:
      return "lossy";
    case ClusterFault::AllDaemonsKilled:
      return "all daemons killed";
    case ClusterFault::AllMachinesOff:
      return "all machines off";
    case ClusterFault::Hot:
      return "hot keys";
    case ClusterFault::Drained:
      return "drained by operators";
    case ClusterFault::Joins:
      return "a machine joins";
  }
  return "unknown";
}

/** A machine: a daemon and the backend server beside it. */
struct ClusterWorld::Node
{
  std::string address;
  std::unique_ptr<OwnershipAgent> agent;
  uint64_t run = 0; ///< Numbers the daemon's processes.
  bool daemonUp = false;
  Time frozenUntil;
  RowVersion seen = 0;
  bool loaded = false;
  bool transacting = false;

  uint64_t life = 0; ///< Numbers the server's lives.
  bool serverUp = false;
  bool draining = false;
  ServerLife identity;
  uint64_t sequence = 0;
  std::vector<Held> held;
  std::vector<ReleasedRange> released;
  std::map<Key, Fence> seenFences;

  bool gone = false;
  Time cutFromPeersUntil;
  Time storeCutUntil;
  Time lateUntil;
  bool hot = false;
  std::deque<std::string> history; ///< Latest events of the daemon.
};

ClusterWorld::ClusterWorld(size_t aNodes, uint64_t aSeed, BrokenRules aBroken)
  : now(FromBootNanoseconds(1000000000))
  , random(aSeed)
  , broken(aBroken)
  , highest(kLastKey + 1, { 0, SIZE_MAX })
{
  for (size_t index = 0; index < aNodes; ++index) {
    this->AddNode();
  }
}

ClusterWorld::~ClusterWorld() = default;

void
ClusterWorld::AddNode()
{
  size_t index = this->nodes.size();
  auto node = std::make_unique<Node>();
  node->address = "10.0.0." + std::to_string(index + 1);
  this->nodes.push_back(std::move(node));
  this->At(this->Between(milliseconds(0), milliseconds(300)), [this, index] {
    this->StartDaemon(index);
    this->StartServer(index, false);
  });
}

bool
ClusterWorld::Chance(double aShare)
{
  return std::uniform_real_distribution<double>(0, 1)(this->random) < aShare;
}

Duration
ClusterWorld::Between(Duration aLeast, Duration aMost)
{
  return Duration(std::uniform_int_distribution<int64_t>(
    aLeast.count(), aMost.count())(this->random));
}

void
ClusterWorld::At(Duration aDelay, Step aStep)
{
  this->steps.emplace(std::pair(this->now + aDelay, this->stepCount++),
                      std::move(aStep));
}

void
ClusterWorld::RunFor(Duration aTime)
{
  auto end = this->now + aTime;
  while (!this->steps.empty() && this->steps.begin()->first.first <= end) {
    auto entry = this->steps.extract(this->steps.begin());
    this->now = entry.key().first;
    entry.mapped()();
  }
  this->now = end;
}

void
ClusterWorld::StartDaemon(size_t aNode)
{
  auto& node = *this->nodes[aNode];
  if (node.gone) {
    return;
  }
  ++node.run;
  node.daemonUp = true;
  node.loaded = false;
  node.transacting = false;
  node.frozenUntil = Time();
  node.agent = std::make_unique<OwnershipAgent>(
    AgentIdentity{ kService,
                   "zone-" + std::to_string(aNode % 3),
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
ClusterWorld::StartServer(size_t aNode, bool aSameId)
{
  auto& node = *this->nodes[aNode];
  if (node.gone) {
    return;
  }
  ++node.life;
  node.serverUp = true;
  node.draining = false;
  node.held.clear();
  node.released.clear();
  node.seenFences.clear();
  node.sequence = 0;
  if (!aSameId) {
    node.identity.id =
      "i-" + std::to_string(aNode) + "-" + std::to_string(node.life);
  }
  node.identity.startedAt = ToBootNanoseconds(this->now) / 1000000;
  this->At(this->Between(milliseconds(50), milliseconds(800)),
           [this, aNode, life = node.life] { this->Beat(aNode, life); });
}

void
ClusterWorld::TickDaemon(size_t aNode, uint64_t aRun)
{
  auto& node = *this->nodes[aNode];
  if (!node.daemonUp || node.run != aRun) {
    return;
  }
  if (this->now >= node.frozenUntil) {
    std::vector<KeyWeight> weights;
    if (node.hot) {
      for (Key key = 0; key <= kLastKey; key += 512) {
        weights.push_back({ key, 0.05 });
      }
    }
    node.agent->SetLoads(weights, {});
    this->Carry(aNode, node.agent->Tick(this->now));
    this->Transact(aNode);
    this->Remember(node);
  }
  this->At(kTick, [this, aNode, aRun] { this->TickDaemon(aNode, aRun); });
}

/** Keeps the latest events of a daemon for the description of a failure. */
void
ClusterWorld::Remember(Node& aNode)
{
  for (const auto& event : aNode.agent->TakeEvents()) {
    std::string line =
      std::to_string(ToMilliseconds(this->now.time_since_epoch())) + " " +
      event.name;
    for (const auto& [name, value] : event.fields) {
      line.append(" ").append(name).append("=").append(value);
    }
    aNode.history.push_back(line);
    if (aNode.history.size() > kHistory) {
      aNode.history.pop_front();
    }
  }
}

void
ClusterWorld::Carry(size_t aNode, const OwnershipAgent::Output& aOutput)
{
  for (const auto& beacon : aOutput.messages) {
    this->SendBeacon(aNode, beacon);
  }
  auto& node = *this->nodes[aNode];
  for (const auto& key : aOutput.leaseReads) {
    if (!this->IsStoreResponding(aNode)) {
      continue;
    }
    const auto* found = this->store.Find(key);
    RowVersion leaseVersion = found == nullptr ? 0 : found->version;
    this->At(milliseconds(5), [this, &node, key, leaseVersion, run = node.run] {
      if (node.daemonUp && node.run == run) {
        node.agent->OnLongLeaseRead(this->now, key.key, leaseVersion);
      }
    });
  }
}

void
ClusterWorld::SendBeacon(size_t aFrom, const OutgoingMessage& aBeacon)
{
  auto& from = *this->nodes[aFrom];
  bool lost = this->now < from.cutFromPeersUntil ||
              (this->now < this->lossyUntil && this->Chance(kLossShare));
  for (size_t index = 0; index < this->nodes.size(); ++index) {
    auto& node = *this->nodes[index];
    if (lost || node.address + ":3" != aBeacon.address ||
        this->now < node.cutFromPeersUntil) {
      continue;
    }
    auto encoded = Encode(aBeacon.message);
    auto deliver = std::make_shared<Step>();
    *deliver = [this, index, aFrom, encoded, deliver] {
      auto& target = *this->nodes[index];
      if (!target.daemonUp) {
        return;
      }
      if (this->now < target.frozenUntil) {
        // Datagrams wait in the socket of a frozen process.
        this->At(target.frozenUntil - this->now, *deliver);
        return;
      }
      for (auto& reply : target.agent->OnPeerMessage(
             this->now, *DecodePeerMessage(encoded))) {
        this->SendBeacon(index,
                         { this->nodes[aFrom]->address + ":3", reply.message });
      }
    };
    this->At(this->Between(milliseconds(1), milliseconds(4)), *deliver);
  }
}

bool
ClusterWorld::IsStoreResponding(size_t aNode) const
{
  return this->now >= this->storeDownUntil &&
         this->now >= this->storeSilentUntil &&
         this->now >= this->nodes[aNode]->storeCutUntil;
}

void
ClusterWorld::PollStore(size_t aNode, uint64_t aRun)
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
    if (!node.loaded) {
      node.agent->OnRows(
        this->now, kService, this->store.Read({ kClusterTable, kService, "" }));
      node.loaded = true;
    } else {
      for (const auto& row : this->store.ChangesAfter(node.seen)) {
        node.agent->OnRow(this->now, row);
      }
    }
    node.seen = this->store.Version();
  }
  this->At(kPoll, [this, aNode, aRun] { this->PollStore(aNode, aRun); });
}

void
ClusterWorld::Transact(size_t aNode)
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
  auto answer =
    [this, aNode, run = node.run](const Result<StoreOutcome>& aAnswer) {
      auto& target = *this->nodes[aNode];
      if (!target.daemonUp || target.run != run) {
        return;
      }
      target.transacting = false;
      target.agent->Transactions().OnResponse(this->now, aAnswer);
      this->Transact(aNode);
    };
  Error unknown{ ErrorCode::Unknown, "change", "store", "no answer" };
  Error unavailable{ ErrorCode::Unavailable, "change", "store", "status 503" };
  bool silent =
    this->now < this->storeSilentUntil || this->now < node.storeCutUntil;
  if (silent || this->now < this->storeDownUntil) {
    this->At(silent ? kStoreTimeout : milliseconds(5),
             [=] { answer(tl::unexpected(silent ? unknown : unavailable)); });
    return;
  }
  if (this->now < this->effectsLateUntil && this->Chance(0.5)) {
    this->At(this->Between(seconds(1), seconds(6)),
             [this, change] { this->store.Apply(*change); });
    this->At(kStoreTimeout, [=] { answer(tl::unexpected(unknown)); });
    return;
  }
  bool lose = this->now < this->answersLostUntil && this->Chance(0.5);
  this->At(this->Between(milliseconds(3), milliseconds(8)),
           [this, change, answer, lose, unknown] {
             auto outcome = this->store.Apply(*change);
             if (lose) {
               this->At(kStoreTimeout,
                        [=] { answer(tl::unexpected(unknown)); });
             } else {
               answer(outcome);
             }
           });
}

void
ClusterWorld::Beat(size_t aNode, uint64_t aLife)
{
  auto& node = *this->nodes[aNode];
  if (!node.serverUp || node.life != aLife) {
    return;
  }
  node.held.erase(
    std::remove_if(node.held.begin(),
                   node.held.end(),
                   [&](const Held& aHeld) { return aHeld.until <= this->now; }),
    node.held.end());
  ServerReport report;
  report.life = node.identity;
  report.service = kService;
  report.address = node.address + ":1";
  report.slots = 6;
  report.draining = node.draining;
  report.sequence = ++node.sequence;
  for (const auto& held : node.held) {
    report.holds.push_back({ held.range, held.fence });
  }
  report.released = std::exchange(node.released, {});
  auto delay = this->now < node.lateUntil
                 ? this->Between(milliseconds(500), milliseconds(2500))
                 : this->Between(milliseconds(0), milliseconds(2));
  auto deliver = std::make_shared<Step>();
  auto sentAt = this->now;
  *deliver = [this, aNode, aLife, report, sentAt, deliver] {
    auto& target = *this->nodes[aNode];
    if (!target.daemonUp) {
      return;
    }
    if (this->now < target.frozenUntil) {
      this->At(target.frozenUntil - this->now, *deliver);
      return;
    }
    auto reply = target.agent->OnHeartbeat(this->now, report);
    this->At(milliseconds(1), [this, aNode, aLife, sentAt, reply] {
      this->TakeReply(aNode, aLife, sentAt, reply);
    });
  };
  this->At(delay, *deliver);
  this->At(kHeartbeat, [this, aNode, aLife] { this->Beat(aNode, aLife); });
}

void
ClusterWorld::TakeReply(size_t aNode,
                        uint64_t aLife,
                        Time aSentAt,
                        const HeartbeatReply& aReply)
{
  auto& node = *this->nodes[aNode];
  if (!node.serverUp || node.life != aLife || !aReply.grants ||
      this->now - aSentAt > kReplyTimeout) {
    return;
  }
  auto until = aSentAt + std::chrono::duration_cast<Duration>(
                           aReply.grants->holdFor * kSlowClock);
  std::vector<Held> taken;
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
    this->CheckGrant(aNode, grant);
    taken.push_back({ grant.range, grant.fence, until });
  }
  bool releasing = false;
  for (const auto& held : node.held) {
    std::vector<KeyRange> left{ held.range };
    for (const auto& other : taken) {
      left = Subtract(left, other.range);
    }
    for (const auto& range : left) {
      releasing = true;
      node.released.push_back({ range, "h" });
    }
  }
  node.held = std::move(taken);
  if (releasing) {
    this->At(kFastHeartbeat, [this, aNode, aLife] {
      // One extra heartbeat; the regular ones go on.
      auto& target = *this->nodes[aNode];
      if (!target.serverUp || target.life != aLife || !target.daemonUp ||
          this->now < target.frozenUntil) {
        return;
      }
      ServerReport report;
      report.life = target.identity;
      report.service = kService;
      report.address = target.address + ":1";
      report.slots = 6;
      report.draining = target.draining;
      report.sequence = ++target.sequence;
      for (const auto& held : target.held) {
        report.holds.push_back({ held.range, held.fence });
      }
      report.released = std::exchange(target.released, {});
      auto reply = target.agent->OnHeartbeat(this->now, report);
      this->TakeReply(aNode, aLife, this->now, reply);
    });
  }
}

void
ClusterWorld::CheckGrant(size_t aNode, const Grant& aGrant)
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
          " ms server " + std::to_string(aNode) + " gets " +
          ToString(aGrant.range) + " while server " + std::to_string(index) +
          " holds " + ToString(held.range));
      }
    }
  }
  for (Key key = aGrant.range.first; key <= aGrant.range.last; ++key) {
    auto& [fence, holder] = this->highest[key];
    if (holder != aNode && holder != SIZE_MAX && fence >= aGrant.fence) {
      this->violations.push_back("server " + std::to_string(aNode) +
                                 " gets key " + std::to_string(key) +
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
ClusterWorld::Inject(ClusterFault aFault, size_t aNode)
{
  auto& node = *this->nodes[aNode];
  auto kill = [this](size_t aIndex, Duration aRestart) {
    this->nodes[aIndex]->daemonUp = false;
    this->At(aRestart, [this, aIndex] { this->StartDaemon(aIndex); });
  };
  auto off = [this, kill](size_t aIndex, Duration aRestart) {
    kill(aIndex, aRestart);
    this->nodes[aIndex]->serverUp = false;
    this->At(aRestart, [this, aIndex] { this->StartServer(aIndex, false); });
  };
  switch (aFault) {
    case ClusterFault::None:
      break;
    case ClusterFault::DaemonKilled:
      kill(aNode, milliseconds(700));
      break;
    case ClusterFault::MachineOff:
      off(aNode, seconds(2));
      break;
    case ClusterFault::MachineGone:
      node.daemonUp = false;
      node.serverUp = false;
      node.gone = true;
      break;
    case ClusterFault::ServerCrashed:
      node.serverUp = false;
      this->At(milliseconds(150), [this, &node] {
        if (node.daemonUp && !node.serverUp) {
          node.agent->OnConnectionRefused(this->now);
        }
      });
      this->At(seconds(4), [this, aNode] { this->StartServer(aNode, false); });
      break;
    case ClusterFault::ServerReborn:
      node.serverUp = false;
      this->At(milliseconds(500),
               [this, aNode] { this->StartServer(aNode, true); });
      break;
    case ClusterFault::ServerDark:
      node.serverUp = false;
      break;
    case ClusterFault::ServerDrains:
      node.draining = true;
      this->At(seconds(5), [this, aNode, life = node.life] {
        auto& target = *this->nodes[aNode];
        if (target.life == life) {
          target.serverUp = false;
        }
      });
      break;
    case ClusterFault::DaemonFrozen:
      node.frozenUntil = this->now + seconds(5);
      break;
    case ClusterFault::HeartbeatsLate:
      node.lateUntil = this->now + seconds(6);
      break;
    case ClusterFault::CutFromPeers:
      node.cutFromPeersUntil = this->now + seconds(7);
      break;
    case ClusterFault::CutFromAll:
      node.cutFromPeersUntil = this->now + seconds(12);
      node.storeCutUntil = this->now + seconds(12);
      break;
    case ClusterFault::StoreCut:
      node.storeCutUntil = this->now + seconds(9);
      break;
    case ClusterFault::StoreDown:
      this->storeDownUntil = this->now + seconds(9);
      break;
    case ClusterFault::StoreSilent:
      this->storeSilentUntil = this->now + seconds(9);
      break;
    case ClusterFault::AnswersLost:
      this->answersLostUntil = this->now + seconds(6);
      break;
    case ClusterFault::EffectsLate:
      this->effectsLateUntil = this->now + seconds(6);
      break;
    case ClusterFault::Lossy:
      this->lossyUntil = this->now + seconds(6);
      break;
    case ClusterFault::AllDaemonsKilled:
      for (size_t index = 0; index < this->nodes.size(); ++index) {
        kill(index, milliseconds(1000));
      }
      break;
    case ClusterFault::AllMachinesOff:
      for (size_t index = 0; index < this->nodes.size(); ++index) {
        off(index, seconds(2));
      }
      break;
    case ClusterFault::Hot:
      node.hot = true;
      this->At(seconds(6), [&node] { node.hot = false; });
      break;
    case ClusterFault::Drained:
      this->SetDrain(aNode, true);
      this->At(seconds(12), [this, aNode] { this->SetDrain(aNode, false); });
      break;
    case ClusterFault::Joins:
      this->AddNode();
      break;
  }
}

const std::vector<std::string>&
ClusterWorld::Violations() const
{
  return this->violations;
}

void
ClusterWorld::SetDrain(size_t aNode, bool aDrain)
{
  DrainRecord record{
    kService, this->nodes[aNode]->address + ":2", aDrain, 1, "operator"
  };
  this->store.Apply({ {}, { ToRow(record) }, {} });
}

std::set<Key>
ClusterWorld::HeldKeys(const Node& aNode) const
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
ClusterWorld::HeldShare() const
{
  std::set<Key> held;
  for (const auto& node : this->nodes) {
    held.merge(this->HeldKeys(*node));
  }
  return static_cast<double>(held.size()) / (kLastKey + 1);
}

double
ClusterWorld::HeldBy(size_t aNode) const
{
  return static_cast<double>(this->HeldKeys(*this->nodes[aNode]).size()) /
         (kLastKey + 1);
}

std::string
ClusterWorld::DescribeUnheld() const
{
  std::string text;
  for (const auto& [key, row] : this->store.Rows()) {
    auto range = ParseRange(row);
    if (!range) {
      continue;
    }
    std::string owner = "no daemon";
    bool served = false;
    for (size_t index = 0; index < this->nodes.size(); ++index) {
      const auto& node = *this->nodes[index];
      auto state =
        node.daemonUp ? node.agent->ServingStateAt(this->now) : ServingState();
      if (state.member != range->owner || state.member.empty()) {
        continue;
      }
      owner = "node " + std::to_string(index) + (node.serverUp ? "" : " dark") +
              (node.draining ? " draining" : "") + " lease for " +
              std::to_string(ToMilliseconds(state.leaseUntil - this->now)) +
              " ms, server holds";
      for (const auto& held : node.held) {
        owner += " " + ToString(held.range) + "@" + std::to_string(held.fence);
      }
      owner += ", granted";
      for (const auto& given : state.ranges) {
        owner += " " + ToString(given.range);
      }
      owner += ", fences seen";
      for (const auto& [first, fence] : node.seenFences) {
        owner += " " + std::to_string(first) + "@" + std::to_string(fence);
      }
      for (const auto& line : node.history) {
        owner += "\n    " + line;
      }
      for (const auto& held : node.held) {
        served = served || (held.until > this->now && node.serverUp &&
                            held.range.Contains(range->range));
      }
    }
    if (!served) {
      text += ToString(range->range) + " of " + owner + " epoch " +
              std::to_string(range->epoch) + "\n";
    }
  }
  return text;
}

size_t
ClusterWorld::Nodes() const
{
  return this->nodes.size();
}

size_t
ClusterWorld::Holders() const
{
  return static_cast<size_t>(std::count_if(
    this->nodes.begin(), this->nodes.end(), [](const auto& aNode) {
      return !aNode->held.empty();
    }));
}

size_t
ClusterWorld::Busiest() const
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
ClusterWorld::Now() const
{
  return this->now;
}

} // namespace fescuetiller
