#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/changes.h"
#include "cluster/clusterview.h"
#include "cluster/evacuations.h"
#include "cluster/keyload.h"
#include "cluster/leasetimes.h"
#include "cluster/membermonitor.h"
#include "cluster/memberprobe.h"
#include "cluster/ownlease.h"
#include "cluster/peermessage.h"
#include "cluster/rebalancing.h"
#include "cluster/serverstate.h"
#include "cluster/storeera.h"
#include "cluster/transactionqueue.h"

namespace fescuetiller {

/** Constant properties of a daemon and of the backend server beside it. */
struct AgentIdentity
{
  std::string service;
  std::string zone;
  std::string address;    ///< For requests from other daemons (TCP).
  std::string udpAddress; ///< For peer messages.
  std::string server;     ///< Address of the backend server beside the daemon.
};

struct AgentSettings
{
  LeaseTimes times;
  RebalancingPolicy rebalancing;
  /** Regular time between two heartbeats of a backend server. */
  Duration heartbeat = std::chrono::milliseconds(1000);
  /** Longest grant that backend servers accept. */
  Duration maxGrantTime = std::chrono::seconds(10);
  /** How long a backend server may still be sent requests after it has
   * announced its shutdown. */
  Duration drainTime = std::chrono::seconds(2);
  /** Time from the order to evacuate a zone until its servers get no more
   * requests. */
  Duration evacuationTime = std::chrono::seconds(5);
};

/** Load that another member reported recently. */
struct PeerLoad
{
  double load = 0;    ///< Of its backend server; 1: full capacity.
  Time nextHeartbeat; ///< When the next heartbeat of its server is due.
};

/** Keys that the backend server beside the daemon serves or will be granted. */
struct ServedRange
{
  KeyRange range;
  Time grantedUntil; ///< Time() if not granted yet.

  friend bool operator==(const ServedRange& aLeft, const ServedRange& aRight);
};

/** What the request path needs to know about the backend server beside the
 * daemon. */
struct ServingState
{
  MemberId member;              ///< Empty if the daemon is not a member.
  ServerIncarnation server;     ///< No id if no server has sent a heartbeat.
  uint32_t slots = 0;           ///< Requests that the server runs concurrently.
  bool available = false;       ///< Whether the server is known and not lost.
  bool draining = false;        ///< Whether the server announced its shutdown.
  Time sendUntil = Time::max(); ///< It must get no requests afterwards.
  /** Until when the server is cold by its last heartbeat; Time(): it is not;
   * Time::max(): until a heartbeat arrives after the evacuation of its zone. */
  Time coldUntil;
  Time heardAt; ///< When that heartbeat was received.
  /** It must get no requests afterwards, since its zone is evacuated. */
  Time evacuatedFrom = Time::max();
  /** Whether the daemon knows which zones are evacuated. */
  bool knowsEvacuations = true;
  /** Time from an announced shutdown until no more requests are sent. */
  Duration drainTime = std::chrono::seconds(2);
  Time nextHeartbeat; ///< When the next grants are expected.
  Time leaseUntil;    ///< When the lease ends, after which no keys are granted.
  bool ownsKeys = false;
  std::vector<ServedRange> ranges;    ///< In ascending order.
  std::vector<PlannedMove> movedKeys; ///< Recently moved to other members.

  friend bool operator==(const ServingState& aLeft, const ServingState& aRight);
};

/** Returns a state with the shutdown that its server has announced since, and
 * with the evacuation of its zone.
 * @param aNewer A newer state. */
ServingState
WithSendLimits(ServingState aState, const ServingState& aNewer);

/**
 * Makes all decisions of a daemon about membership and key ownership: joining,
 * monitoring other members, keeping the own lease, granting keys to the backend
 * server beside it, moving keys, and taking over lost members. Does no
 * I/O and reads no clock: time and messages are passed in, messages and
 * transactions are returned. Not thread-safe.
 */
class OwnershipAgent
{
public:
  using IdFunction = std::function<MemberId()>;

  OwnershipAgent(AgentIdentity aIdentity,
                 AgentSettings aSettings,
                 IdFunction aNewId,
                 RandomFunction aRandom);

