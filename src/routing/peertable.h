#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"

namespace fescuetiller {

/** A daemon to which a request may be sent. */
struct PeerCandidate
{
  std::string member;
  std::string zone;
};

/** Criteria by which PeerTable::Pick selects one of the candidates. */
struct PeerCriteria
{
  std::string requestClass;
  std::string ownZone;
  /** A daemon in another zone is picked only if its response is expected
   * earlier by more than this. */
  Duration zonePreference = Duration(0);
  std::set<std::string> tried; ///< Members that must not be picked again.
};

/**
 * Latency and failure statistics of the other daemons, as observed by this one.
 * Picks the daemon for a request to a service that does not own keys, and stops
 * sending requests to daemons that fail. Does no I/O and reads no clock; not
 * thread-safe.
 */
class PeerTable
{
public:
  /** Counts a request as in flight until OnRequestEnded is called. */
  void OnRequestSent(const std::string& aMember);
  void OnRequestEnded(const std::string& aMember);

  /** Handles the load report that a peer attaches to its responses.
   * @param aLoad Offered load of its backend server.
   * @param aExpected Time that the peer would take for another request of the
   * class.
   * @param aUntilHeartbeat Time until its backend server's next heartbeat. */
  void OnReport(Time aNow,
                const std::string& aMember,
                const std::string& aClass,
                double aLoad,
                Duration aExpected,
                Duration aUntilHeartbeat);

  /** Handles the share of the requests of a class that a peer wants to be sent,
   * as it says in the report of a response.
   * @param aRetryAfter When the others should be tried again; 0: unknown. */
  void OnSendShare(Time aNow,
                   const std::string& aMember,
                   const std::string& aClass,
                   double aShare,
                   Duration aRetryAfter);

  /** What a peer wants to be sent of the requests of a class. */
  struct SendShare
  {
    double share = 1;
    Duration retryAfter = Duration(0);
  };
  /** @return The share that is in force; 1 if the last one is outdated. */
  SendShare ShareToSend(Time aNow,
                        const std::string& aMember,
                        const std::string& aClass) const;

  /** Records by how much the time until a response exceeded the time measured
   * by the peer. The difference is spent on the network and in the daemons. */
  void OnOverhead(Time aNow,
                  const std::string& aMember,
                  const std::string& aClass,
                  Duration aOverhead);

  /** Records that the client disconnected after it had waited for the peer's
   * response for the given time. */
  void OnClientDisconnect(Time aNow,
                          const std::string& aMember,
                          const std::string& aClass,
                          Duration aWaited);

  /** Records that the peer certainly runs no requests: no process listens at
   * its address, or it said that it stops. */
  void OnFailure(Time aNow, const std::string& aMember);

  /** Records that the connection of a request failed before its response was
   * complete. Counts as a failure of the peer unless it has reported since the
   * request was sent: then it was alive, and its server broke off the response
   * or the fault concerns a single connection. If the peer has ended since, the
   * next connection tells. */
  void OnUnanswered(Time aNow, const std::string& aMember, Time aSentAt);

  /** Whether a request may be sent to the peer. After a failure, requests are
   * rejected for a pause; then one request at a time is allowed as a probe
   * until the peer responds. The caller must send the request that is allowed.
   */
  bool AllowRequest(Time aNow, const std::string& aMember);

  /** Returns the untried candidate with the shortest expected time; empty if
   * every candidate was tried. */
  std::string Pick(Time aNow,
                   const std::vector<PeerCandidate>& aCandidates,
                   const PeerCriteria& aCriteria) const;

  /** What is expected of the next request of a class at a peer. */
  struct Estimate
  {
    Duration time = Duration(0); ///< Until its response.
    bool failing = false;        ///< It should be sent nothing for now.
    std::optional<double> load;  ///< Empty if it is unknown or outdated.
  };
  /** An unknown peer counts as one without any wait. */
  Estimate EstimateOf(Time aNow,
                      const std::string& aMember,
                      const std::string& aClass) const;

  /** The latest load report of a peer. */
  struct Report
  {
    double load = 0;
    Time nextHeartbeat;
  };
  /** Load reports by member, without those that are outdated. */
  std::map<std::string, Report> Reports(Time aNow) const;

private:
  /** Times of the requests of one class. */
  struct ClassTimes
  {
    Duration expected = Duration(0); ///< Service time and wait at the peer.
    Time reportedAt;
    Duration overhead = Duration(0); ///< Moving mean; see OnOverhead.
    Time overheadAt;                 ///< When the overhead was last measured.
    SendShare sendShare;
    Time sendShareAt; ///< When the peer stated it.
  };
  struct Peer
  {
    uint32_t inFlight = 0; ///< Requests sent and not ended.
    double load = 0;
    std::map<std::string, ClassTimes> classes;
    Time nextHeartbeat;
    Time reportedAt;
    Time avoidUntil;       ///< No requests are sent to the peer before.
    bool probing = false;  ///< One request is allowed as a probe.
    uint32_t failures = 0; ///< Consecutive ones.
  };

  std::map<std::string, Peer> peers;
};

} // namespace fescuetiller
