#pragma once

#include <optional>
#include <set>
#include <vector>

#include "cluster/leasetimes.h"
#include "model/model.h"

namespace fescuetiller {

/**
 * What is known of the backend server beside this daemon: its present life, and
 * until when it may hold which keys. Pure.
 */
class ServerState
{
public:
  /** @param aHeartbeat Usual time between two heartbeats. */
  explicit ServerState(Duration aHeartbeat);

  enum class Seen
  {
    Stale,   ///< A late heartbeat, or one of an earlier life.
    Current, ///< The next heartbeat of the present life.
    NewLife, ///< The server started anew and holds nothing.
  };

  Seen OnHeartbeat(Time aNow, const ServerReport& aReport);

  /** The server said that it ends. */
  void OnServerDeregistered(Time aNow, const std::string& aServerId);

  /** Nothing listens at the server's address any more. */
  void OnConnectionRefused(Time aNow);

  /** What the server holds from now on. @param aUntil Latest end, even if its
   * clock is slow. */
  void Granted(const std::vector<Grant>& aGrants, Time aUntil);

  /** Whether no server can hold any key of the range, and with what handovers
   * it was let go. */
  bool IsFree(Time aNow, const KeyRange& aRange) const;
  std::string HandoverOf(const KeyRange& aRange) const;

  /** Whether it lives and takes requests. */
  bool Usable(Time aNow) const;

  /** Whether it announced its end. */
  bool Leaving() const;
  /** When it announced its end. */
  Time LeavingSince() const;

  /** Whether it is known to be dead, or silent for too long. */
  bool Lost(Time aNow) const;

  const std::optional<ServerReport>& Report() const;

  /** Numbers the lives seen by this daemon, so that a later life gets higher
   * fences without a change in the store. */
  uint64_t LifeNumber() const;

private:
  struct Holding
  {
    KeyRange range;
    Time until;
  };

  void Forget();
  void TakeHolds(Time aNow, const ServerReport& aReport);

  Duration silence; ///< After which the server counts as lost.
  std::optional<ServerReport> report;
  std::set<std::pair<std::string, int64_t>> endedLives;
  std::vector<Holding> holdings;
  std::vector<ReleasedRange> released;
  uint64_t lifeNumber = 0;
  uint64_t grantSequence = 0; ///< Heartbeat that the last grants answered.
  Time lastHeartbeat;
  bool leaving = false;
  Time leavingSince;
  bool dead = false;
};

} // namespace fescuetiller
