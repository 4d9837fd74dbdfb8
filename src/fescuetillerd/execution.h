#pragma once

#include <memory>
#include <optional>
#include <string>

#include "fescuetillerd/executor.h"

namespace fescuetiller {

/** One request at the daemon beside the backend server: waits for its slot,
 * runs, and passes the answer on with a note. */
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
            std::shared_ptr<ResponseReceiver> aReceiver);

  void Cancel() override;

  /** Sends the request to the backend server. */
  void Run(Time aNow);

  void Refuse(const std::string& aReason, Duration aRetryAfter);

  void OnWhole(HttpResponse aResponse) override;
  void OnHead(ResponseHead aHead) override;
  void OnPiece(asio::const_buffer aPiece, std::function<void()> aNext) override;
  void OnEnd() override;
  void OnFailure(const CallFailure& aFailure) override;

  std::optional<Key> key;
  std::string requestId;
  const Dispatch dispatch;
  const Time arrivedAt;
  Time deadline;
  Duration expectedWait = Duration(0); ///< That a refusal was decided by.

private:
  /** Frees the slot. @return The receiver, which hears nothing further. */
  std::shared_ptr<ResponseReceiver> Finish(bool aLearn);
  void Reject(const std::string& aReason, ExecutionOutcome aOutcome);
  Event Describe(const std::string& aOutcome, const std::string& aReason) const;
  void LogOutcome(const std::string& aOutcome, const std::string& aReason);

  Executor& executor;
  uint64_t id;
  HttpRequest request;
  std::shared_ptr<ResponseReceiver> receiver;
  std::shared_ptr<UpstreamCall> call;
  Time startedAt;
};

} // namespace fescuetiller
