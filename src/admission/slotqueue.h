#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "admission/coldlimit.h"
#include "admission/requestlimit.h"
#include "admission/sendshare.h"
#include "admission/servicetimes.h"
#include "admission/statedload.h"
#include "base/base.h"

namespace fescuetiller {

/** Reason of a refusal because the server is cold and has been sent as many
 * requests as it tolerates then. */
constexpr const char* kServerColdReason = "server-cold";
/** Reason of a refusal because the server's machine is slow at the moment, and
 * other servers can run the request as well. */
constexpr const char* kServerSlowReason = "server-slow";

/** A request that needs a slot of the backend server. */
struct SlotRequest
{
  uint64_t id = 0;
  std::string requestClass;
  uint32_t priority = 0; ///< 0 is the highest priority.
  bool nested = false;   ///< Sent by a request that occupies a slot meanwhile.
  /** Its client sends further requests behind ones that must run alone, without
   * waiting for their responses. It starts after all others. */
  bool sentAhead = false;
  Time arrivedAt;
  /** Time since the client's first attempt arrived, if this is a later one.
   * Equally urgent requests start in the order of the first attempts. */
  Duration sinceFirstAttempt = Duration(0);
  /** Number of requests that this one stands for: its sender has refused the
   * others itself, as SendShare demands. */
  double weight = 1;
  Time targetTime; ///< A response by then meets the target latency.
  Time deadline;   ///< A response after this is of no use to the client.
  /** The earliest time at which the request may start. Later than its arrival
   * if its key has not been granted to the server yet. */
  Time notBefore;
  /** When the network link has carried the responses before this one. */
  Time linkFreeAt;
  /** Time that the link takes for the response. */
  Duration transmission = Duration(0);
  /** Whether other servers can run it, too. */
  bool mayRunElsewhere = false;
};

/** A request that will not run, with the reason and the time after which the
 * client may retry. */
struct SlotRefusal
{
  uint64_t id = 0;
  std::string reason;
  Duration retryAfter = Duration(0);
  /** The estimated wait for a slot that led to the refusal; 0 if the request
   * was refused for another reason. */
  Duration expectedWait = Duration(0);

  friend bool operator==(const SlotRefusal& aLeft, const SlotRefusal& aRight);
};

/**
 * The queue of requests that wait for a slot of one backend server.
 *
 * Requests that can still meet their target time start first, in this order:
 * nested requests, requests of starved classes, then by priority, by the share
 * of the class's requests that were started recently (lowest first), and by
 * arrival. Requests that will miss their target time start only after all of
 * these, and requests that are sent ahead last. The latter don't count as
 * offered load, so that they do not displace others. A request that is not
 * expected to finish before its deadline is refused at once; under overload, so
 * is one that is expected to miss its target time. While the server states a
 * request limit or is cold, no more requests start than it accepts, and what
 * exceeds that counts as overload. Work that the server states beyond what it
 * was sent occupies slots, and estimates follow the speed that it states. Does
 * no I/O and reads no clock; not thread-safe.
 */
class SlotQueue
{
public:
  /** Whether a request may start now. A request that may not is skipped and
   * stays in the queue. */
  using StartPredicate = std::function<bool(const SlotRequest&)>;

  explicit SlotQueue(StartPredicate aCanStart);

  void SetSlots(uint32_t aSlots);

  /** Adds a request to the queue or refuses it.
   * @return The refusal; empty if the request was added. */
  std::vector<SlotRefusal> Offer(Time aNow, const SlotRequest& aRequest);

  /** Gives the free slots to waiting requests.
   * @return Ids of the requests to start now, in order. Each occupies a slot
   * until OnFinished is called for it, and counts for the cold limit; the
   * caller reports to Cold() when it is sent. */
  std::vector<uint64_t> Start(Time aNow);

  /** Frees the slot of a request.
   * @param aLearn Whether its time in the slot is representative of its class
   * and may be used for estimates. */
  void OnFinished(Time aNow, uint64_t aId, bool aLearn);

  /** Like OnFinished, for a request that the server may still run although
   * nobody waits for its response any more. */
  void OnAbandoned(Time aNow, uint64_t aId);

  /** Gives a slot to a status check, if one is free and the server accepts
   * requests. The slot is occupied until OnFinished is called.
   * @return Whether it got one. */
  bool StartStatusCheck(Time aNow, uint64_t aId);

