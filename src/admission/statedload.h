#pragma once

#include <deque>
#include <vector>

#include "base/base.h"
#include "model/serverload.h"

namespace fescuetiller {

/**
 * What a backend server's statements about its load tell: how many of its slots
 * are held by work that its daemon does not wait for, such as requests whose
 * callers have left, and how slow its machine is at the moment. A statement
 * counts for a short time only, so that a wrong one does not keep a server from
 * its work. Does no I/O and reads no clock.
 */
class StatedLoad
{
public:
  /** Requests of the daemon that a statement may include. It is unknown whether
   * a server counts the request that it responds to, and whether requests and
   * responses on their way are in it. */
  struct OwnRequests
  {
    size_t least = 0; ///< Certainly included.
    size_t most = 0;  ///< Possibly included.
  };

  /** Handles the statement in a response. */
  void OnStatement(Time aNow, const ServerLoad& aLoad, OwnRequests aOwn);

  /** The daemon no longer waits for a request that the server may still run.
   * Without statements of the server, its slot counts as free.
   * @param aExpectedEnd When the server is expected to have ended it. */
  void OnAbandoned(Time aNow, Time aExpectedEnd);

  /** Forgets all statements; another server process has none of the work. */
  void Reset();

  /** Slots held by work that the daemon does not wait for. */
  size_t OtherWork(Time aNow) const;
  /** When the next of these slots is expected to be free; aNow if none is held.
   */
  Time NextFreeAt(Time aNow) const;

  /** How long work takes now; 1: as usual, or unknown. */
  double Slowness(Time aNow) const;
  /** The time that work would have taken at the usual speed.
   * @param aFrom Not earlier than the last few seconds; before, the speed
   * counts as usual. */
  Duration AtUsualSpeed(Time aFrom, Time aUntil) const;

private:
  /** Speed of the machine from a time on. */
  struct Speed
  {
    Time from;
    double slowness = 1;
  };

  void DropEnded(Time aNow);

  bool states = false;         ///< Whether the server has stated its load.
  std::vector<Time> abandoned; ///< Expected ends, in ascending order.
  size_t unknown = 0; ///< Slots held by other work, beyond the abandoned.
  Time unknownUntil;
  std::deque<Speed> speeds; ///< In ascending order.
};

} // namespace fescuetiller
