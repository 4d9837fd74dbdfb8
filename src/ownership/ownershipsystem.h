#pragma once

#include <functional>
#include <optional>
#include <set>

#include "ownership/backendcondition.h"
#include "ownership/changes.h"
#include "ownership/clustertable.h"
#include "ownership/grantorchoice.h"
#include "ownership/leasegrantor.h"
#include "ownership/leaseholder.h"
#include "ownership/lostmemberwatch.h"
#include "ownership/movetable.h"
#include "ownership/placementhistory.h"
#include "ownership/transactionqueue.h"
#include "placement/placement.h"

namespace fescuetiller {

/** What a daemon is and how it takes part in ownership. */
struct OwnershipSettings
{
  std::string name;
  std::string zone;
  std::string controlAddress;
  std::string peerAddress;
  std::string callerAddress;
  std::string operatorAddress;
  /** Number of partitions of each service. */
  std::map<std::string, uint32_t> partitions;
  LeaseSettings lease;
  /** Moves of the own partitions under way at once. */
  size_t movesAtOnce = 8;
  /** Partitions claimed by one transaction. */
  size_t claimsAtOnce = 64;
  Duration planInterval = std::chrono::milliseconds(200);
  /** Time between looks for a grantor that is better placed. */
  Duration grantorCheckInterval = std::chrono::seconds(2);
};

/** One partition that this daemon owns. */
struct OwnedPartition
{
  PartitionId partition;
  Epoch epoch = 0;
  bool admitting = true; ///< False while it is being handed over.

  friend bool operator==(const OwnedPartition& aLeft,
                         const OwnedPartition& aRight);
};

/** What this daemon may serve, and until when. */
struct Serving
{
  Incarnation incarnation = kNoIncarnation;
  Time leaseUntil;
  std::vector<OwnedPartition> partitions;

  friend bool operator==(const Serving& aLeft, const Serving& aRight);
};

/** Counters of the ownership systems, read by metrics. */
struct OwnershipCounters
{
  uint64_t takeovers = 0;
  uint64_t movesOut = 0;
  uint64_t claims = 0;
  uint64_t grantorChanges = 0;
  uint64_t incarnationsEnded = 0;
};

/**
 * Decides which partitions this daemon owns. Pure: time and messages go in
 * with each tick, messages come out; no clock, socket or thread inside.
 */
class OwnershipSystem
{
public:
  /** Draws incarnations; must never repeat one of the deployment. */
  using DrawIncarnation = std::function<Incarnation()>;

  OwnershipSystem(OwnershipSettings aSettings,
                  PlacementPolicy aPlacement,
                  DrawIncarnation aDraw);

  OwnershipSystem(const OwnershipSystem&) = delete;
  OwnershipSystem& operator=(const OwnershipSystem&) = delete;

  std::vector<Output> Tick(Time aNow, const std::vector<Input>& aInputs);

  Serving CurrentServing() const;
  const ClusterTable& Table() const;
  const OwnershipCounters& Counters() const;
  Incarnation Self() const;

  /** Nothing is owned and the member record is ended; the process may exit. */
  bool Stopped() const;

private:
  enum class Phase
  {
    NoBackend,
    Joining,
    Active,
    Ending,
    Ended,
  };

  void Accept(Time aNow, const Renewal& aRenewal);
  void Accept(Time aNow, const RenewalAck& aAck);
  void Accept(Time aNow, const TransactionAnswer& aAnswer);
  void Accept(Time aNow, const RowsLearned& aRows);
  void Accept(Time aNow, const BackendAnnounced& aBackend);
  void Accept(Time aNow, const BackendLost& aLost);
  void Accept(Time aNow, const BackendReturned& aReturned);
  void Accept(Time aNow, const StoreReachable& aStore);
  void Accept(Time aNow, const PartitionIdle& aIdle);
  void Accept(Time aNow, const DrainRequested& aRequest);
  void Accept(Time aNow, const MemberDeclaredLost& aLost);
  void Accept(Time aNow, const StopRequested& aRequest);
  void Accept(Time aNow, const LoadMeasured& aLoad);
  void Accept(Time aNow, const PeerLoadsLearned& aLoads);

  void Restart();
  void NoticePause(Time aNow);
  void Join(Time aNow);
  void KeepLease(Time aNow);
  bool GrantorUsable(Time aNow) const;
  bool MayImproveGrantor(Time aNow);
  void NameGrantor(Time aNow, Incarnation aGrantor);
  void WriteSelf(Time aNow, Member aMember);
  void SelfWritten(Time aNow,
                   Time aSentAt,
                   const Member& aMember,
                   const TransactionResult& aResult);
  void SelfNotWritten(const TransactionResult& aResult);
  void TakeOverLost(Time aNow);
  void TakeOver(Time aNow, Incarnation aLost);
  void Plan(Time aNow);
  void Claim(const std::vector<Move>& aMoves);
  void ReleaseAll();
  size_t MoveLimit() const;
  void FinishLapsedMoves(Time aNow);
  void FinishMove(const Move& aMove);
  void EndWhenEmpty(Time aNow);
  bool Empty() const;
  void Learn(const std::vector<Row>& aRows);
  void ApplyChanges(const Transaction& aChange, RowVersion aRevision);
  void Push(Incarnation aTo, const std::vector<Row>& aRows);
  PlacementView View(Time aNow, const std::string& aService) const;
  std::string NextWriteId();
  bool LeaseValid(Time aNow) const;
  bool WantsPartitions(Time aNow) const;
  bool Leaves() const;

  OwnershipSettings settings;
  PlacementPolicy placement;
  DrawIncarnation draw;

  Phase phase = Phase::NoBackend;
  Member self;
  BackendCondition backend;
  bool draining = false;
  bool stopping = false;
  bool storeReachable = true;
  bool selfWritePending = false;
  std::string selfWriteId;
  bool claimPending = false;
  Time lastTick;
  Time nextStoreRenewal;
  Time nextGrantorCheck;
  Time nextPlan;
  uint64_t writeCounter = 0;

  ClusterTable table;
  PlacementHistory history;
  TransactionQueue transactions;
  LeaseHolder holder;
  LeaseGrantor grantor;
  LostMemberWatch watch;
  std::set<Incarnation> silentGrantors;
  MoveTable moves;
  std::map<PartitionId, double> partitionLoads;
  std::map<Incarnation, double> serverLoads;
  OwnershipCounters counters;
  std::vector<Output> outputs;
};

} // namespace fescuetiller
