#pragma once

#include <deque>
#include <memory>
#include <random>

#include "faults.h"
#include "ownershipchecker.h"
#include "standins/memorytablestore.h"

namespace fescuetiller {

/** How a cluster is set up; the defaults obey every rule. */
struct ClusterOptions
{
  size_t nodes = 5;
  size_t zones = 3;
  bool checksGrant = true;    ///< Backend servers check grants.
  bool checksDeadline = true; ///< Backend servers heed dispatch deadlines.
  double drift = 0.04;        ///< Clocks run up to this much fast or slow.
  LeaseSettings lease;
  uint32_t seed = 1;
};

/**
 * Ownership systems with a backend server each, joined by a fake link and a
 * fake store on a manual clock. One fault is injected at the first occurrence
 * of a step; a second one may follow at another node.
 */
class FaultyCluster
{
public:
  explicit FaultyCluster(const ClusterOptions& aOptions);

  /** Strikes at the first occurrence of aStep from now on. */
  void Arm(Step aStep, Fault aFault);

  /** Strikes the grantor of the node that the first fault struck, later. */
  void ArmSecond(Fault aFault, Duration aDelay);

  /** Strikes the same node once more, later. */
  void ArmAgain(Fault aFault, Duration aDelay);

  void Strike(Fault aFault, size_t aNode);

  void Run(Duration aTime);

  void StartNode(size_t aNode);
  void LoseNode(size_t aNode, bool aWithBackend);
  void Drain(size_t aNode, bool aDrain);
  void Stop(size_t aNode);

  /**
   * Plays the operator: declares lost every lost member that no live one may
   * take over, since its grantors are lost with it and grant one another.
   */
  void DeclareLost();

  bool Struck() const;
  Time StruckAt() const;
  Time Now() const;
  bool Alive(size_t aNode) const;
  bool Stopped(size_t aNode) const;
  const OwnershipSystem& System(size_t aNode) const;
  size_t IndexOf(Incarnation aIncarnation) const;

  /** Partitions that some node serves right now. */
  size_t ServedCount() const;

  OwnershipChecker& Checker();
  void CompareWithStore();

  uint64_t StoreWrites() const;

  static constexpr uint32_t kPartitions = 24;
  static constexpr const char* kService = "agenda";

private:
  struct Backend
  {
    struct Dispatch
    {
      Fence fence;
      Time arrives; ///< True time.
      Time ends;    ///< True time, once started.
      Time givenUp; ///< True time at which the daemon stops waiting.
      bool started = false;
      bool released = false;
    };
    bool alive = true;
    Time frozenUntil;
    std::deque<Dispatch> dispatches;
    wire::Grants grants;
    std::vector<wire::Grants> waiting; ///< Received while frozen.
  };

  struct Node
  {
    std::unique_ptr<OwnershipSystem> system;
    std::unique_ptr<ServingTable> serving;
    Serving published;
    Backend backend;
    double rate = 1;
    Duration offset{ 0 };
    bool alive = false;
    bool stopped = false;
    Time pausedUntil;
    Time nextPoll;
    Time nextGrant;
    Time nextAnnounce;
    Time nextHealth;
    Time grantedUntil; ///< Local time.
    Time frozenSince;
    bool backendHealthy = true;
    bool storeReachable = true;
    uint64_t grantSequence = 0;
    RowVersion readMembers = 0;
    RowVersion readAssignments = 0;
    std::vector<Input> inbox;
    std::vector<Output> held;
    int doubled = 0;
    Time reorderUntil;
    bool effectLate = false;
    Time answersLostUntil;
    Time raceUntil;
  };

  struct Message
  {
    size_t from;
    size_t to;
    Time due;
    Input input;
  };

  struct Write
  {
    size_t from;
    Time due;
    StartTransaction start;
    bool answer = true;
  };

  /** Drops or delays what passes between two groups of nodes. */
  struct LinkRule
  {
    std::vector<size_t> from;
    std::vector<size_t> to;
    Time until;
    Duration delay{ 0 };
    bool drop = true;
  };

  struct Armed
  {
    Fault fault;
    Time at;
    size_t node;
  };

  size_t StoreIndex() const;
  std::vector<size_t> Others(size_t aNode) const;
  Time Local(const Node& aNode) const;
  std::optional<Step> StepOf(size_t aNode, const Output& aOutput) const;
  std::optional<Step> StepOf(size_t aNode, const Transaction& aChange) const;
  const LinkRule* RuleFor(size_t aFrom, size_t aTo) const;
  void Cut(std::vector<size_t> aFrom, std::vector<size_t> aTo, Duration aTime);

  void TickNode(size_t aNode);
  void Traffic(size_t aNode);
  void RunBackend(size_t aNode);
  bool Granted(const Node& aNode, const Fence& aFence) const;
  void TickControl(size_t aNode);
  void Poll(size_t aNode);
  void SendGrants(size_t aNode);
  void CheckBackend(size_t aNode);
  bool StrikeAt(size_t aNode, const Output& aOutput);
  void Deliver(size_t aNode, const Output& aOutput);
  void Send(size_t aFrom, size_t aTo, Input aInput);
  void SendWrite(size_t aFrom, const StartTransaction& aStart);
  void DeliverMessages();
  void RunWrites();
  void AnswerWrite(const Write& aWrite, Result<TransactionResult> aResult);
  void Observe();

  ClusterOptions options;
  std::mt19937 random;
  Time now = FromBootNanoseconds(0) + std::chrono::seconds(100);
  uint64_t tick = 0;
  uint64_t starts = 0;
  MemoryTableStore store;
  uint64_t storeWrites = 0;
  Time storeDownUntil;
  Time storeSlowUntil;
  std::vector<Node> nodes;
  std::vector<Message> messages;
  std::vector<Write> writes;
  std::vector<LinkRule> rules;
  std::optional<std::pair<Step, Fault>> armed;
  std::optional<std::pair<Fault, Duration>> second;
  std::optional<std::pair<Fault, Duration>> again;
  std::vector<Armed> planned;
  bool struck = false;
  Time struckAt;
  OwnershipChecker checker;
};

} // namespace fescuetiller
