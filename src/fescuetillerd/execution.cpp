#include "fescuetillerd/execution.h"

#include "fescuetillerd/requestfingerprint.h"
#include "platform/platform.h"

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** For connections to the backend server on the same machine. */
constexpr Duration kConnectTimeout = milliseconds(400);
/** Extra time for a response that has begun at the request's deadline, which is
 * before that of the client. The caller does not wait for another one. */
constexpr Duration kResponseMargin = milliseconds(100);
/** Time before a retry if the backend server itself refused a request. */
constexpr Duration kServerRefusalRetryAfter = milliseconds(100);
/** Time before a retry if the backend server could not be reached. */
constexpr Duration kServerUnreachableRetryAfter = milliseconds(400);
/** Status of a server at the same address that is not the one asked for. */
constexpr unsigned kMisdirected = 421;

/** Whether a server states that it has not run the request. */
bool
IsRefusal(const http::response_header<>& aResponse)
{
  return aResponse.result_int() == kMisdirected ||
         aResponse.find(headers::kNotExecuted) != aResponse.end();
}

} // namespace

Execution::Execution(Executor& aExecutor,
                     uint64_t aId,
                     HttpRequest aRequest,
                     const Dispatch& aDispatch,
                     std::shared_ptr<ExecutionReceiver> aReceiver)
  : requestId(aRequest[headers::kRequestId])
  , fingerprint(
      FingerprintOf(aRequest, std::string(aRequest[headers::kCallerService])))
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
  auto self = this->shared_from_this();
  if (this->call != nullptr) {
    this->call->Cancel();
  }
  this->executor.queue.Cancel(this->id);
  this->Finish(SlotUse::Cancelled);
  this->LogOutcome("cancelled", "caller left");
}

void
Execution::Run(Time aNow)
{
  this->startedAt = aNow;
  this->executor.slotUsage.OnStarted(aNow);
  this->server = this->executor.serving.server;
  this->executor.runningIds.insert(this->requestId);
  auto forwarded = std::move(this->request); // Sent only once.
  RemoveHopByHopFields(forwarded);
  forwarded.erase(kDispatchField);
  forwarded.erase(kCompactDispatchField);
  forwarded.erase(kServerNoticeField);
  forwarded.set(headers::kTargetServer, this->server.id);
  forwarded.keep_alive(true);
  CallOptions options;
  options.connectTimeout = kConnectTimeout;
  options.timeout = this->deadline - aNow + kResponseMargin;
  options.correlationField = headers::kRequestId;
  options.mayRepeatResponses = true;
  options.mayProcessPart = true;
  options.beforeSend = [this](HttpRequest& aRequest) {
    return this->PrepareToSend(aRequest);
  };
  this->call = UpstreamCall::Start(this->executor.pool,
                                   this->executor.server,
                                   std::move(forwarded),
                                   options,
                                   this->shared_from_this());
}

bool
Execution::PrepareToSend(HttpRequest& aRequest)
{
  auto now = BootClock::now();
  if (this->server != this->executor.serving.server) {
    this->withdrawnReason = "server-down";
  } else if (this->deadline <= now) {
    this->withdrawnReason = "expired";
  } else {
    this->withdrawnReason = this->executor.ReasonNotToSend(now, this->key);
  }
  auto& cold = this->executor.queue.Cold();
  if (this->withdrawnReason.empty()) {
    // The server may have become cold since the request got its slot.
    if (cold.MaySend(now)) {
      cold.OnSent(now, this->id);
    } else {
      this->withdrawnReason = kServerColdReason;
    }
  }
  aRequest.set(headers::kTimeLeft,
               std::to_string(ToMilliseconds(this->deadline - now)));
  return this->withdrawnReason.empty();
}

SlotUse
Execution::UseByResponse(unsigned aStatus) const
{
  constexpr unsigned kFirstRedirect = 300;
  if (aStatus >= kFirstRedirect) {
    return SlotUse::Error;
  }
  bool inTime =
    BootClock::now() - this->arrivedAt <= this->dispatch.untilTarget;
  return inTime ? SlotUse::InTime : SlotUse::Late;
}

