#pragma once

#include <optional>
#include <set>
#include <vector>

#include "cluster/leasetimes.h"
#include "model/model.h"

namespace fescuetiller {

/**
 * State of the backend server beside this daemon: its current incarnation, and
 * which keys it may hold until when. Heartbeats may arrive late, also those of
 * an incarnation that has ended, and other writers may send some. Does no I/O
 * and reads no clock.
 */
class ServerState
{
public:
  /** @param aHeartbeat Regular time between two heartbeats.
   * @param aMaxGrantTime Longest time for which an earlier daemon process may
   * have granted keys that the server still reports. */
  ServerState(Duration aHeartbeat, Duration aMaxGrantTime);

  enum class HeartbeatResult
  {
    /** A late heartbeat, or one of another incarnation than the current one
     * that may be late. */
    Stale,
    Current,        ///< The next heartbeat of the current incarnation.
    NewIncarnation, ///< The server was restarted and holds no keys.
  };

  /** Records a heartbeat of the server. */
  HeartbeatResult OnHeartbeat(Time aNow, const ServerReport& aReport);

  /** The server announced its shutdown outside of a heartbeat. */
  void OnServerDeregistered(Time aNow, const std::string& aServerId);

  /** Sets the incarnations that are known to have announced their shutdown,
   * also to earlier processes of this daemon. */
  void SetAnnouncedShutdowns(std::vector<ServerIncarnation> aServers);

  /** The incarnation that announced its shutdown, if the current one did.
   * Before the first heartbeat, the one that deregistered. */
  std::optional<ServerIncarnation> AnnouncedShutdown() const;

  /** The server's address refused a connection, so the server has exited. */
  void OnConnectionRefused(Time aNow);

  /** Records what the server was granted. @param aUntil Latest expiry of the
   * grants, allowing for a slow clock of the server. */
  void OnGranted(const std::vector<Grant>& aGrants, Time aUntil);

  /** Forgets the handovers of released keys that have another owner now: if
   * they come back, they come with another one.
   * @param aOwned The ranges that the member owns. */
  void ForgetReleasedOutside(const std::vector<KeyRange>& aOwned);

  /** Whether the server certainly holds no key of the range. */
  bool IsUnheld(Time aNow, const KeyRange& aRange) const;
  /** Handover token with which the server released the range; empty if unknown.
   */
  std::string HandoverOf(const KeyRange& aRange) const;
  /** Divides a range into parts that the server released, with the token of
   * each, and parts that it did not release.
   * @param aOther Token for the latter.
   * @param aMaxParts With more parts than this, the range is not divided. */
  std::vector<ReleasedRange> DivideByHandover(const KeyRange& aRange,
                                              const std::string& aOther,
                                              size_t aMaxParts) const;

  /** Whether the server is neither lost nor draining. */
  bool IsAvailable(Time aNow) const;

  /** Whether the server announced its shutdown. */
  bool IsDraining() const;
  /** When the server announced its shutdown. */
  Time DrainingSince() const;

  /** Whether the server has sent no heartbeat for too long, or its address
   * refused a connection since the last one. */
  bool IsLost(Time aNow) const;

  /** Whether the report certainly describes the server as it is now. The first
   * heartbeat to a process of this daemon may be late, and what the server held
   * or announced since is unknown then; the next one at its regular time is not
   * late as well. */
  bool IsReportCurrent() const;

  const std::optional<ServerReport>& Report() const;

  /** Counts the incarnations seen by this daemon, so that a later one gets
   * higher fences without a change in the store. */
  uint64_t IncarnationNumber() const;

private:
  /** Keys that the server may hold, and until when. */
  struct Holding
  {
    KeyRange range;
    Time until;
  };

  /** Another incarnation that has sent a heartbeat since the latest one of the
   * current incarnation. */
  struct Successor
  {
    ServerIncarnation incarnation;
    uint64_t sequence = 0; ///< Of its latest heartbeat.
  };

  /** Whether a heartbeat shows that the current incarnation has ended. */
  bool IsOfSuccessor(Time aNow, const ServerReport& aReport);
  void BeginIncarnation(Time aNow, const ServerReport& aReport);
  bool HasAnnouncedShutdown(const ServerIncarnation& aServer) const;
  void ForgetReleased(const KeyRange& aRange);
  void UpdateHoldings(Time aNow, const ServerReport& aReport);

  Duration lossTimeout; ///< Time without heartbeats until it counts as lost.
  /** Time without heartbeats after which one was missed. */
  Duration silenceTime;
  /** Heartbeats that arrive closer together may both be late. */
  Duration minHeartbeatInterval;
  Duration maxGrantTime;
  std::optional<ServerReport> report;
  std::optional<Successor> successor;
  /** Server id and start time of incarnations that have certainly ended. */
  std::set<std::pair<std::string, int64_t>> earlierIncarnations;
  std::vector<ServerIncarnation> announcedShutdowns;
  std::vector<Holding> holdings;
  /** Those of earlier incarnations that may not have ended. */
  std::vector<Holding> earlierHoldings;
  std::vector<ReleasedRange> released; ///< The most recent ones, in order.
  uint64_t incarnationNumber = 0;
  uint64_t grantSequence = 0; ///< Heartbeat that the last grants replied to.
  Time firstHeartbeat;
  Time lastHeartbeat;
  bool reportIsCurrent = false;
  bool draining = false;
  Time drainingSince;
  /** Server that deregistered before its first heartbeat to this daemon. */
  std::string deregisteredId;
  Time deregisteredAt;
  bool connectionRefused = false; ///< Since the last heartbeat.
};

} // namespace fescuetiller
