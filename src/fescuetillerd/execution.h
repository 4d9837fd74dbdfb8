#pragma once

#include <memory>
#include <optional>
#include <string>

#include "fescuetillerd/executor.h"

namespace fescuetiller {

/** One request at the daemon beside the backend server: waits for a slot, runs
 * on the server, and forwards the response with an execution report. */
class Execution
  : public Cancellable
  , public ResponseReceiver
  , public std::enable_shared_from_this<Execution>
{
public:
  Execution(Executor& aExecutor,
            uint64_t aId,
            HttpRequest aRequest,
            const Dispatch& aDispatch,
            std::shared_ptr<ExecutionReceiver> aReceiver);

  void Cancel() override;

  /** Sends the request to the backend server. */
  void Run(Time aNow);

  /** Responds that the request has not run. The request must not have been sent
   * to the backend server. */
  void Refuse(const std::string& aReason, Duration aRetryAfter);

  void OnCompleteResponse(HttpResponse aResponse) override;
  void OnHeaders(ResponseHeaders aHeaders) override;
  void OnBodyChunk(asio::const_buffer aChunk,
                   std::function<void()> aNext) override;
  void OnBodyEnd() override;
  void OnFailure(const CallFailure& aFailure) override;

  std::optional<Key> key;
  std::string requestId;
  const RequestFingerprint fingerprint;
  const Dispatch dispatch;
  const Time arrivedAt;
  Time deadline;
  bool usesLink = false; ///< The response goes to another daemon.
  /** Estimated wait for a slot that led to the refusal; otherwise 0. */
  Duration expectedWait = Duration(0);

private:
  /** Ends the execution and frees its slot.
   * @param aUse What the time in the slot was good for. A success counts as a
   * service time of the class.
   * @return The receiver, which gets nothing further from this execution. */
  std::shared_ptr<ExecutionReceiver> Finish(SlotUse aUse);
  /** Checks, immediately before the request is sent to the server, that it
   * still may be, and sets the time that is left. */
  bool PrepareToSend(HttpRequest& aRequest);
  /** Use of the slot by a response of the server that ends now. */
  SlotUse UseByResponse(unsigned aStatus) const;
  /** Handles that the server stated that it has not run the request. */
  void OnRefused(unsigned aStatus);
  /** Responds that the backend server refused the request, could not be
   * reached, or did not respond completely. */
  void RespondWithFailure(const std::string& aReason,
                          ExecutionOutcome aOutcome);
  /** Makes a response that is not a backend server's. Daemons read only its
   * report, so it has no body. */
  HttpResponse MakeEmptyResponse(unsigned aStatus) const;
  /** Adds a report and the server's announcements to the headers of a response.
   */
  void AddState(http::fields& aFields, const ExecutionReport& aReport);
  /** Passes what the server states about itself in the headers of a response to
   * the executor. */
  void ReadServerState(const http::fields& aHeaders);
  Event MakeLogEvent(const std::string& aOutcome,
                     const std::string& aReason) const;
  void LogOutcome(const std::string& aOutcome, const std::string& aReason);

  Executor& executor;
  uint64_t id;
  HttpRequest request;
  std::shared_ptr<ExecutionReceiver> receiver;
  std::shared_ptr<UpstreamCall> call;
  Time startedAt;
  ServerIncarnation server;    ///< Server that the request was sent to.
  std::string withdrawnReason; ///< Why it was not sent; empty if it was.
  bool abandoned = false;      ///< The server may run it longer than is waited.
  unsigned status = 0;         ///< Of a response whose body follows in chunks.
};

} // namespace fescuetiller
