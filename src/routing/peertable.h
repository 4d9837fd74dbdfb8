#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"

namespace fescuetiller {

/** A daemon that could take a request. */
struct PeerCandidate
{
  std::string member;
  std::string zone;
};

/** What decides among candidates. */
struct PeerCriteria
{
  std::string ownZone;
  /** Extra time that is accepted to stay in the own zone. */
  Duration zonePreference = Duration(0);
  std::set<std::string> tried;
};

/**
 * What this daemon has seen of the others: how long their answers would take
 * and whether they fail. Chooses the daemon for a request to a service that
 * does not own keys. Pure, not thread-safe.
 */
class PeerTable
{
public:
  void OnRequestSent(const std::string& aMember);
  void OnRequestEnded(const std::string& aMember);

  /** What a peer said with an answer. */
  void OnReport(Time aNow,
                const std::string& aMember,
                double aLoad,
                Duration aExpected,
                Duration aUntilHeartbeat);

  /** How much longer than the peer itself knows of an answer took: the way
   * there and back and the work of the daemons. */
  void OnOverhead(Time aNow, const std::string& aMember, Duration aOverhead);

  /** The client left after waiting so long for the peer. */
  void OnClientDisconnect(Time aNow,
                          const std::string& aMember,
                          Duration aWaited);

  /** The peer could not be reached or broke off. */
  void OnFailure(Time aNow, const std::string& aMember);

  /** Whether a request may be sent to the peer: not while it is known to fail,
   * but for one request at a time that finds out whether it is back. */
  bool AllowRequest(Time aNow, const std::string& aMember);

  /** Empty: every candidate was tried. */
  std::string Pick(Time aNow,
                   const std::vector<PeerCandidate>& aCandidates,
                   const PeerCriteria& aCriteria) const;

  /** What each peer said of itself that reported recently. */
  struct Report
  {
    double load = 0;
    Time nextHeartbeat;
  };
  std::map<std::string, Report> Reports(Time aNow) const;

private:
  struct Peer
  {
    uint32_t inFlight = 0;
    double load = 0;
    Duration expected = Duration(0);
    Duration overhead = Duration(0); ///< Moving mean.
    Time overheadAt;
    Time nextHeartbeat;
    Time reportedAt;
    Time avoidUntil;
    bool probing = false; ///< One request finds out whether it is back.
    uint32_t failures = 0;
  };

  std::map<std::string, Peer> peers;
};

} // namespace fescuetiller