  /** Sets limits of the platform, which may change while the daemon runs. */
  void SetBounds(Duration aMaxGrantTime,
                 Duration aDrainTime,
                 Duration aEvacuationTime);

  /** Sets whether members of the own service own keys by its configuration. */
  void SetOwnsKeys(bool aOwnsKeys);

  /** Replaces all rows of a service. The daemon joins only after the rows of
   * its own service were passed. */
  void OnRows(Time aNow, const std::string& aService, const StoreRows& aRows);
  void OnRow(Time aNow, const StoreRow& aRow);

  /** Whether the server has announced its shutdown and the store does not say
   * so yet. A restarted daemon would not know of it. */
  bool IsRecordingShutdown() const;

  /** Records that all changes of the cluster rows up to a version have been
   * passed to this agent. */
  void OnRowsComplete(RowVersion aVersion);

  /** @return Reply with the keys that the server is granted, if any. */
  HeartbeatReply OnHeartbeat(Time aNow, const ServerReport& aReport);
  /** The backend server announced its shutdown outside of a heartbeat. */
  void OnServerDeregistered(Time aNow, const std::string& aServerId);
  /** An incarnation of the backend server announced its shutdown in a response.
   */
  void OnServerLeaving(Time aSince, const ServerIncarnation& aServer);
  /** The backend server's address refused a connection. */
  void OnConnectionRefused(Time aNow);

  /** @return Replies to the sender, whose address is left empty, and messages
   * to others. */
  std::vector<OutgoingMessage> OnPeerMessage(Time aNow,
                                             const PeerMessage& aMessage);
  /** The long lease of another member was read from the store. */
  void OnLongLeaseRead(Time aNow, const MemberId& aMember, RowVersion aVersion);

  /** The store came back from an older copy, or its era was seen for the first
   * time. All rows but drain requests belong to an era, so the member joins
   * again and brings the ranges along that it certainly still owns. */
  void OnStoreEra(Time aNow, StoreEra aEra);
  StoreEra Era() const;
  /** The store has rows of earlier eras, so servers may hold keys that no row
   * of this era names. To be called before the first rows of an era are passed.
   */
  void SetHasEarlierRows(Time aNow);
  /** Whether the member is joining again in a new era, and the view does not
   * name an owner for all keys yet. */
  bool IsReturning(Time aNow) const;

  /** Zones under evacuation. Its caller passes the operators' orders, and
   * announces those that are known with each datagram. */
  Evacuations& ZoneEvacuations();
  const Evacuations& ZoneEvacuations() const;

  /** Sets whether changes in the store are currently received. */
  void SetStoreReachable(bool aReachable);

  /** @param aKeys Load of the own server by key.
   * @param aUnusable Share of the own server's capacity that it does not offer.
   * @param aLoads Loads that other members reported in their responses. */
  void SetLoads(std::vector<KeyWeight> aKeys,
                double aUnusable,
                std::map<MemberId, PeerLoad> aLoads);

  struct Output
  {
    std::vector<OutgoingMessage> messages;
    std::vector<StoreKey> leaseReads; ///< Long leases to read from the store.
  };
  /** Does everything that is due; to be called several times a second. */
  Output Tick(Time aNow);

  /** Removes the own member record before a permanent shutdown, unless the
   * member still owns keys. */
  void LeaveCluster(Time aNow);

  TransactionQueue& Transactions();
  /** Whether no transaction is pending. */
  bool IsIdle() const;
  const ClusterView& View() const;
  /** Whether this member owns keys now. */
  bool HasRanges() const;
  ServingState ServingStateAt(Time aNow) const;
  /** Latest time at which grants may expire; Time() if the daemon is not a
   * member. */
  Time LeaseEnd() const;
  std::vector<Event> TakeEvents();

private:
  enum class Phase
  {
    NotMember, ///< There is no member record in the store.
    Joining,   ///< The member record is being written.
    Member,
  };
  struct Move
  {
    PlannedMove plan;
    /** The server is lost or shuts down, or operators drain the member. */
    bool forced = false;
    bool writing = false; ///< Whether the store transaction is pending.
  };
  struct ReceivedLoad
  {
    PeerLoad load;
    Time receivedAt;
  };
  struct FinishedMove
  {
    PlannedMove plan;
    Time finishedAt;
  };
  using RangeList = std::vector<const Versioned<RangeRecord>*>;

