#pragma once

#include <cstddef>

namespace fescuetiller {

/**
 * The requests of one connection that have been passed on and have no response
 * yet. Decides which further requests may be passed on meanwhile, and after
 * which response the connection is closed. Does no I/O.
 */
class RequestPipeline
{
public:
  /** Bounds the requests of one connection that run at the same time, and with
   * them the responses that wait for their turn. */
  static constexpr size_t kMaxRequests = 32;
  /** Size of the waiting responses from which on no further request is read. */
  static constexpr size_t kMaxWaitingBytes = 256 * 1024;

  /** Whether the next request may be read from the connection. */
  bool MayRead() const;
  /** Whether a request that was read may be passed on now.
   * @param aConcurrent Whether it may run at the same time as others of its
   * connection. */
  bool MayPassOn(bool aConcurrent) const;

  void OnPassedOn(bool aConcurrent);
  /** A response waits for those before it. */
  void OnResponseWaiting(size_t aBytes);
  /** The oldest request got its response.
   * @param aWaitingBytes Size of the response, if it had to wait. */
  void OnResponseWritten(size_t aWaitingBytes);

  /** From now on no request is read; the connection is closed after the
   * response to the last one that was passed on. */
  void StopReading();
  /** Whether the connection is to be closed after the next response. */
  bool ClosesAfterNextResponse() const;
  /** Whether no further request is read. */
  bool IsStopped() const;
  /** Whether a request that must run alone has no response yet. */
  bool IsExclusive() const;
  bool IsEmpty() const;

private:
  size_t requests = 0;
  size_t waitingBytes = 0;
  bool exclusive = false; ///< The only request must not run beside others.
  bool stopped = false;
};

} // namespace fescuetiller