  /** Handles the load that the server stated in the response to a request,
   * before OnFinished is called for it. */
  void OnStatedLoad(Time aNow, uint64_t aId, const ServerLoad& aLoad);

  /** Removes a waiting request. @return Whether it was waiting. */
  bool Cancel(uint64_t aId);

  /** Refuses waiting requests that can no longer finish before their deadline.
   * Also refuses those that will miss their target time, if the server is
   * overloaded or too much of the time to their deadline has passed. */
  std::vector<SlotRefusal> Expire(Time aNow);

  /** Refuses all waiting requests. */
  std::vector<SlotRefusal> RefuseAll(Time aNow, const std::string& aReason);

  /** Slot time that recent requests needed, refused ones included, as a share
   * of the available slot time. Exceeds 1 under overload. */
  double OfferedLoad(Time aNow) const;

  /** Number of slots that requests can make use of: all of them, or as many as
   * the request limit and the cold limit keep in use. */
  double UsableSlots(Time aNow) const;

  /** Share of the slots that these limits leave unused. */
  double UnusableShare(Time aNow) const;

  /** Expected time from arrival to response of a request of the class that
   * arrives now. */
  Duration ExpectedLatency(Time aNow, const std::string& aClass) const;

  /** Time after which a refused caller may retry, spread by request id. */
  Duration RetryDelay(Time aNow, uint64_t aId) const;

  /** Share of the requests of a class that other daemons should send. */
  double ShareToSend(Time aNow, const std::string& aClass) const;

  size_t RunningCount() const;
  size_t WaitingCount() const;
  ServiceTimes& Times();
  RequestLimit& Limit();
  const RequestLimit& Limit() const;
  ColdLimit& Cold();
  const ColdLimit& Cold() const;
  const StatedLoad& Stated() const;

  /** Forgets what was learned and stated, since another server process has been
   * started. */
  void ResetServer();

private:
  /** Requests of a class, counted with exponential decay. */
  struct ClassShare
  {
    double offered = 0; ///< Requests that arrived.
    double started = 0; ///< Requests that got a slot.
    Time decayedAt;     ///< When the decay was last applied to both counts.
  };
  struct RunningRequest
  {
    SlotRequest request;
    Time startedAt;
  };

  /** Slots that are held by requests, or by other work of the server. */
  size_t OccupiedSlots(Time aNow) const;
  /** Expected time in a slot at the usual speed. */
  Duration EstimateUsualTime(const SlotRequest& aRequest) const;
  /** The same at the speed that the server stated last. */
  Duration EstimateServiceTime(Time aNow, const SlotRequest& aRequest) const;
  /** When the response to a request would have arrived that starts then. */
  Time EstimateEnd(Time aNow, Time aStart, const SlotRequest& aRequest) const;
  bool CanMeetTarget(Time aNow, const SlotRequest& aRequest) const;
  bool ComesBefore(Time aNow,
                   const SlotRequest& aLeft,
                   const SlotRequest& aRight) const;
  /** Time until the server accepts that many further requests. */
  Duration TimeUntilAccepted(Time aNow, size_t aRequests) const;
  Duration EstimateWait(Time aNow, const SlotRequest* aRequest) const;
  Duration EstimateTimeToFreeSlot(Time aNow) const;
  double OfferedDecay(Time aNow) const;
  void AddOfferedWork(Time aNow, const SlotRequest& aRequest, Duration aWork);
  double AvailableShare(Time aNow, const SlotRequest& aRequest) const;
  ClassShare& DecayClassShare(Time aNow, const std::string& aClass);
  bool IsStarved(Time aNow, const std::string& aClass) const;
  uint32_t EffectiveRank(Time aNow, const SlotRequest& aRequest) const;
  int StartedShareStep(const std::string& aClass) const;

  StartPredicate canStart;
  uint32_t slots = 1;
  std::vector<SlotRequest> waiting;
  std::map<uint64_t, RunningRequest> running;
  ServiceTimes times;
  RequestLimit limit;
  ColdLimit cold;
  StatedLoad stated;
  std::deque<Time> finishedAt; ///< When requests finished lately.
  std::map<std::string, ClassShare> shares;
  SendShare sendShare;
  double offeredWork = 0;  ///< Slot seconds, summed with exponential decay.
  double offeredCount = 0; ///< Requests, summed in the same way.
  /** The same by rank as BaseRank gives it. */
  std::map<uint32_t, double> offeredWorkByRank;
  Time offeredDecayedAt; ///< When the decay was last applied to these sums.
};

} // namespace fescuetiller
