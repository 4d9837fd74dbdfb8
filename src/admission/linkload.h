#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/base.h"

namespace fescuetiller {

/** When the network link can carry a further long response. */
struct LinkEstimate
{
  Duration untilFree = Duration(0);    ///< Until it has carried the others.
  Duration transmission = Duration(0); ///< For the response itself.

  friend bool operator==(const LinkEstimate& aLeft, const LinkEstimate& aRight);
};

/**
 * The long responses that share this machine's network link to the other
 * daemons. Bounds how much of them is in flight, so that short messages do not
 * wait behind them, learns from what is acknowledged how fast the link carries
 * them, and estimates when a further one would have arrived. Does no I/O and
 * reads no clock; not thread-safe.
 */
class LinkLoad
{
public:
  LinkLoad();

  /** Expects the response to a request; until its size is known, it counts with
   * the mean size of its class. */
  void Expect(uint64_t aId, const std::string& aClass);
  /** A long response begins. @param aBytes Its size, if it is known. */
  void OnStarted(uint64_t aId, std::optional<uint64_t> aBytes);
  /** A part of a response was passed to its connection. */
  void OnSent(uint64_t aId, uint64_t aBytes);
  /** Nothing further of a response will be sent.
   * @param aComplete Whether its size is typical for its class. */
  void OnEnded(uint64_t aId, bool aComplete);

  /** Measures a connection. To be called before data is sent over it.
   * @param aBytes Data of long responses that was passed to the connection and
   * is not acknowledged yet. */
  void OnMeasured(Time aNow, uint64_t aConnection, uint64_t aBytes);
  /** Nothing is in flight over the connection any more, or it was closed. */
  void OnIdle(uint64_t aConnection);
  /** Completes a round of measurements. */
  void OnRoundMeasured(Time aNow);

  /** Whether the next part of a response may be sent before its turn, since the
   * response is short as far as one can tell: servers do not always state its
   * size. */
  bool MaySendAtOnce(uint64_t aId, uint64_t aBytes) const;

  /** Whether more may be passed to the connections now. */
  bool MaySend(Time aNow) const;
  /** Time after which a measurement may show that more may be sent. */
  Duration UntilNextMeasurement(Time aNow) const;

  LinkEstimate Estimate(Time aNow, const std::string& aClass) const;
  /** Bytes a second that the link carries; empty if it was not in full use
   * lately. */
  std::optional<double> BytesPerSecond(Time aNow) const;

private:
  struct Response
  {
    std::string requestClass;
    uint64_t sent = 0;
    uint64_t left = 0; ///< Bytes that are expected to be sent.
    bool sizeIsKnown = false;
  };
  struct ConnectionLoad
  {
    uint64_t inFlight = 0;
    Time changedAt; ///< When it last decreased, or became more than 0.
  };

  uint64_t InFlight(Time aNow) const;
  /** Time without an acknowledgement after which a connection waits for its
   * receiver, not for the link. */
  Duration StallTime(Time aNow) const;
  void Learn(Time aNow, double aBytes, double aSeconds);

  std::map<uint64_t, Response> responses;
  std::map<uint64_t, ConnectionLoad> connections;
  std::map<std::string, double> meanBytes; ///< By class.
  uint64_t drained = 0;        ///< Acknowledged in this round of measurements.
  uint64_t inFlightBefore = 0; ///< After the last round.
  uint64_t inFlightLimit;      ///< No more is sent beyond it.
  Time measuredAt;
  /** Since the last acknowledgement. Counts as time of the link when the next
   * one arrives, unless the connections have stalled. */
  double silentSeconds = 0;
  double learnedBytes = 0; ///< Decaying sum.
  double learnedSeconds = 0;
  Time learnedAt;
};

} // namespace fescuetiller
