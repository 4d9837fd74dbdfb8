#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fescuetillerd/ingress.h"

namespace fescuetiller {

/** One client's request: finds its route, sends it to a member, retries failed
 * attempts, and responds to the client. */
class IngressRequest
  : public ExecutionReceiver
  , public std::enable_shared_from_this<IngressRequest>
{
public:
  IngressRequest(Ingress& aIngress, std::shared_ptr<Exchange> aExchange);
  ~IngressRequest() override;

  void Start();

  void OnCompleteResponse(HttpResponse aResponse) override;
  void OnHeaders(ResponseHeaders aHeaders) override;
  void OnBodyChunk(asio::const_buffer aChunk,
                   std::function<void()> aNext) override;
  void OnBodyEnd() override;
  void OnFailure(const CallFailure& aFailure) override;
  bool HasPassedOn() const override;

private:
  /** An attempt that brought no response of a backend server. */
  struct FailedAttempt
  {
    std::string reason;
    Duration retryAfter = Duration(0); ///< Time before a retry; 0: unknown.
    bool mayHaveRun = false;
    /** The request reached a backend server, which refused it or did not
     * respond. */
    bool reachedServer = false;
    std::string owner; ///< Member that the keys moved to, if known.

    /** The request was not sent, or the member did not read all of it. */
    static FailedAttempt NotSent(const std::string& aReason);
    /** The request may have run. */
    static FailedAttempt OutcomeUnknown(const std::string& aReason);
  };

  /** Finds the route, deadline, service and key. @return False if the request
   * was refused. */
  bool ReadRequest();
  /** Time before the end of the client's wait at which its response must be
   * written, so that it arrives before the client leaves. */
  Duration ResponseReserve(Duration aWait) const;
  RequestFingerprint RetryFingerprint() const;
  /** Finds out whether the client sends this request again. */
  void RecognizeRetry();
  /** Keeps what is needed to recognize the next attempt of the client. */
  void ExpectRetry();
  /** Refuses a retry that the client has sent without waiting as it was told.
   * It would compete with the first attempts of others. @return Whether it did.
   */
  bool RefuseIfEarly();
  /** Refuses a request that may be cut off by the exit of the process. */
  bool RefuseIfStopping();
  /** Refuses the request if servers ended under it. @return Whether it did. */
  bool RefuseIfBlocked();
  /** Sends the request to a member that it chooses. */
  void Send();
  /** @param aReason Set if no member can be chosen.
   * @return The member; empty if there is none. */
  std::string ChooseMember(std::string& aReason);
  /** Chooses among members that own no keys.
   * @return The member; empty if every candidate was tried. */
  std::string PickMember(Time aNow,
                         const std::vector<PeerCandidate>& aCandidates);
  /** Decides whether the request is one of those that the owner of its key does
   * not want to be sent, since it would refuse them. */
  bool IsHeldBack(const std::string& aOwner);
  void SendTo(const std::string& aMember);
  /** Sends the request to the daemon of another member. */
  void SendToPeer(const MemberRecord& aMember, HttpRequest aRequest);
  void OnAttemptFailed(const FailedAttempt& aAttempt);
  /** @return Whether the request was sent again or will be. */
  bool RetryIfPossible(const FailedAttempt& aAttempt);
  /** Retries a request that has reached a backend server, if it may run again
   * and if the route's attempts and the retry budget allow it.
   * @return Whether the request was sent again or will be. */
  bool RetryWithinBudget(const FailedAttempt& aAttempt);
  void SendAfter(Duration aDelay);
  void EndAttempt();
  /** Ends the attempt and closes its connection. */
  void CancelAttempt();
  /** Sends the headers of a response with the next part of its body or its end.
   */
  void StartResponse();
  /** Records what the failure of a call says about the other daemon. */
  void RecordPeerFailure(const CallFailure& aFailure);
  void OnClientDisconnected(ConnectionEnd aEnd);
  /** Responds when the request is out of time, whatever other daemons and
   * servers do. */
  void ArmDeadlineTimer();
  void OnDeadline();
  /** Records that the current member has not responded so far. */
  void RecordUnansweredAttempt();
  /** Responds that the request was refused or that its outcome is unknown. */
  void GiveUp(const FailedAttempt& aAttempt);
  void RespondWithError(unsigned aStatus,
                        const std::string& aReason,
                        Duration aRetryAfter);
  /** Lets the exchange add the outcome to the headers of a response. */
  void AnnotateResponse(http::fields& aFields, const std::string& aOutcome);
  Event MakeLogEvent(Time aNow,
                     const std::string& aOutcome,
                     const std::string& aReason) const;
  /** Counts the request and logs it. */
  void RecordOutcome(const std::string& aOutcome, const std::string& aReason);
  Duration TimeLeft() const;
  /** Records the size of the request and its response for later choices. */
  void RecordSize();
  /** Counts bytes of the current attempt if it went to another zone. */
  void CountZoneTraffic(ZoneTraffic::Parts aParts);
  /** Counts the headers of a response, and its body unless that follows.
   * @param aIsServers Whether the response is a backend server's. */
  void CountZoneResponse(const HeadSize& aHead,
                         uint64_t aBodyBytes,
                         bool aIsServers);
  /** Removes the execution report from the headers of a response and records
   * its load and times for the current member. */
  std::optional<ExecutionReport> ExtractReport(http::fields& aFields);

  Ingress& ingress;
  std::shared_ptr<Exchange> exchange;
  std::string requestId;
  Route route;
  Dispatch dispatch;
  std::optional<Key> key;
  Time startedAt;
  /** When the client's first attempt arrived, if this one is a retry. */
  std::optional<Time> firstSentAt;
  /** When the client was told to send it again, in that case. */
  Time retryDueAt;
  /** When the owner of the key can be tried, if the request is held back. */
  Duration heldBackFor = Duration(0);
  /** Until when the client waits, retries included; empty if it did not say. */
  std::optional<Time> clientDeadline;
  Time deadline;
  /** When the client gets a response at the latest. Later than the deadline if
   * the client waits for longer than its route allows: other daemons respond at
   * the deadline. */
  Time responseDue = Time::max();
  Time lastResponseAt;       ///< Until when a response that has begun may last.
  std::string currentMember; ///< Member of the last attempt.
  std::string currentAddress; ///< Of that member, if it is another one.
  /** Zone of that member; nothing if it is the own one. */
  std::optional<std::string> otherZone;
  Time sentAt;            ///< Start of the last attempt.
  uint32_t attempts = 0;  ///< Attempts so far, without pauses.
  uint64_t bodyBytes = 0; ///< Of the request and of what of its response came.
  std::optional<ResponseHeaders> headers; ///< Not sent to the client yet.
  std::set<std::string> triedMembers;
  std::shared_ptr<UpstreamCall> remoteCall;    ///< Attempt at another daemon.
  std::shared_ptr<Cancellable> localExecution; ///< Attempt at this daemon.
  asio::steady_timer timer;         ///< For the pause before an attempt.
  asio::steady_timer deadlineTimer; ///< See OnDeadline.
  /** Failed attempts that reached a backend server or may have. */
  uint32_t serverAttempts = 0;
  bool mayHaveRun = false; ///< In any of the attempts.
  uint32_t hops = 0;       ///< Attempts, and pauses to wait for a new owner.
  std::string lastFailure; ///< Reason of the last failed attempt.
  Duration minRetryAfter = Duration::max(); ///< Of all failed attempts.
  bool passingOn = false; ///< A response to the current attempt has begun.
  bool ended = false;
};

} // namespace fescuetiller