std::shared_ptr<ExecutionReceiver>
Execution::Finish(SlotUse aUse)
{
  auto responseReceiver = std::move(this->receiver);
  this->receiver.reset();
  auto now = BootClock::now();
  bool succeeded = aUse == SlotUse::InTime || aUse == SlotUse::Late;
  if (this->abandoned || aUse == SlotUse::Cancelled) {
    this->executor.queue.OnAbandoned(now, this->id);
  } else {
    this->executor.queue.OnFinished(now, this->id, succeeded);
  }
  if (this->startedAt != Time()) {
    this->executor.slotUsage.OnFinished(now, this->startedAt, aUse);
  }
  this->executor.executions.erase(this->id);
  this->executor.runningIds.erase(this->requestId);
  this->executor.StartEligibleRequests();
  return responseReceiver;
}

void
Execution::LogOutcome(const std::string& aOutcome, const std::string& aReason)
{
  this->executor.log.Write(
    aOutcome == "answered" ? EventPriority::Routine : EventPriority::Notable,
    [&] { return this->MakeLogEvent(aOutcome, aReason); });
}

/** The log event for an execution that has ended. */
Event
Execution::MakeLogEvent(const std::string& aOutcome,
                        const std::string& aReason) const
{
  auto now = BootClock::now();
  auto timeInSlot =
    this->startedAt == Time() ? Duration(0) : Duration(now - this->startedAt);
  return {
    "execution",
    { { "request", this->requestId },
      { "class", this->dispatch.requestClass },
      { "server", this->executor.serving.server.id },
      { "outcome", aOutcome },
      { "reason", aReason },
      { "key", this->key ? std::to_string(*this->key) : "" },
      { "fingerprint", ToHex(this->fingerprint) },
      { "in_slot_ms", std::to_string(ToMilliseconds(timeInSlot)) },
      { "time_left_ms", std::to_string(ToMilliseconds(this->deadline - now)) },
      { "expected_wait_ms",
        std::to_string(ToMilliseconds(this->expectedWait)) },
      { "load",
        std::to_string(this->executor.queue.OfferedLoad(now)).substr(0, 4) },
      { "running", std::to_string(this->executor.queue.RunningCount()) },
      { "waiting", std::to_string(this->executor.queue.WaitingCount()) } }
  };
}

HttpResponse
Execution::MakeEmptyResponse(unsigned aStatus) const
{
  HttpResponse response(static_cast<http::status>(aStatus), 11);
  // An empty one would be replaced by the usual one, which is longer.
  response.reason("-");
  response.set(headers::kRequestId, this->requestId);
  return response;
}

void
Execution::AddState(http::fields& aFields, const ExecutionReport& aReport)
{
  this->executor.AddState(aFields, aReport, this->dispatch.readsCompactReport);
}

void
Execution::RespondWithFailure(const std::string& aReason,
                              ExecutionOutcome aOutcome)
{
  auto self = this->shared_from_this();
  auto retryAfter = aReason == "server-unreachable"
                      ? kServerUnreachableRetryAfter
                      : kServerRefusalRetryAfter;
  auto responseReceiver = this->Finish(SlotUse::Unanswered);
  auto response =
    this->MakeEmptyResponse(aOutcome == ExecutionOutcome::Refused ? 503 : 502);
  auto report = this->executor.MakeReport(aOutcome, *this, aReason, retryAfter);
  report.reachedServer = aReason != "server-unreachable";
  this->AddState(response, report);
  responseReceiver->OnCompleteResponse(std::move(response));
}

void
Execution::Refuse(const std::string& aReason, Duration aRetryAfter)
{
  this->LogOutcome("refused", aReason);
  if (aReason == kEvacuatedReason) {
    ++this->executor.evacuationRefusals;
  }
  if (aReason == kServerColdReason) {
    ++this->executor.coldRefusals;
  }
  auto self = this->shared_from_this();
  auto responseReceiver = this->Finish(SlotUse::Unanswered);
  auto response = this->MakeEmptyResponse(503);
  auto report = this->executor.MakeReport(
    ExecutionOutcome::Refused, *this, aReason, aRetryAfter);
  if (this->key) {
    report.owner = this->executor.FindNewOwner(*this->key);
  }
  this->AddState(response, report);
  responseReceiver->OnCompleteResponse(std::move(response));
}

void
Execution::ReadServerState(const http::fields& aHeaders)
{
  if (aHeaders[headers::kLeaving] == headers::kIsLeaving) {
    this->executor.AnnounceLeaving(this->server, BootClock::now());
  }
  this->executor.OnStatedLoad(this->id, this->server, aHeaders);
  auto limit = ParseRequestLimit(std::string(aHeaders[headers::kRequestLimit]),
                                 this->server.id);
  if (limit) {
    this->executor.OnRequestLimit(this->server, this->startedAt, *limit);
  } else {
    this->executor.log.Write(
      { "server-limit-refused", { { "reason", ToString(limit.error()) } } });
  }
}

