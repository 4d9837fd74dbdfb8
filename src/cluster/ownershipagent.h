#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/changes.h"
#include "cluster/clusterview.h"
#include "cluster/keyload.h"
#include "cluster/leasetimes.h"
#include "cluster/membermonitor.h"
#include "cluster/memberprobe.h"
#include "cluster/ownlease.h"
#include "cluster/peermessage.h"
#include "cluster/rebalancing.h"
#include "cluster/serverstate.h"
#include "cluster/transactionqueue.h"

namespace fescuetiller {

/** What a daemon tells others of itself. */
struct AgentIdentity
{
  std::string service;
  std::string zone;
  std::string address;    ///< Takes requests from other daemons.
  std::string udpAddress; ///< Takes lease messages.
  std::string server;     ///< Address of the backend server beside it.
};

struct AgentSettings
{
  LeaseTimes times;
  RebalancingPolicy rebalancing;
  /** Usual time between heartbeats of a backend server. */
  Duration heartbeat = std::chrono::milliseconds(1000);
  /** Longest grant that backend servers accept. */
  Duration longestGrant = std::chrono::seconds(10);
  /** Time after a server's word that it leaves in which it may still get
   * requests. */
  Duration drainTime = std::chrono::seconds(2);
};

/** What another member said of itself lately. */
struct PeerLoad
{
  double load = 0;    ///< Work asked of its server; 1: all that it can do.
  Time nextHeartbeat; ///< When its server calls it next.
};

/** Keys that the backend server beside the daemon serves or soon will. */
struct ServedRange
{
  KeyRange range;
  Time grantedUntil; ///< Time(): not granted yet.

  friend bool operator==(const ServedRange& aLeft, const ServedRange& aRight);
};

/** What the request path must know of the backend server beside the daemon. */
struct ServingState
{
  MemberId member;      ///< Empty: not a member.
  std::string serverId; ///< Empty: no server has announced itself.
  uint32_t slots = 0;
  bool available = false;
  bool draining = false;
  Time sendUntil = Time::max(); ///< No request is sent to it later.
  Time nextHeartbeat;           ///< When new grants can be expected.
  Time leaseUntil; ///< End of the time in which there are new grants.
  bool ownsKeys = false;
  std::vector<ServedRange> ranges;    ///< In ascending order.
  std::vector<PlannedMove> movedKeys; ///< Keys that went to others lately.

  friend bool operator==(const ServingState& aLeft, const ServingState& aRight);
};

/**
 * Everything that a daemon decides about membership and the ownership of keys:
 * joining, watching and being watched, grants for the backend server beside it,
 * moves of keys, and takeovers of lost members. Pure: time and messages in,
 * messages and transactions out. Not thread-safe.
 */
class OwnershipAgent
{
public:
  using IdFunction = std::function<MemberId()>;

  OwnershipAgent(AgentIdentity aIdentity,
                 AgentSettings aSettings,
                 IdFunction aNewId,
                 RandomFunction aRandom);

  /** Bounds of the platform, which may change while the daemon runs. */
  void SetBounds(Duration aLongestHold, Duration aDrainTime);

  /** What the configuration says of the own service. */
  void SetOwnsKeys(bool aOwnsKeys);

  /** All rows of a service; the first time for the own service allows to join.
   */
  void OnRows(Time aNow, const std::string& aService, const StoreRows& aRows);
  void OnRow(Time aNow, const StoreRow& aRow);

  HeartbeatReply OnHeartbeat(Time aNow, const ServerReport& aReport);
  void OnServerDeregistered(Time aNow, const std::string& aServerId);
  /** The server's address refused a connection. */
  void OnConnectionRefused(Time aNow);

  std::vector<OutgoingMessage> OnPeerMessage(Time aNow,
                                             const PeerMessage& aMessage);
  void OnLongLeaseRead(Time aNow, const MemberId& aMember, RowVersion aVersion);

  /** Whether changes of the store are being seen. */
  void SetStoreReachable(bool aReachable);

  /** @param aKeys Load of the own server by key. */
  void SetLoads(std::vector<KeyWeight> aKeys,
                std::map<MemberId, PeerLoad> aLoads);

  struct Output
  {
    std::vector<OutgoingMessage> messages;
    std::vector<StoreKey> leaseReads;
  };
  Output Tick(Time aNow);

  /** A planned stop for good: the member ends unless it owns keys. */
  void LeaveCluster(Time aNow);

