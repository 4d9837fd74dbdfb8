#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>

#include "base/base.h"

namespace fescuetiller {

/**
 * Bounds the requests that a cold backend server gets in any second. Sent
 * requests are counted at all times, so that those sent before the server was
 * known to be cold count as well. Without a stated rate, or while the server is
 * warm, all requests may be sent at once. Does no I/O and reads no clock.
 */
class ColdLimit
{
public:
  /** Sets what a cold server tolerates.
   * @param aPerSecond Empty if cold servers of the service have no limit.
   * @param aFactor Factor by which the rate may be exceeded.
   * @param aMargin Requests beyond that in a second. They are not planned with:
   * they are the margin for requests that arrive closer together than they were
   * sent. */
  void SetRate(std::optional<double> aPerSecond,
               double aFactor,
               double aMargin);

  /** Sets from when on all sent requests have been counted. An earlier process
   * may have sent as many as allowed shortly before. */
  void SetCountedSince(Time aSince);

  /** Handles the last heartbeat of the server.
   * @param aHeardAt When it was received.
   * @param aColdUntil Time() if the server is warm; Time::max() if it counts as
   * cold until a later heartbeat says otherwise. */
  void OnHeartbeat(Time aHeardAt, Time aColdUntil);

  /** Handles a response in which the server states how long it stays cold. An
   * older one than the last statement in force is ignored.
   * @param aSentAt When its request was sent.
   * @param aColdFor 0 if the server is warm. */
  void OnResponse(Time aSentAt, Time aNow, Duration aColdFor);

  /** Handles that another process of the server may have been started: it
   * counts as cold until its first heartbeat. */
  void OnRestart(Time aNow);

  /** Counts a request that will be sent as soon as there is a connection. */
  void Reserve(uint64_t aId);
  /** Ends a reservation whose request is not sent. */
  void Release(uint64_t aId);
  /** Whether a request has a reservation and was not sent yet. */
  bool IsReserved(uint64_t aId) const;
  /** Whether a request may be sent now. Differs from a reservation made
   * earlier if the server has become cold since. */
  bool MaySend(Time aNow) const;
  /** Counts a request that is sent now, in place of its reservation. */
  void OnSent(Time aNow, uint64_t aId);
  /** The server stated that the request was not meant for it (421), so it does
   * not count. */
  void OnMisdirected(uint64_t aId);

  /** Time until that many further requests may have been sent. */
  Duration TimeUntil(Time aNow, size_t aRequests) const;

  /** Requests per second that the limit allows now; empty if all. */
  std::optional<double> PerSecond(Time aNow) const;

  /** Whether the server is known, or has to be assumed, to be cold. */
  bool IsCold(Time aNow) const;
  /** Until when the server is cold; Time() if it is not known to be. */
  Time ColdUntil() const;

  /** Requests that a cold server may get in a second; empty if there is no
   * bound. */
  std::optional<double> Bound() const;
  /** When the server last stated whether it is cold. */
  Time StatedAt() const;
  /** Number of requests sent after a time, which is at most kHistory ago. */
  size_t SentSince(Time aSince) const;

  /** For how long sent requests are remembered. */
  static constexpr Duration kHistory = std::chrono::seconds(3);

private:
  struct Sent
  {
    Time at;
    uint64_t id = 0;
  };

  /** Whether a response counts, and not the last heartbeat. */
  bool ResponseIsNewer() const;
  /** Requests that may be sent within the window. */
  size_t Planned() const;
  /** Time until that many further requests have been sent if no more than
   * aMost are sent in any span of aWindow. */
  Duration TimeUntil(Time aNow,
                     size_t aRequests,
                     size_t aMost,
                     Duration aWindow) const;

  std::optional<double> perSecond;
  double factor = 1;
  double margin = 0;
  Time countedSince;
  Time heardAt;
  Time coldUntilByHeartbeat;
  Time statedAt; ///< When the server last stated in a response what follows.
  Time coldUntilByResponse;
  std::deque<Sent> sent; ///< By time.
  std::set<uint64_t> reserved;
};

} // namespace fescuetiller
