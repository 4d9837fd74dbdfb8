#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fescuetillerd/executionreceiver.h"
#include "fescuetillerd/uplink.h"

namespace fescuetiller {

/**
 * Forwards the response of a call to the exchange with another daemon. A short
 * response is sent at once, also if the server does not state that it is short.
 * A long one is read from the server as fast as that sends it, which frees its
 * slot, and waits for its turn on the network link. If it ends prematurely,
 * another response takes its place as long as nothing of it was sent; after
 * that, the exchange's connection is closed.
 */
class PacedResponse
  : public ExecutionReceiver
  , public std::enable_shared_from_this<PacedResponse>
{
public:
  PacedResponse(Uplink& aUplink,
                std::shared_ptr<Exchange> aExchange,
                uint64_t aId,
                Time aDeadline);

  /** Drops what has not been sent: the other daemon does not wait for it. */
  void Cancel();

  void OnCompleteResponse(HttpResponse aResponse) override;
  void OnHeaders(ResponseHeaders aHeaders) override;
  void OnBodyChunk(asio::const_buffer aChunk,
                   std::function<void()> aNext) override;
  void OnBodyEnd() override;
  void OnFailure(const CallFailure& aFailure) override;
  bool HasPassedOn() const override;

private:
  friend class Uplink;

  /** Whether a part of the body waits and none is being written. */
  bool CanSend() const;
  /** Whether the response ended and nothing of it waits or is being written. */
  bool IsSent() const;
  bool IsOver() const;
  /** Whether the next part of the body need not wait for the link. */
  bool MaySendAtOnce() const;
  /** Sends the headers with the next part of the body or its end. */
  void StartResponse();
  void SendChunk();
  void End();

  Uplink& uplink;
  std::shared_ptr<Exchange> exchange;
  std::string requestId;
  uint64_t id;
  Time deadline; ///< When the other daemon stops waiting for it.
  std::optional<ResponseHeaders> headers; ///< Not sent yet.
  std::deque<std::string> chunks; ///< Read from the server, not sent yet.
  std::function<void()> next;     ///< Requests the next chunk.
  bool writing = false;           ///< The first chunk is being written.
  bool complete = false;          ///< The server has sent the whole response.
  bool over = false;              ///< Nothing further will be sent.
};

} // namespace fescuetiller
