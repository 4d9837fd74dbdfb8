#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace fescuetiller {

constexpr double kSlots = 6; ///< Of every server of the model.

enum class Scenario
{
  HotSet,      ///< Nothing but the hottest keys changes.
  Join,        ///< One server in 64 is added.
  Leave,       ///< One server drains.
  LoseServer,  ///< One server is lost.
  LoseRack,    ///< One server in 32 is lost.
  LoseZone,    ///< One server in 3, from 1,024 servers on one in 15.
  LaggingLoad, ///< Load reports are 5 and 10 s old in place of 1 and 3 s.
  LyingLoad,   ///< One server in 50 hides its load, another exaggerates it.
};

constexpr std::array<Scenario, 8> kScenarios = {
  Scenario::HotSet,      Scenario::Join,     Scenario::Leave,
  Scenario::LoseServer,  Scenario::LoseRack, Scenario::LoseZone,
  Scenario::LaggingLoad, Scenario::LyingLoad
};

const char*
ToString(Scenario aScenario);

enum class Lie
{
  None,
  HidesLoad,   ///< Reports no load and many slots.
  Exaggerates, ///< Shows its own daemon five times its load and one slot.
};

struct ModelServer
{
  uint32_t zone = 0;
  bool alive = false;
  bool accepting = false;
  double joinedAt = -3600;
  Lie lie = Lie::None;
  double load = 0;
  uint32_t partitions = 0;
  uint32_t movesUnderWay = 0;
};

struct ModelPartition
{
  int owner = -1;
  double load = 0;
  double ownedSince = -3600;
  int previousOwner = -1;
  bool moving = false;
};

struct ModelMove
{
  uint32_t partition = 0;
  int to = -1;
};

struct Figures
{
  double maxToMean = 0; ///< Mean over time.
  double worstMaxToMean = 0;
  double moved = 0;
  double least = 0;
  double handedOver = 0; ///< Partition-seconds unavailable in moves.
  double lost = 0;       ///< Partition-seconds unavailable after losses.
  double shed = 0;       ///< Partition-seconds of load above the slots.

  double Unavailable() const
  {
    return this->handedOver + this->lost + this->shed;
  }
};

class Fleet;

/** One way to place partitions, as the model calls it. */
struct Planner
{
  std::string name;
  /** Called whenever servers were added, lost or drained. */
  std::function<void(const Fleet&)> membershipChanged;
  /** Called once before the moves of each tick are asked for. */
  std::function<void(const Fleet&)> beginTick;
  /** Moves of one server, from its own view. */
  std::function<std::vector<ModelMove>(const Fleet&, int aServer)> plan;
  /** Owners of partitions that have none: at first and after a loss. */
  std::function<std::vector<ModelMove>(const Fleet&,
                                       const std::vector<uint32_t>&,
                                       bool aSole)>
    assign;
};

/**
 * Servers, partitions and the table service's write queue, in steps of one
 * second. Owners act on exact loads of their own partitions and old reports of
 * the others.
 */
class Fleet
{
public:
  Fleet(uint32_t aServers, Scenario aScenario, uint64_t aSeed);

  Figures Run(const Planner& aPlanner);

  double now = 0;
  std::vector<ModelServer> servers;
  std::vector<ModelPartition> partitions;
  std::vector<std::vector<uint32_t>> owned; ///< Partitions of each server.

  /** Reported load of every server at the lag of a group of observers. */
  const std::vector<double>& Reports(uint32_t aGroup) const;
  /** Time within a step at which a server's daemon plans. */
  double PhaseOf(int aServer) const;
  uint32_t GroupOf(int aServer) const { return aServer % 2; }
  double ReportedSlots(const ModelServer& aServer) const;
  /** Load of an owned partition as the daemon beside the server sees it. */
  double SeenLoad(uint32_t aPartition) const;

private:
  struct Pending
  {
    double at = 0;
    ModelMove move;
    bool takeover = false;
  };

  void SetKeys();
  void ChangeHotSet();
  void HappenEvent(Figures& aFigures, const Planner& aPlanner);
  void Lose(uint32_t aFirst, uint32_t aCount, Figures& aFigures);
  void TakeOverLost(const Planner& aPlanner, Figures& aFigures);
  void PlanAll(const Planner& aPlanner, Figures& aFigures);
  void ApplyPending();
  void SetOwner(uint32_t aPartition, int aOwner);
  void MeasureLoads();
  void Count(Figures& aFigures);
  /** Time at which a write that is asked for at aAt took effect. */
  double Write(double aAt);

  Scenario scenario;
  uint64_t seed;
  uint32_t firstCount;
  uint32_t zoneCount;
  uint64_t hotEpoch = 0;
  std::vector<double> hotWeights;
  std::vector<double> coldLoads;
  std::vector<std::vector<double>> history;
  std::vector<Pending> pending;
  std::vector<int> lostServers;
  double lostAt = -1;
  double storeFreeAt = 0;
  double counted = 0;
};

uint64_t
MixBits(uint64_t aValue);

} // namespace fescuetiller
