#pragma once

#include <deque>
#include <memory>
#include <string>

#include "admission/admission.h"
#include "fescuetillerd/eventlog.h"
#include "http/http.h"

namespace fescuetiller {

class PacedResponse;

/**
 * Sends the responses to other daemons over this machine's network link. Long
 * ones are sent in the order in which they began, no faster than the link
 * carries them (LinkLoad). Runs on the traffic thread.
 */
class Uplink
{
public:
  Uplink(asio::io_context& aContext, EventLog& aLog);

  /** Makes the receiver of the response to a request.
   * @param aDeadline When the other daemon stops waiting for it. */
  std::shared_ptr<PacedResponse> Expect(
    const std::shared_ptr<Exchange>& aExchange,
    const std::string& aClass,
    Time aDeadline);

  LinkEstimate Estimate(const std::string& aClass) const;

  /** Drops responses that nobody waits for any more, such as those to daemons
   * that disappeared without closing their connections. */
  void DropExpired(Time aNow);

private:
  friend class PacedResponse;

  /** Whether responses may be read ahead of what the link carries. */
  bool MayBuffer() const;
  void OnStarted(const std::shared_ptr<PacedResponse>& aResponse);
  /** Continues to read responses that wait for memory, if there is some. */
  void ResumeReading();
  /** Sends what may be sent now. */
  void SendNext();
  void Measure(Time aNow);
  void MeasureAgain();

  EventLog& log;
  asio::steady_timer timer;
  bool timerArmed = false;
  LinkLoad load;
  uint64_t nextId = 1;
  size_t bufferedBytes = 0; ///< Of all responses.
  /** Long responses that are not sent completely, in order. */
  std::deque<std::shared_ptr<PacedResponse>> sending;
  /** Exchanges whose connections still have data in flight, by connection. */
  std::map<uint64_t, std::shared_ptr<Exchange>> inFlight;
};

} // namespace fescuetiller
