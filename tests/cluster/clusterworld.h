#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster/cluster.h"
#include "standins/memorystore.h"

namespace fescuetiller {

/** What can go wrong in the simulated cluster. */
enum class ClusterFault
{
  None,
  DaemonKilled,     ///< The process ends and starts again.
  MachineOff,       ///< Daemon and server end and start again.
  MachineGone,      ///< Daemon and server end for good.
  ServerCrashed,    ///< The server starts anew; its address refuses meanwhile.
  ServerReborn,     ///< The server starts anew under its old id at once.
  ServerDark,       ///< The server falls silent for good.
  ServerDrains,     ///< The server announces that it leaves.
  DaemonFrozen,     ///< The daemon stands still and goes on.
  HeartbeatsLate,   ///< Heartbeats arrive seconds late.
  CutFromPeers,     ///< No datagrams to or from one daemon.
  CutFromAll,       ///< Neither datagrams nor the store.
  StoreCut,         ///< The store is silent for one daemon.
  StoreDown,        ///< The store turns every daemon away.
  StoreSilent,      ///< The store answers nobody.
  AnswersLost,      ///< Changes are made, answers are lost.
  EffectsLate,      ///< Changes are made seconds later, answers are lost.
  Lossy,            ///< A third of the datagrams is lost.
  AllDaemonsKilled, ///< Every daemon ends at once and starts again.
  AllMachinesOff,   ///< Everything ends at once and starts again.
  Hot,              ///< Most work is for a few keys of one member.
  Drained,          ///< Operators drain a member and undrain it later.
  Joins,            ///< A new machine comes.
};

constexpr ClusterFault kLastClusterFault = ClusterFault::Joins;

const char*
ToString(ClusterFault aFault);

/** Rules that a test breaks on purpose to show that the checker sees it. */
struct BrokenRules
{
  bool grantWithoutLease = false; ///< Grants last as long as servers accept.
  bool shortPromise = false;      ///< Guardians agree much too early.
};

/**
 * Daemons, backend servers, the store and the network between them in
 * manual-clock time. Checks that no two living servers hold a key at the same
 * time and that each new holder has a higher fence.
 */
class ClusterWorld
{
public:
  ClusterWorld(size_t aNodes, uint64_t aSeed, BrokenRules aBroken = {});
  ~ClusterWorld();

  void RunFor(Duration aTime);

  /** Lets a fault happen to a node; it ends by itself. */
  void Inject(ClusterFault aFault, size_t aNode);

  /** Broken rules so far, in words. */
  const std::vector<std::string>& Violations() const;

  /** Lets operators drain a node or undrain it. */
  void SetDrain(size_t aNode, bool aDrain);

  /** Share of the keys that some living server holds. */
  double HeldShare() const;
  /** Share of the keys that a node's server holds. */
  double HeldBy(size_t aNode) const;

  /** Ranges of the store whose owner's server does not hold them, and why that
   * may be. */
  std::string DescribeUnheld() const;

  size_t Nodes() const;
  /** Nodes whose servers hold any key. */
  size_t Holders() const;
  /** Node whose server holds most keys. */
  size_t Busiest() const;
  Time Now() const;

private:
  struct Held
  {
    KeyRange range;
    Fence fence = 0;
    Time until;
  };
  struct Node;
  using Step = std::function<void()>;

  std::set<Key> HeldKeys(const Node& aNode) const;
  void At(Duration aDelay, Step aStep);
  void StartDaemon(size_t aNode);
  void StartServer(size_t aNode, bool aSameId);
  void TickDaemon(size_t aNode, uint64_t aRun);
  void PollStore(size_t aNode, uint64_t aRun);
  void Remember(Node& aNode);
  void Carry(size_t aNode, const OwnershipAgent::Output& aOutput);
  void SendBeacon(size_t aFrom, const OutgoingMessage& aBeacon);
  void Transact(size_t aNode);
  void Beat(size_t aNode, uint64_t aLife);
  void TakeReply(size_t aNode,
                 uint64_t aLife,
                 Time aSentAt,
                 const HeartbeatReply& aReply);
  void CheckGrant(size_t aNode, const Grant& aGrant);
  void AddNode();
  bool IsStoreResponding(size_t aNode) const;
  bool Chance(double aShare);
  Duration Between(Duration aLeast, Duration aMost);

  Time now;
  std::mt19937_64 random;
  BrokenRules broken;
  std::multimap<std::pair<Time, uint64_t>, Step> steps;
  uint64_t stepCount = 0;
  std::vector<std::unique_ptr<Node>> nodes;
  MemoryStore store;
  Time storeDownUntil;
  Time storeSilentUntil;
  Time answersLostUntil;
  Time effectsLateUntil;
  Time lossyUntil;
  std::vector<std::pair<Fence, size_t>> highest; ///< Fence and node, by key.
  std::vector<std::string> violations;
};

} // namespace fescuetiller
