#include "fescuetillerd/execution.h"

#include "platform/headers.h"

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Longest wait for a connection to the server on the same machine. */
constexpr Duration kConnectTimeout = milliseconds(400);
/** Time in which the server's own answer at its time limit still arrives. */
constexpr Duration kAnswerSlack = milliseconds(40);
/** When to come back to a server that turned a request away itself. */
constexpr Duration kShedRetry = milliseconds(100);
constexpr Duration kUnreachableRetry = milliseconds(400);

} // namespace

Execution::Execution(Executor& aExecutor,
                     uint64_t aId,
                     HttpRequest aRequest,
                     const Dispatch& aDispatch,
                     std::shared_ptr<ResponseReceiver> aReceiver)
  : requestId(aRequest[headers::kRequestId])
  , dispatch(aDispatch)
  , arrivedAt(BootClock::now())
  , executor(aExecutor)
  , id(aId)
  , request(std::move(aRequest))
  , receiver(std::move(aReceiver))
{
}

void
Execution::Cancel()
{
  if (this->receiver == nullptr) {
    return;
  }
  auto hold = this->shared_from_this();
  if (this->call != nullptr) {
    this->call->Cancel();
  }
  this->executor.queue.Cancel(this->id);
  this->Finish(false);
  this->LogOutcome("cancelled", "caller left");
}

void
Execution::Run(Time aNow)
{
  this->startedAt = aNow;
  this->executor.runningIds.insert(this->requestId);
  auto left = this->deadline - aNow;
  auto forwarded = std::move(this->request); // It is sent only once.
  RemoveConnectionFields(forwarded);
  forwarded.erase(kDispatchField);
  forwarded.set(headers::kTimeLeft, std::to_string(ToMilliseconds(left)));
  forwarded.set(headers::kTargetServer, this->executor.serving.serverId);
  forwarded.keep_alive(true);
  CallOptions options;
  options.connectTimeout = kConnectTimeout;
  options.timeout = left + kAnswerSlack;
  options.matchField = headers::kRequestId;
  this->call = UpstreamCall::Start(this->executor.pool,
                                   this->executor.server,
                                   std::move(forwarded),
                                   options,
                                   this->shared_from_this());
}

std::shared_ptr<ResponseReceiver>
Execution::Finish(bool aLearn)
{
  auto taker = std::move(this->receiver);
  this->receiver.reset();
  this->executor.queue.Finished(BootClock::now(), this->id, aLearn);
  this->executor.executions.erase(this->id);
  this->executor.runningIds.erase(this->requestId);
  this->executor.Pump();
  return taker;
}

void
Execution::LogOutcome(const std::string& aOutcome, const std::string& aReason)
{
  this->executor.log.Write(aOutcome == "answered" ? EventRank::Routine
                                                  : EventRank::Notable,
                           [&] { return this->Describe(aOutcome, aReason); });
}

/** The line on an execution that has ended. */
Event
Execution::Describe(const std::string& aOutcome,
                    const std::string& aReason) const
{
  auto now = BootClock::now();
  auto spent =
    this->startedAt == Time() ? Duration(0) : Duration(now - this->startedAt);
  return {
    "execution",
    { { "request", this->requestId },
      { "class", this->dispatch.requestClass },
      { "server", this->executor.serving.serverId },
      { "outcome", aOutcome },
      { "reason", aReason },
      { "key", this->key ? std::to_string(*this->key) : "" },
      { "in_slot_ms", std::to_string(ToMilliseconds(spent)) },
      { "time_left_ms", std::to_string(ToMilliseconds(this->deadline - now)) },
      { "expected_wait_ms",
        std::to_string(ToMilliseconds(this->expectedWait)) },
      { "load",
        std::to_string(this->executor.queue.OfferedLoad(now)).substr(0, 4) },
      { "running", std::to_string(this->executor.queue.Running()) },
      { "waiting", std::to_string(this->executor.queue.Waiting()) } }
  };
}

void
Execution::Reject(const std::string& aReason, ExecutionOutcome aOutcome)
{
  this->LogOutcome(ToString(aOutcome), aReason);
  auto hold = this->shared_from_this();
  auto retry = aReason == "server-unreachable" ? kUnreachableRetry : kShedRetry;
  auto taker = this->Finish(false);
  auto response = TextResponse(
    aOutcome == ExecutionOutcome::Refused ? 503 : 502, aReason + "\n");
  auto note = this->executor.Note(aOutcome, *this, aReason, retry);
  note.reachedServer = aReason != "server-unreachable";
  response.set(kExecutionReportField, Encode(note));
  taker->OnWhole(std::move(response));
}

void
Execution::Refuse(const std::string& aReason, Duration aRetryAfter)
{
  this->LogOutcome("refused", aReason);
  auto hold = this->shared_from_this();
  auto taker = this->Finish(false);
  auto response = TextResponse(503, aReason + "\n");
  auto note =
    this->executor.Note(ExecutionOutcome::Refused, *this, aReason, aRetryAfter);
  if (this->key) {
    note.owner = this->executor.MovedTo(*this->key);
  }
  response.set(kExecutionReportField, Encode(note));
  taker->OnWhole(std::move(response));
}

void
Execution::OnWhole(HttpResponse aResponse)
{
  auto status = aResponse.result_int();
  bool notRun =
    status == 421 || aResponse.find(headers::kNotExecuted) != aResponse.end();
  if (notRun) {
    this->Reject("server-refused-" + std::to_string(status),
                 ExecutionOutcome::Refused);
    return;
  }
  this->LogOutcome("answered", std::to_string(status));
  auto hold = this->shared_from_this();
  auto taker = this->Finish(status < 300);
  aResponse.set(kExecutionReportField,
                Encode(this->executor.Note(ExecutionOutcome::Answered, *this)));
  taker->OnWhole(std::move(aResponse));
}

void
Execution::OnHead(ResponseHead aHead)
{
  aHead.message.set(
    kExecutionReportField,
    Encode(this->executor.Note(ExecutionOutcome::Answered, *this)));
  this->receiver->OnHead(std::move(aHead));
}

void
Execution::OnPiece(asio::const_buffer aPiece, std::function<void()> aNext)
{
  this->receiver->OnPiece(aPiece, std::move(aNext));
}

void
Execution::OnEnd()
{
  this->LogOutcome("answered", "streamed");
  auto hold = this->shared_from_this();
  this->Finish(true)->OnEnd();
}

void
Execution::OnFailure(const CallFailure& aFailure)
{
  if (aFailure.refused && this->executor.onRefusedConnection) {
    this->executor.onRefusedConnection();
  }
  switch (aFailure.stage) {
    case CallStage::NotSent:
      this->Reject("server-unreachable", ExecutionOutcome::Refused);
      break;
    case CallStage::Sent:
      this->Reject("answer-lost", ExecutionOutcome::Failed);
      break;
    case CallStage::Answering: {
      this->LogOutcome("failed",
                       "answer broke off: " + ToString(aFailure.error));
      auto hold = this->shared_from_this();
      this->Finish(false)->OnFailure(aFailure);
      break;
    }
  }
}

} // namespace fescuetiller
