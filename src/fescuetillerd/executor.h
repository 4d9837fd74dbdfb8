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

/** How cold servers of the service are treated. */
struct ColdPolicy
{
  /** See ColdLimit::SetRate. */
  std::optional<double> perSecond;
  double factor = 1;
  double margin = 0;
  std::string healthPath; ///< Path of status checks; empty: none are sent.
  /** Usual interval of the server's heartbeats. */
  Duration heartbeat = std::chrono::seconds(1);
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

  void SetColdPolicy(const ColdPolicy& aPolicy);

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
   * it states a request limit or is cold. */
  double UnusableShare() const;
  /** Whether the backend server is cold, and how many requests were refused for
   * that reason so far. */
  bool IsServerCold() const;
  uint64_t ColdRefusals() const;
  /** Number of status checks sent so far. */
  uint64_t StatusChecks() const;
  /** Slots of the backend server that are held by work that nobody waits for,
   * as it states. */
  size_t OtherWork() const;
  /** How long work takes there at the moment; 1: as usual, or unknown. */
  double Slowness() const;
  /** Share of the backend server's capacity that each key takes; the shares of
   * all keys add up to 1 at full capacity. */
  std::vector<KeyWeight> KeyWeights();
  /** Requests per second that the backend server currently accepts; empty if it
   * states no limit. */
  std::optional<double> RequestsPerSecond();
  /** What the backend server's slots were used for so far. */
  SlotTimes SlotTotals() const;
  /** Requests refused so far since the server's zone was evacuated. */
  uint64_t EvacuationRefusals() const;
  /** Requests that run on the backend server now. */
  size_t RunningCount() const;
  bool IsIdle() const;
  /** Whether a request that arrived before a time is in progress. */
  bool HasRequestsFrom(Time aBefore) const;
  /** Makes the final response to another daemon before this process exits: its
   * next request over the connection is refused and does not run. */
  HttpResponse MakeFinalResponse();
  /** Adds to a refusal of a request that was not read that it is not run, for
   * another daemon. */
  void SetRefusalReport(http::fields& aFields, const std::string& aReason);
  /** Number of connections to the backend server opened so far. */
  uint64_t ConnectionsOpened() const;
  /** Closes idle connections, and logs when the server is warm again. */
  void RunPeriodicTasks(Time aNow);

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
  /** The server's address refuses connections. */
  void OnConnectionRefused();
  /** Handles the load that the server states in the response to a request. */
  void OnStatedLoad(uint64_t aId,
                    const ServerIncarnation& aServer,
                    const http::fields& aHeaders);
  /** Asks the server whether it is cold, if that is due. */
  void CheckStatus(Time aNow);
  /** @param aResponse nullptr if the server has not responded. */
  void OnStatusResponse(uint64_t aId,
                        const ServerIncarnation& aServer,
                        Time aSentAt,
                        const HttpResponse* aResponse);
  /** Reads how long the server stays cold. @return Whether it states that. */
  bool ReadColdTime(Time aSentAt, const http::fields& aHeaders);
  /** Logs a malformed header of the server, once per incarnation and kind. */
  void LogMalformed(const Error& aError);
  /** Logs when the server becomes cold or warm. */
  void UpdateColdState(Time aNow);
  /** Refuses waiting requests whose keys are no longer served here. */
  void RefuseMovedRequests();
  /** Refuses all waiting requests if the server must get none now. */
  void RefuseIfStopped(Time aNow);
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
   * @param aCompact Whether the receiver reads compact reports. */
  void AddState(http::fields& aFields,
                const ExecutionReport& aReport,
                bool aCompact);

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
  bool isCold = false;       ///< As logged last.
  uint64_t coldRefusals = 0; ///< Requests refused since the server was cold.
  ColdPolicy coldPolicy;
  StatusSchedule statusSchedule;
  uint64_t statusChecks = 0;
  /** Kinds of headers of the current server that were malformed. */
  std::set<std::string> malformedHeaders;
  uint64_t nextId = 1;
  uint64_t evacuationRefusals = 0;
  std::map<uint64_t, std::shared_ptr<Execution>> executions;
  std::set<std::string> runningIds; ///< Request ids that hold a slot.
};

} // namespace fescuetiller