  /** Returns the ranges to bring along into a new era. */
  std::vector<KeyRange> ChooseKeptRanges(Time aNow) const;
  std::vector<KeyRange> UnownedKeys() const;
  void FillGaps(Time aNow);
  void RestoreDrains(Time aNow);
  void LogRefusedRows();
  /** Writes the own rows again that another writer has spoilt. */
  void RestoreOwnRows(Time aNow);
  void RemoveRefusedMembers(Time aNow);
  void Join(Time aNow);
  void OnJoinFinished(Time aNow,
                      const TransactionResult& aResult,
                      const MemberRecord& aRecord,
                      Time aSentAt);
  void CheckMembership(Time aNow);
  /** Applies the rows about this daemon and its server that have changed. */
  void OnViewChanged(Time aNow);
  void RecordShutdown(Time aNow);
  /** Removes records of shutdowns that no late heartbeat can belong to. */
  void RemoveOldShutdowns(Time aNow);
  void UpdateMember(Time aNow);
  void WriteMember(Time aNow, const MemberRecord& aRecord);
  void RenewLongLease(Time aNow);
  void SendRenewals(Time aNow, Output& aOutput);
  void SendProbes(Time aNow, Output& aOutput);
  bool IsGuardianSilent(Time aNow, const MemberId& aGuardian) const;
  std::vector<MemberId> ChooseGuardians(Time aNow) const;
  void CreateRanges(Time aNow);
  void PlanMoves(Time aNow);
  void Evacuate(Time aNow);
  void DropStaleMoves(Time aNow);
  std::vector<KeyHandover> FindHandovers(
    const std::vector<PlannedMove>& aPlans) const;
  void WriteMoves(Time aNow);
  /** Sends changed rows to the other members, directly or through others. */
  void DisseminateRows(Time aNow, const std::vector<StoreRow>& aRows);
  /** A member to which changed rows are sent. */
  struct RowReceiver
  {
    std::string address;
    bool relays = false; ///< It passes them on in its zone.
  };
  /** Chooses the members to which changed rows are sent. The others get them
   * from relays. */
  std::map<MemberId, RowReceiver> ChooseRowReceivers(
    Time aNow,
    const std::vector<StoreRow>& aRows);
  /** Chooses the members of another zone that pass rows on.
   * @param aPreferred Members that are sent the rows anyway.
   * @return Nothing if too few of the members can. */
  std::vector<MemberId> ChooseRelays(
    Time aNow,
    const std::vector<MemberId>& aMembers,
    const std::set<MemberId>& aPreferred) const;
  /** Returns the messages that pass on rows to the other members of the own
   * zone. */
  std::vector<OutgoingMessage> RelayRows(const PeerMessage& aMessage) const;
  bool IsStoreReachable() const;
  void MergeRanges(Time aNow);
  void TakeUnownedRanges(Time aNow);
  /** Gives up own ranges that another one overlaps. */
  void GiveUpOverlaps(Time aNow);
  void SubmitTrim(Time aNow,
                  const Versioned<RangeRecord>& aRange,
                  const StoreTransaction& aChange);
  /** Returns an own range without the keys that may have another holder, since
   * another range contains them, too. */
  std::vector<KeyRange> UncontestedParts(
    const Versioned<RangeRecord>& aOwned) const;
  /** Returns the keys of a range that the own server does not hold. */
  std::vector<KeyRange> UnheldParts(const KeyRange& aRange) const;
  void TakeOverPredecessors(Time aNow);
  void TakeOver(Time aNow, const LostMember& aLost, const std::string& aBasis);
  RangeList OwnedRanges() const;
  std::vector<KeyRange> OwnedKeyRanges() const;
  /** Load of the own server by its keys. What it does not offer counts as in
   * use, so that loads can be compared between members. */
  double OwnLoad() const;
  /** Members that can be given keys. @param aIncludeUnknown Whether to include
   * members that own keys but whose load is unknown. */
  std::vector<MemberLoad> FindTargets(Time aNow,
                                      const std::string& aService,
                                      bool aIncludeUnknown) const;
  std::optional<PeerLoad> FindLoad(Time aNow, const MemberId& aMember) const;
  PeerMessage MakePeerMessage(Time aNow,
                              PeerMessage::Kind aKind,
                              const MemberId& aTo,
                              const MemberId& aMember,
                              RowVersion aVersion,
                              int64_t aSentAt) const;
  Duration TimeUntilGrant(Time aNow, const PeerLoad& aPeer) const;
  std::vector<Grant> MakeGrants() const;
  bool IsDrained() const;
  Duration MaxGrantTime() const;
  Duration MaxUnseenGrantTime() const;
  bool CanOwnKeys(Time aNow) const;
  MemberState DesiredState(Time aNow) const;
  void SubmitChange(Time aNow, const StoreTransaction& aChange);
  void ApplyResult(Time aNow,
                   const StoreTransaction& aTransaction,
                   const TransactionResult& aResult);
  void LogEvent(std::string aName,
                std::vector<std::pair<std::string, std::string>> aFields);

