#include "placementfleet.h"

#include <algorithm>
#include <cmath>

namespace fescuetiller {

namespace {

constexpr uint32_t kPartitionsAServer = 8;
constexpr double kMeanUtilisation = 0.5;
constexpr double kZipfExponent = 0.9;
constexpr uint32_t kKeysAPartition = 50;
constexpr uint32_t kMaxKeys = 2000000;
constexpr uint32_t kHotKeys = 340;
/** The hottest key's load, in mean loads of a server. */
constexpr double kMaxKeyShare = 0.5;
constexpr double kNoise = 0.1;

constexpr int kTicks = 240;
constexpr int kWarmUpTicks = 20;
constexpr int kEventTick = 60;
constexpr int kHotSetTicks = 60;
constexpr int kFirstHotSet = 30;

constexpr double kWritesASecond = 300;
constexpr double kWriteSeconds = 0.005;
constexpr double kDrainSeconds = 0.03;
constexpr double kDetectSeconds = 1;
constexpr uint32_t kMovesAtOnce = 8;

constexpr uint32_t kLargeFleet = 1024;

} // namespace

uint64_t
MixBits(uint64_t aValue)
{
  aValue += 0x9e3779b97f4a7c15U;
  aValue = (aValue ^ (aValue >> 30U)) * 0xbf58476d1ce4e5b9U;
  aValue = (aValue ^ (aValue >> 27U)) * 0x94d049bb133111ebU;
  return aValue ^ (aValue >> 31U);
}

const char*
ToString(Scenario aScenario)
{
  constexpr std::array<const char*, kScenarios.size()> kNames = {
    "hot set",   "join",      "leave",        "lose server",
    "lose rack", "lose zone", "lagging load", "lying load"
  };
  return kNames.at(static_cast<size_t>(aScenario));
}

Fleet::Fleet(uint32_t aServers, Scenario aScenario, uint64_t aSeed)
  : scenario(aScenario)
  , seed(aSeed)
  , firstCount(aServers)
  , zoneCount(aServers >= kLargeFleet ? 15 : 3)
{
  this->partitions.resize(aServers * kPartitionsAServer);
  for (uint32_t index = 0; index < aServers; ++index) {
    ModelServer server;
    server.zone = index % this->zoneCount;
    server.alive = true;
    server.accepting = true;
    uint32_t role = index % 50;
    if (aScenario == Scenario::LyingLoad && role < 2) {
      server.lie = role == 0 ? Lie::HidesLoad : Lie::Exaggerates;
    }
    this->servers.push_back(server);
  }
  this->owned.resize(aServers);
  this->SetKeys();
  this->ChangeHotSet();
}

void
Fleet::SetKeys()
{
  auto count = static_cast<uint32_t>(this->partitions.size());
  uint32_t keys = std::min(kMaxKeys, count * kKeysAPartition);
  uint32_t hot = std::min(kHotKeys, count / 2);
  double total = kMeanUtilisation * kSlots * this->firstCount;
  double cap = kMaxKeyShare * kMeanUtilisation * kSlots;
  std::vector<double> weights;
  double sum = 0;
  for (uint32_t rank = 1; rank <= keys; ++rank) {
    weights.push_back(std::pow(rank, -kZipfExponent));
    sum += weights.back();
  }
  double kept = 0;
  for (auto& weight : weights) {
    weight = std::min(cap, weight * total / sum);
    kept += weight;
  }
  double cutOff = (total - kept) / count;
  this->hotWeights.assign(weights.begin(), weights.begin() + hot);
  this->coldLoads.assign(count, cutOff);
  for (uint32_t rank = hot; rank < keys; ++rank) {
    this->coldLoads[MixBits(this->seed * kMaxKeys + rank) % count] +=
      weights[rank];
  }
}

void
Fleet::ChangeHotSet()
{
  ++this->hotEpoch;
  for (size_t index = 0; index < this->partitions.size(); ++index) {
    this->partitions[index].load = this->coldLoads[index];
  }
  for (size_t rank = 0; rank < this->hotWeights.size(); ++rank) {
    uint64_t key = MixBits(this->seed * 1000 + this->hotEpoch) + rank;
    this->partitions[MixBits(key) % this->partitions.size()].load +=
      this->hotWeights[rank];
  }
}

double
Fleet::ReportedSlots(const ModelServer& aServer) const
{
  switch (aServer.lie) {
    case Lie::HidesLoad:
      return 100;
    case Lie::Exaggerates:
      return 1;
    case Lie::None:
      break;
  }
  return kSlots;
}

double
Fleet::SeenLoad(uint32_t aPartition) const
{
  const auto& partition = this->partitions[aPartition];
  uint64_t bits =
    MixBits(MixBits(static_cast<uint64_t>(this->now)) + aPartition);
  double noise = static_cast<double>(bits % 1000) / 1000 - 0.5;
  double seen = partition.load * (1 + kNoise * noise);
  bool exaggerated = partition.owner >= 0 &&
                     this->servers[partition.owner].lie == Lie::Exaggerates;
  return exaggerated ? 5 * seen : seen;
}

const std::vector<double>&
Fleet::Reports(uint32_t aGroup) const
{
  bool lagging = this->scenario == Scenario::LaggingLoad;
  size_t lag = lagging ? (aGroup == 0 ? 5 : 10) : (aGroup == 0 ? 1 : 3);
  size_t last = this->history.size() - 1;
  return this->history[last - std::min(last, lag)];
}

double
Fleet::PhaseOf(int aServer) const
{
  constexpr double kSteps = 1024;
  return static_cast<double>(MixBits(static_cast<uint64_t>(aServer)) % 1024) /
         kSteps;
}

void
Fleet::SetOwner(uint32_t aPartition, int aOwner)
{
  auto& partition = this->partitions[aPartition];
  if (partition.owner >= 0) {
    auto& old = this->owned[partition.owner];
    old.erase(std::find(old.begin(), old.end(), aPartition));
  }
  partition.previousOwner = partition.owner;
  partition.owner = aOwner;
  partition.ownedSince = this->now;
  if (aOwner >= 0) {
    this->owned[aOwner].push_back(aPartition);
  }
}

double
Fleet::Write(double aAt)
{
  this->storeFreeAt = std::max(this->storeFreeAt, aAt) + 1 / kWritesASecond;
  return this->storeFreeAt + kWriteSeconds;
}

void
Fleet::Lose(uint32_t aFirst, uint32_t aCount, Figures& aFigures)
{
  for (uint32_t index = 0; index < this->firstCount; ++index) {
    bool inZone = this->scenario == Scenario::LoseZone &&
                  this->servers[index].zone == aFirst;
    bool inRange = this->scenario != Scenario::LoseZone && index >= aFirst &&
                   index < aFirst + aCount;
    if (inZone || inRange) {
      this->servers[index].alive = false;
      this->lostServers.push_back(static_cast<int>(index));
      aFigures.least += static_cast<double>(this->owned[index].size());
    }
  }
  this->lostAt = this->now;
}

void
Fleet::HappenEvent(Figures& aFigures, const Planner& aPlanner)
{
  switch (this->scenario) {
    case Scenario::Join: {
      uint32_t joining = std::max(1U, this->firstCount / 64);
      for (uint32_t index = 0; index < joining; ++index) {
        ModelServer server;
        server.zone = index % this->zoneCount;
        server.alive = true;
        server.accepting = true;
        server.joinedAt = this->now;
        this->servers.push_back(server);
      }
      this->owned.resize(this->servers.size());
      aFigures.least +=
        std::floor(static_cast<double>(this->partitions.size() * joining) /
                   static_cast<double>(this->servers.size()));
      aPlanner.membershipChanged(*this);
      return;
    }
    case Scenario::Leave:
      this->servers[1].accepting = false;
      aFigures.least += static_cast<double>(this->owned[1].size());
      aPlanner.membershipChanged(*this);
      return;
    case Scenario::LoseServer:
      this->Lose(1, 1, aFigures);
      return;
    case Scenario::LoseRack:
      this->Lose(1, std::max(1U, this->firstCount / 32), aFigures);
      return;
    case Scenario::LoseZone:
      this->Lose(1, 0, aFigures);
      return;
    case Scenario::HotSet:
    case Scenario::LaggingLoad:
    case Scenario::LyingLoad:
      return;
  }
}

void
Fleet::TakeOverLost(const Planner& aPlanner, Figures& aFigures)
{
  bool due = this->lostAt >= 0 && this->now >= this->lostAt + kDetectSeconds;
  if (!due || this->lostServers.empty()) {
    return;
  }
  for (int lost : this->lostServers) {
    this->servers[lost].accepting = false;
  }
  aPlanner.membershipChanged(*this);
  aPlanner.beginTick(*this);
  for (int lost : this->lostServers) {
    double at = this->Write(this->now);
    for (const auto& move : aPlanner.assign(*this, this->owned[lost], true)) {
      this->partitions[move.partition].moving = true;
      this->pending.push_back({ at, move, true });
      aFigures.lost += at - this->lostAt;
      ++aFigures.moved;
    }
  }
  this->lostServers.clear();
}

void
Fleet::PlanAll(const Planner& aPlanner, Figures& aFigures)
{
  aPlanner.beginTick(*this);
  std::vector<std::pair<int, ModelMove>> moves;
  for (int index = 0; index < static_cast<int>(this->servers.size()); ++index) {
    const auto& server = this->servers[index];
    if (!server.alive || server.movesUnderWay > 0) {
      continue;
    }
    uint32_t started = 0;
    for (const auto& move : aPlanner.plan(*this, index)) {
      if (started < kMovesAtOnce && this->servers[move.to].alive) {
        moves.emplace_back(index, move);
        ++started;
      }
    }
  }
  std::stable_sort(
    moves.begin(), moves.end(), [this](const auto& aLeft, const auto& aRight) {
      return this->PhaseOf(aLeft.first) < this->PhaseOf(aRight.first);
    });
  for (const auto& [owner, move] : moves) {
    double start = this->now + this->PhaseOf(owner);
    double at = this->Write(start + kDrainSeconds);
    aFigures.handedOver += at - start;
    ++aFigures.moved;
    ++this->servers[owner].movesUnderWay;
    this->partitions[move.partition].moving = true;
    this->pending.push_back({ at, move, false });
  }
}

void
Fleet::ApplyPending()
{
  std::vector<Pending> later;
  for (const auto& change : this->pending) {
    if (change.at > this->now) {
      later.push_back(change);
      continue;
    }
    auto& partition = this->partitions[change.move.partition];
    if (partition.owner >= 0 && !change.takeover) {
      --this->servers[partition.owner].movesUnderWay;
    }
    partition.moving = false;
    bool superseded = !change.takeover && !this->servers[partition.owner].alive;
    if (!superseded) {
      this->SetOwner(change.move.partition, change.move.to);
    }
  }
  this->pending = std::move(later);
}

void
Fleet::MeasureLoads()
{
  std::vector<double> reports(this->servers.size());
  for (size_t index = 0; index < this->servers.size(); ++index) {
    auto& server = this->servers[index];
    server.load = 0;
    for (uint32_t partition : this->owned[index]) {
      server.load += this->partitions[partition].load;
      reports[index] += this->SeenLoad(partition);
    }
    reports[index] = server.lie == Lie::HidesLoad ? 0 : reports[index];
  }
  this->history.push_back(std::move(reports));
}

void
Fleet::Count(Figures& aFigures)
{
  double total = 0;
  double highest = 0;
  double count = 0;
  for (size_t index = 0; index < this->servers.size(); ++index) {
    const auto& server = this->servers[index];
    if (!server.alive) {
      continue;
    }
    total += server.load;
    count += server.accepting ? 1 : 0;
    highest = std::max(highest, server.load);
    if (server.load > kSlots) {
      aFigures.shed += static_cast<double>(this->owned[index].size()) *
                       (1 - kSlots / server.load);
    }
  }
  double ratio = highest / (total / count);
  aFigures.maxToMean += ratio;
  aFigures.worstMaxToMean = std::max(aFigures.worstMaxToMean, ratio);
  ++this->counted;
}

Figures
Fleet::Run(const Planner& aPlanner)
{
  Figures figures;
  this->MeasureLoads();
  aPlanner.membershipChanged(*this);
  aPlanner.beginTick(*this);
  std::vector<uint32_t> all;
  for (uint32_t index = 0; index < this->partitions.size(); ++index) {
    all.push_back(index);
  }
  for (const auto& move : aPlanner.assign(*this, all, false)) {
    this->SetOwner(move.partition, move.to);
  }
  Figures ignored;
  for (int tick = 1; tick <= kTicks; ++tick) {
    Figures& current = tick <= kWarmUpTicks ? ignored : figures;
    this->now = tick;
    this->ApplyPending();
    if (tick % kHotSetTicks == kFirstHotSet) {
      this->ChangeHotSet();
    }
    if (tick == kEventTick) {
      this->HappenEvent(current, aPlanner);
    }
    this->TakeOverLost(aPlanner, current);
    this->MeasureLoads();
    this->Count(current);
    this->PlanAll(aPlanner, current);
  }
  figures.maxToMean /= this->counted - kWarmUpTicks;
  return figures;
}

} // namespace fescuetiller