void
Execution::OnCompleteResponse(HttpResponse aResponse)
{
  auto status = aResponse.result_int();
  if (status == kMisdirected) {
    this->executor.queue.Cold().OnMisdirected(this->id);
  } else {
    this->executor.OnSignOfLife(this->server, this->startedAt);
    this->ReadServerState(aResponse);
  }
  bool notRun = IsRefusal(aResponse.base());
  if (notRun) {
    this->OnRefused(status);
    return;
  }
  this->executor.OnAnswered(this->fingerprint, status);
  this->LogOutcome("answered", std::to_string(status));
  auto self = this->shared_from_this();
  auto responseReceiver = this->Finish(this->UseByResponse(status));
  this->AddState(aResponse,
                 this->executor.MakeReport(ExecutionOutcome::Answered, *this));
  responseReceiver->OnCompleteResponse(std::move(aResponse));
}

void
Execution::OnRefused(unsigned aStatus)
{
  auto reason = "server-refused-" + std::to_string(aStatus);
  this->LogOutcome("refused", reason);
  this->RespondWithFailure(reason, ExecutionOutcome::Refused);
}

void
Execution::OnHeaders(ResponseHeaders aHeaders)
{
  this->status = aHeaders.message.result_int();
  if (this->status == kMisdirected) {
    this->executor.queue.Cold().OnMisdirected(this->id);
  } else {
    this->executor.OnSignOfLife(this->server, this->startedAt);
    this->ReadServerState(aHeaders.message);
  }
  if (IsRefusal(aHeaders.message.base())) {
    auto self = this->shared_from_this(); // The call keeps it until its end.
    this->call->Cancel();
    this->OnRefused(this->status);
    return;
  }
  this->AddState(aHeaders.message,
                 this->executor.MakeReport(ExecutionOutcome::Answered, *this));
  this->receiver->OnHeaders(std::move(aHeaders));
}

void
Execution::OnBodyChunk(asio::const_buffer aChunk, std::function<void()> aNext)
{
  this->receiver->OnBodyChunk(aChunk, std::move(aNext));
}

void
Execution::OnBodyEnd()
{
  this->executor.OnAnswered(this->fingerprint, this->status);
  this->LogOutcome("answered", "streamed");
  auto self = this->shared_from_this();
  this->Finish(this->UseByResponse(this->status))->OnBodyEnd();
}

void
Execution::OnFailure(const CallFailure& aFailure)
{
  if (aFailure.withdrawn) {
    bool isCold = this->withdrawnReason == kServerColdReason;
    this->Refuse(this->withdrawnReason,
                 isCold
                   ? this->executor.queue.RetryDelay(BootClock::now(), this->id)
                   : kServerRefusalRetryAfter);
    return;
  }
  if (aFailure.connectionRefused) {
    this->executor.OnConnectionRefused();
  }
  if (aFailure.stage == CallStage::ResponseStarted) {
    this->executor.OnSignOfLife(this->server, this->startedAt);
  }
  if (aFailure.stage != CallStage::NotSent && !aFailure.timedOut) {
    this->executor.OnBrokenOff(this->fingerprint, this->server);
  }
  this->abandoned = aFailure.timedOut && aFailure.stage != CallStage::NotSent;
  switch (aFailure.stage) {
    case CallStage::NotSent:
      this->LogOutcome("refused", "server-unreachable");
      this->RespondWithFailure("server-unreachable", ExecutionOutcome::Refused);
      break;
    case CallStage::Sent:
      this->LogOutcome("failed", "answer-lost");
      this->RespondWithFailure("answer-lost", ExecutionOutcome::Failed);
      break;
    case CallStage::ResponseStarted:
      this->LogOutcome("failed",
                       "answer broke off: " + ToString(aFailure.error));
      if (this->receiver->HasPassedOn()) {
        auto self = this->shared_from_this();
        this->Finish(SlotUse::Unanswered)->OnFailure(aFailure);
      } else {
        this->RespondWithFailure(kBrokenOffReason, ExecutionOutcome::Failed);
      }
      break;
  }
}

} // namespace fescuetiller