  AgentIdentity identity;
  AgentSettings settings;
  IdFunction newId;
  RandomFunction random;

  Phase phase = Phase::NotMember;
  MemberId self;
  ClusterView view;
  bool viewLoaded = false;
  bool ownsKeys = false;
  OwnLease lease;
  MemberMonitor monitor;
  MemberProbe probe;
  ServerState server;
  Evacuations evacuations;
  TransactionQueue queue;
  std::vector<Move> moves;
  std::deque<FinishedMove> finishedMoves;
  std::vector<OutgoingMessage> pendingMessages; ///< Sent with the next tick.
  bool storeReachable = true;
  StoreEra era = 0;
  /** Servers may hold keys that were granted in an earlier era. */
  bool hasEarlierGrants = false;
  Time eraSeenAt;
  Time returnedAt; ///< When the era changed during this process; Time(): never.
  std::vector<KeyRange> keptRanges; ///< To bring along into this era.
  Time keptUntil; ///< End of the lease under which they were owned.
  /** Requests of the era before, which the copy may lack. */
  std::vector<DrainRecord> drainsToRestore;
  /** UDP addresses of the members in the era before. */
  std::map<MemberId, std::string> earlierMembers;
  uint64_t closeCount = 0; ///< Changes of the row with ClaimsClosedKey.
  std::map<MemberId, Time> guardianSince; ///< When each got its first renewal.
  std::map<Key, Time> unownedSince;       ///< By first key of unowned ranges.
  std::map<Key, Time> overlapsSince;      ///< By first key of own ranges.
  /** Refused rows that were logged, and the reasons. */
  std::map<StoreKey, std::string> loggedRefusals;
  std::map<StoreKey, Time> refusedSince; ///< By key of refused member rows.
  std::set<MemberId> loggedUnheard;
  /** Records of shutdowns by address: version and when it was first seen. */
  std::map<std::string, std::pair<RowVersion, Time>> shutdownsSince;
  Time nextShutdownCheckAt;
  RowVersion longLeaseVersion = 0;
  uint64_t longLeaseCount = 0;
  Time joinedAt;
  Time firstRangeMissingSince; ///< Time(): a range begins at key 0.
  size_t readyMembers = 0;     ///< Members that could get the first ranges.
  Time readyMembersSince;      ///< When their number last changed.
  Time nextJoinAt;
  Time nextRenewAt;
  Time nextLongRenewAt;
  Time nextMemberChangeAt;
  Time nextMoveAt;
  Time grantedUntil;
  Time lastHeartbeat;
  std::vector<Grant> granted; ///< In the latest reply to a heartbeat.
  std::vector<KeyWeight> keys;
  double unusableShare = 0;                   ///< Of the own server's capacity.
  std::map<MemberId, PeerLoad> responseLoads; ///< From HTTP responses.
  std::map<MemberId, ReceivedLoad> messageLoads; ///< From peer messages.
  /** Members that pass on rows if they are asked to. */
  std::set<MemberId> relays;
  std::vector<Event> events;
};

} // namespace fescuetiller
