#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "admission/admission.h"
#include "cluster/cluster.h"
#include "fescuetillerd/dispatch.h"
#include "fescuetillerd/eventlog.h"
#include "fescuetillerd/executionreceiver.h"
#include "http/http.h"

namespace fescuetiller {

class Execution;

/** A running operation that can be cancelled. */
class Cancellable
{
public:
  virtual ~Cancellable() = default;
  virtual void Cancel() = 0;
};

/**
 * Runs requests on the backend server beside this daemon. No other daemon can
 * reach that server, so its slots, keys and drain are enforced here, exactly.
 * Each response carries an ExecutionReport. Runs on the traffic thread.
 */
class Executor
{
public:
  Executor(asio::io_context& aContext,
           Tcp::endpoint aServer,
           std::string aService,
           EventLog& aLog);

  /** Called when the backend server's address refuses connections. */
  std::function<void()> onServerConnectionRefused;
  /** Called when the server states in a response that it is about to shut down,
   * with the time of that response. */
  std::function<void(const ServerIncarnation&, Time)> onServerLeaving;
  /** Called when the server sends data that no request waits for. */
  std::function<void(const UnexpectedData&)> onUnexpectedData;
  /** Called with crash records that other daemons need. */
  std::function<void(CrashRecords::Records)> onCrashNews;

  void SetServing(const ServingState& aServing);

  /** Handles what another daemon knows of the server's announcements, which may
   * have been made before this daemon was started. */
  void OnServerNotice(const ServerNotice& aNotice);

  /** Handles crash records of another daemon. */
  void OnCrashRecords(const CrashRecords::Records& aRecords);
  /** Requests under which servers ended. */
  CrashRecords& Crashes();

  /** Estimates when the network link could carry the response to a request of a
   * class. */
  std::function<LinkEstimate(const std::string& aClass)> estimateLink;

  /** Runs a request as soon as it gets a slot. The receiver gets the server's
   * response or a refusal, either with an execution report, and not before
   * Start has returned.
   * @param aLink For a request of another daemon. */
  std::shared_ptr<Cancellable> Start(
    HttpRequest aRequest,
    const Dispatch& aDispatch,
    std::shared_ptr<ExecutionReceiver> aReceiver,
    const std::optional<LinkEstimate>& aLink = std::nullopt);

  /** Whether a request with this id holds a slot of the backend server. */
  bool IsRunning(const std::string& aRequestId) const;

  /** Load offered to the backend server; 1: full capacity. */
  double OfferedLoad();
  /** Share of the backend server's capacity that it does not offer now, since
   * it states a request limit. */
  double UnusableShare() const;
  /** Share of the backend server's capacity that each key takes; the shares of
   * all keys add up to 1 at full capacity. */
  std::vector<KeyWeight> KeyWeights();
  /** Requests per second that the backend server currently accepts; empty if it
   * states no limit. */
  std::optional<double> RequestsPerSecond();
  /** What the backend server's slots were used for so far. */
  SlotTimes SlotTotals() const;
  bool IsIdle() const;
  /** Whether a request that arrived before a time is in progress. */
  bool HasRequestsFrom(Time aBefore) const;
  /** Makes the final response to another daemon before this process exits: its
   * next request over the connection is refused and does not run. */
  HttpResponse MakeFinalResponse();
  /** Number of connections to the backend server opened so far. */
  uint64_t ConnectionsOpened() const;
  void CloseIdleConnections(Time aNow);

private:
  friend class Execution;

  /** Sets the key and the earliest start of a new request.
   * @return Why it is refused; empty if it may wait for a slot. */
  std::string CheckAdmission(const Dispatch& aDispatch,
                             const HttpRequest& aRequest,
                             Time aNow,
                             SlotRequest& aSlot,
                             std::optional<Key>& aKey);
  bool CanStart(uint64_t aId) const;
  /** Why a request must not be sent to the server now; empty if it may be.
   * Checked before the request gets a slot, and again when it is written: it
   * may have waited for the processor or a connection in between.
   * @param aKey Key of the request, if it has one. Without a key, only what
   * holds for all requests is checked. */
  std::string ReasonNotToSend(Time aNow, const std::optional<Key>& aKey) const;
  /** Why a request for a key that is not served here is refused. */
  std::string ReasonNotServed(Key aKey) const;
  /** Whether the server announced its shutdown. */
  bool IsServerLeaving() const;
  /** Until when requests are sent to the server. */
  Time SendUntil() const;
  /** When the server's drain time is over, after which it must get none. */
  Time DrainEnd() const;
  /** Passes on to the slot usage how many slots requests can make use of. */
  void UpdateSlotCapacity();
  const ServedRange* FindServedRange(Key aKey) const;
  /** Member that the key moved to recently; empty if unknown. */
  MemberId FindNewOwner(Key aKey) const;
  /** A request that was broken off. Its server has ended, or only closed the
   * connection. */
  struct BrokenOff
  {
    RequestFingerprint fingerprint = 0;
    ServerIncarnation server;
    Time at;
  };

  void OnBrokenOff(RequestFingerprint aFingerprint,
                   const ServerIncarnation& aServer);
  /** The server has sent the head of a response, also if it refuses the request
   * or breaks the response off: it did not end before that request was sent. */
  void OnSignOfLife(const ServerIncarnation& aServer, Time aSentAt);
  /** Handles a complete response of the server to a request that it ran. */
  void OnAnswered(RequestFingerprint aFingerprint, unsigned aStatus);
  /** Records the requests that were broken off by the end of their server. */
  void RecordCrashes();
  void LogBlocked(const CrashRecords::Records& aNews);
  /** The server announced its shutdown in a response. */
  void AnnounceLeaving(const ServerIncarnation& aServer, Time aSince);
  /** The server stated in a response which rate of requests it accepts. */
  void OnRequestLimit(const ServerIncarnation& aServer,
                      Time aSentAt,
                      std::optional<double> aLimit);
  /** Refuses waiting requests whose keys are no longer served here. */
  void RefuseMovedRequests();
  void StartEligibleRequests();
  /** Checks the waiting requests again after a short time, if there are any. */
  void ArmExpiryTimer();
  void Refuse(const SlotRefusal& aRefusal);
  /** Refuses a request under which servers ended. @return Whether it did. */
  bool RefuseIfBlocked(Time aNow, const std::shared_ptr<Execution>& aExecution);
  /** Makes a report without what depends on the request. */
  ExecutionReport MakeStateReport(ExecutionOutcome aOutcome,
                                  const std::string& aReason,
                                  Duration aRetryAfter) const;
  ExecutionReport MakeReport(ExecutionOutcome aOutcome,
                             const Execution& aExecution,
                             const std::string& aReason = "",
                             Duration aRetryAfter = Duration(0)) const;
  /** Adds a report and the server's announcements to the headers of a response.
   */
  void SetReport(http::fields& aFields, const ExecutionReport& aReport);

  asio::io_context& context;
  Tcp::endpoint server;
  std::string service;
  EventLog& log;
  ConnectionPool pool;
  ServingState serving;
  /** When the current server announced its shutdown in a response; in force
   * before the control thread has passed on a state that says so. */
  std::optional<Time> leavingSince;
  SlotQueue queue;
  SlotUsage slotUsage;
  KeyLoad keyLoad;
  CrashRecords crashes;
  std::vector<BrokenOff> brokenOff;
  asio::steady_timer expiryTimer;
  bool expiryTimerArmed = false;
  uint64_t nextId = 1;
  std::map<uint64_t, std::shared_ptr<Execution>> executions;
  std::set<std::string> runningIds; ///< Request ids that hold a slot.
};

} // namespace fescuetiller
