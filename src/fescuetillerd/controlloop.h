#pragma once

#include <atomic>
#include <functional>
#include <thread>

#include "fescuetillerd/backendlink.h"
#include "fescuetillerd/classes.h"
#include "fescuetillerd/controlsocket.h"
#include "fescuetillerd/inbox.h"
#include "fescuetillerd/loadmeter.h"
#include "fescuetillerd/peerclient.h"
#include "fescuetillerd/routes.h"
#include "fescuetillerd/slotgate.h"
#include "fescuetillerd/workqueue.h"

namespace fescuetiller {

/** What the control thread works with; owned by the daemon. */
struct ControlParts
{
  ControlSocket& socket;
  Inbox& inbox;
  ServingTable& serving;
  Routes& routes;
  Classes& classes;
  SlotGate& gate;
  BackendLink& backend;
  PeerClient& peers;
  std::function<std::unique_ptr<TableStore>()> openStore;
  /** Control addresses to gossip with while no other member is known. */
  std::vector<std::string> seeds;
  /** Called with every row that is newer than what was known. */
  std::function<void(const std::vector<Row>&)> onLearned;
};

/** State of the control thread as others may read it. */
struct ControlStatus
{
  Serving serving;
  std::vector<Member> members;
  std::vector<Assignment> assignments;
  OwnershipCounters counters;
  GossipCounters gossip;
  bool storeReachable = false;
  bool backendHealthy = false;
};

/**
 * The control thread: feeds messages and time to the ownership systems and
 * carries out what they ask. Blocking calls run on work queues.
 */
class ControlLoop
{
public:
  ControlLoop(OwnershipSettings aSettings,
              PlacementPolicy aPlacement,
              ControlParts aParts);
  ~ControlLoop();

  void Start();

  /** Stops the thread at once, whatever it still owns. */
  void Stop();

  /** Whether everything was handed over after a StopRequested. */
  bool Stopped() const;

  ControlStatus Status() const;

  /** The status without members and assignments, cheap at any size. */
  ControlStatus Summary() const;

private:
  void Run();
  void TickOnce(Time aNow, ReceivedMessages aReceived);
  void TickGossip(Time aNow,
                  const std::vector<GossipReceived>& aReceived,
                  std::vector<Input>& aInputs);
  void ApplyLearned(const std::vector<Row>& aRows);
  void UpdatePeers();
  void MeasureLoad(Time aNow, std::vector<Input>& aInputs);
  void Perform(const SendRenewal& aOutput);
  void Perform(const SendAck& aOutput);
  void Perform(const StartTransaction& aOutput);
  void Perform(const PushRows& aOutput);
  void PublishTables();
  void PollStore(Time aNow);
  void RenewGrants(Time aNow);
  void CheckBackend(Time aNow);
  void ReportIdle(std::vector<Input>& aInputs);
  void RunTransaction(const StartTransaction& aOutput);
  void ReadChanges();

  Duration backendGrant;
  OwnershipSystem system;
  GossipSystem gossip;
  LoadMeter load;
  ControlParts parts;
  WorkQueue storeWrites;
  WorkQueue storeReads;
  WorkQueue pushes;
  WorkQueue backendCalls;
  std::thread thread;
  std::atomic<bool> stopping{ false };
  std::atomic<bool> stopped{ false };
  std::atomic<bool> readPending{ false };
  std::atomic<bool> grantPending{ false };
  std::atomic<bool> healthPending{ false };
  std::atomic<bool> storeReachable{ false };
  std::atomic<bool> backendHealthy{ false };
  std::atomic<bool> backendDraining{ false };
  std::map<std::string, RowVersion> readRevisions; ///< Used by storeReads.
  Time nextPoll;
  Time nextGrant;
  std::atomic<Time> backendLapsesAt{ Time() }; ///< Of the latest grants.
  Time nextHealth;
  Time nextLoad;
  Duration pollInterval;
  uint64_t grantSequence = 0;
  uint64_t publishedChange = 0;
  Serving published;

  mutable std::mutex statusMutex;
  ControlStatus status;
};

} // namespace fescuetiller
