#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "admission/admission.h"
#include "cluster/cluster.h"
#include "fescuetillerd/dispatch.h"
#include "fescuetillerd/eventlog.h"
#include "http/http.h"

namespace fescuetiller {

class Execution;

/** What runs somewhere and can be told to stop. */
class Cancellable
{
public:
  virtual ~Cancellable() = default;
  virtual void Cancel() = 0;
};

/**
 * Runs requests on the backend server beside this daemon. Nobody else can reach
 * that server, so its slots, its keys and its drain are decided here, exactly.
 * Each answer carries a note on what became of the request. Runs on the traffic
 * thread.
 */
class Executor
{
public:
  Executor(asio::io_context& aContext,
           Tcp::endpoint aServer,
           std::string aService,
           EventLog& aLog);

  /** Called when the server's address refuses connections. */
  std::function<void()> onRefusedConnection;

  void SetServing(const ServingState& aServing);

  /** Runs a request; the receiver gets the server's answer or a refusal, with a
   * note in either case. */
  std::shared_ptr<Cancellable> Start(
    HttpRequest aRequest,
    const Dispatch& aDispatch,
    std::shared_ptr<ResponseReceiver> aReceiver);

  /** Whether a request with this id holds a slot here. */
  bool IsRunning(const std::string& aRequestId) const;

  double OfferedLoad();
  /** Load that each key brings to the server; all keys of a server that is
   * asked for all it can do add up to 1. */
  std::vector<KeyWeight> KeyWeights();
  bool Idle() const;
  /** Connections to the backend server opened so far. */
  uint64_t ConnectionsOpened() const;
  void Sweep(Time aNow);

private:
  friend class Execution;

  std::string Gate(const Dispatch& aDispatch,
                   const HttpRequest& aRequest,
                   Time aNow,
                   SlotRequest& aSlot,
                   std::optional<Key>& aKey);
  bool MayStart(uint64_t aId) const;
  const ServedRange* FindRange(Key aKey) const;
  MemberId MovedTo(Key aKey) const;
  void RefuseMovedKeys();
  void Pump();
  void ArmTick();
  void Refuse(const SlotRefusal& aRefusal);
  ExecutionReport Note(ExecutionOutcome aOutcome,
                       const Execution& aExecution,
                       const std::string& aReason = "",
                       Duration aRetryAfter = Duration(0)) const;

  asio::io_context& context;
  Tcp::endpoint server;
  std::string service;
  EventLog& log;
  ConnectionPool pool;
  ServingState serving;
  SlotQueue queue;
  KeyLoad keyLoad;
  asio::steady_timer tick;
  bool ticking = false;
  uint64_t nextId = 1;
  std::map<uint64_t, std::shared_ptr<Execution>> executions;
  std::set<std::string> runningIds;
};

} // namespace fescuetiller
