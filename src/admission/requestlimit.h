#pragma once

#include <cstddef>
#include <optional>

#include "base/base.h"

namespace fescuetiller {

/**
 * Paces the requests to a backend server by the rate that the server states in
 * its responses (token bucket). Without a stated rate, all requests may be sent
 * at once. Does no I/O and reads no clock.
 */
class RequestLimit
{
public:
  /** Handles a response of the server.
   * @param aSentAt When its request was sent. A response to a request that was
   * sent before the current rate was stated may be older than that statement,
   * so it can lower the rate, but not raise it.
   * @param aPerSecond The stated rate; empty if the response states none.
   * @return Whether the rate changed. */
  bool OnResponse(Time aNow, Time aSentAt, std::optional<double> aPerSecond);

  /** Handles the report of another daemon on the rate that the server stated
   * before this daemon was started. It counts until the server responds. */
  void OnReported(Time aNow, double aPerSecond);

  /** Forgets the rate; another server process may accept more. */
  void Reset();

  /** Counts a request that is sent to the server. */
  void OnSent(Time aNow);

  /** Time until that many further requests may have been sent. */
  Duration TimeUntil(Time aNow, size_t aRequests) const;

  /** The rate in force; empty if there is none. */
  std::optional<double> PerSecond() const;

private:
  void SetRate(Time aNow, std::optional<double> aPerSecond);
  double TokensAt(Time aNow) const;

  std::optional<double> perSecond;
  bool responded = false; ///< Whether a response of the server was handled.
  Time statedAt;          ///< When the current rate was stated first.
  double tokens = 0;      ///< Requests that might have been sent at tokensAt.
  Time tokensAt;
};

} // namespace fescuetiller