  TransactionQueue& Transactions();
  /** Whether no change of the store is under way. */
  bool IsIdle() const;
  const ClusterView& View() const;
  ServingState ServingStateAt(Time aNow) const;
  /** Until when grants may run; Time() while there is no lease. */
  Time LeaseEnd() const;
  std::vector<Event> TakeEvents();

private:
  enum class Phase
  {
    Outside, ///< No record in the store.
    Joining, ///< The record is being written.
    Inside,
  };
  struct Move
  {
    PlannedMove plan;
    bool forced = false; ///< The server leaves, is lost, or is drained.
    bool writing = false;
  };
  struct HeardLoad
  {
    PeerLoad load;
    Time at;
  };
  struct FinishedMove
  {
    PlannedMove plan;
    Time at;
  };
  using OwnedRanges = std::vector<const Versioned<RangeRecord>*>;

  void Join(Time aNow);
  void OnJoined(Time aNow,
                const TransactionResult& aResult,
                const MemberRecord& aRecord,
                Time aSentAt);
  void CheckMembership(Time aNow);
  void UpdateMember(Time aNow);
  void WriteMember(Time aNow, const MemberRecord& aRecord);
  void RenewLongLease(Time aNow);
  void SendRenewals(Time aNow, Output& aOutput);
  void SendProbes(Time aNow, Output& aOutput);
  bool IsSilent(Time aNow, const MemberId& aGuardian) const;
  std::vector<MemberId> ChooseGuardians(Time aNow) const;
  void CreateRanges(Time aNow);
  void PlanMoves(Time aNow);
  void Evacuate(Time aNow);
  void DropStaleMoves(Time aNow);
  void WriteMoves(Time aNow);
  void Spread(const std::vector<StoreRow>& aRows);
  bool StoreReachable() const;
  void MergeRanges(Time aNow);
  void TakeOrphans(Time aNow);
  void TakeOverPredecessors(Time aNow);
  void TakeOver(Time aNow, const LostMember& aLost, const std::string& aBasis);
  OwnedRanges Owned() const;
  std::vector<KeyRange> OwnedKeyRanges() const;
  /** @param aWithUnknown Whether members count of whose load nothing is known.
   */
  std::vector<MemberLoad> Targets(Time aNow,
                                  const std::string& aService,
                                  bool aWithUnknown) const;
  std::optional<PeerLoad> LoadOf(Time aNow, const MemberId& aMember) const;
  PeerMessage Beacon(Time aNow,
                     PeerMessage::Kind aKind,
                     const MemberId& aTo,
                     const MemberId& aWard,
                     RowVersion aVersion,
                     int64_t aSentAt) const;
  Duration UntilHeartbeat(Time aNow, const PeerLoad& aPeer) const;
  std::vector<Grant> GrantList() const;
  bool Drained() const;
  bool MayOwnKeys(Time aNow) const;
  MemberState DesiredState(Time aNow) const;
  void Submit(Time aNow, const StoreTransaction& aChange);
  void ApplySettled(Time aNow,
                    const StoreTransaction& aTransaction,
                    const TransactionResult& aResult);
  void Say(std::string aName,
           std::vector<std::pair<std::string, std::string>> aFields);

  AgentIdentity identity;
  AgentSettings settings;
  IdFunction newId;
  RandomFunction random;

  Phase phase = Phase::Outside;
  MemberId self;
  ClusterView view;
  bool viewLoaded = false;
  bool ownsKeys = false;
  OwnLease lease;
  MemberMonitor watch;
  MemberProbe probe;
  ServerState server;
  TransactionQueue queue;
  std::vector<Move> moves;
  std::deque<FinishedMove> moved;
  std::vector<OutgoingMessage> pendingBeacons;
  bool storeReachable = true;
  std::map<MemberId, Time> guardianSince;
  std::map<Key, Time> orphans; ///< Ranges without a living owner, since when.
  RowVersion longLeaseVersion = 0;
  uint64_t longLeaseCount = 0;
  Time joinedAt;
  size_t gatheredMembers = 0; ///< Members that could get the first ranges.
  Time gatheredAt;            ///< Since when there are so many.
  Time nextJoinAt;
  Time nextRenewAt;
  Time nextLongRenewAt;
  Time nextMemberChangeAt;
  Time nextMoveAt;
  Time grantedUntil;
  Time lastHeartbeat;
  std::vector<Grant> granted;
  std::vector<KeyWeight> keys;
  std::map<MemberId, PeerLoad> loads;  ///< From answers.
  std::map<MemberId, HeardLoad> heard; ///< From lease messages.
  std::vector<Event> events;
};

} // namespace fescuetiller
