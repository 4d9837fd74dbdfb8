#include "fescuetillerd/ingressrequest.h"

#include <algorithm>
#include <cstdio>

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include "fescuetillerd/execution.h"
#include "platform/headers.h"

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Time for the answer to travel back before the client's deadline. */
constexpr Duration kReturnTime = milliseconds(8);
/** Time in which another daemon's answer at its deadline still arrives. */
constexpr Duration kAnswerSlack = milliseconds(20);
/** Longest wait for a connection to another daemon: many times a round trip,
 * so that one lost packet does not count as a lost daemon. */
constexpr Duration kConnectTimeout = milliseconds(250);
/** Idle time of connections to other daemons; they keep theirs for longer. */
constexpr Duration kPeerIdle = std::chrono::seconds(20);
/** Pause before keys that are changing hands are looked up again. */
constexpr Duration kOwnerPause = milliseconds(60);
/** Pause before the same backend server is asked again. */
constexpr Duration kRepeatPause = milliseconds(15);
/** Members that one request is sent to before it is refused. */
constexpr uint32_t kMostHops = 3;
/** Looks for the owner of keys that are changing hands. */
constexpr uint32_t kMostOwnerHops = 8;
/** Time that is not worth another attempt. */
constexpr Duration kShortestLeft = milliseconds(15);
/** When to come back while keys have no reachable owner. */
constexpr Duration kOwnerRetry = milliseconds(300);
constexpr Duration kConfigurationRetry = milliseconds(500);
/** Part of the target latency by which an answer from the own zone may be
 * later than one from another zone; more for large answers. */
constexpr double kZoneShare = 0.25;
constexpr double kZoneShareDownload = 0.8;

/** Whether a status of our own says that the request never runs. */
bool
IsPromise(unsigned aStatus)
{
  constexpr unsigned kFirstServerError = 500;
  return aStatus == 503 || aStatus < kFirstServerError;
}

/** Whether the keys are about to be served by another member. */
bool
IsOwnerReason(const std::string& aReason)
{
  return aReason == "not-owner" || aReason == "draining";
}

} // namespace

IngressRequest::Setback
IngressRequest::Setback::NotSent(const std::string& aReason)
{
  Setback setback;
  setback.reason = aReason;
  setback.retryAfter = kOwnerRetry;
  return setback;
}

IngressRequest::Setback
IngressRequest::Setback::Unknown(const std::string& aReason)
{
  Setback setback;
  setback.reason = aReason;
  setback.mayHaveRun = true;
  return setback;
}

IngressRequest::IngressRequest(Ingress& aIngress,
                               std::shared_ptr<Exchange> aExchange)
  : ingress(aIngress)
  , exchange(std::move(aExchange))
  , requestId(exchange->request[headers::kRequestId])
  , startedAt(exchange->receivedAt)
  , deadline(startedAt)
  , timer(aIngress.context)
{
  ++this->ingress.inFlight;
}

IngressRequest::~IngressRequest()
{
  --this->ingress.inFlight;
}

Duration
IngressRequest::Left() const
{
  return this->deadline - BootClock::now();
}

void
IngressRequest::Begin()
{
  this->exchange->onGone = [weak = this->weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnClientGone();
    }
  };
  if (this->ReadRequest()) {
    this->ingress.BudgetOf(this->dispatch.service).CountRequest();
    this->Send();
  }
}

bool
IngressRequest::ReadRequest()
{
  const auto& request = this->exchange->request;
  if (this->ingress.routes == nullptr) {
    this->Reply(503, "no-configuration", kConfigurationRetry);
    return false;
  }
  if (this->requestId.empty()) {
    this->Reply(400, "no-request-id", Duration(0));
    return false;
  }
  std::string host(request[http::field::host]);
  std::string target(request.target());
  const auto* found = this->ingress.routes->Find(host, target);
  if (found == nullptr) {
    this->Reply(404, "no-route", Duration(0));
    return false;
  }
  this->route = *found;
  auto timeout = this->route.timeout;
  int64_t wanted = 0;
  if (boost::conversion::try_lexical_convert(
        std::string(request[headers::kTimeLeft]), wanted) &&
      wanted >= 0) {
    timeout = std::min<Duration>(timeout, milliseconds(wanted));
  }
  this->deadline = this->startedAt + timeout;
  this->dispatch.service = this->ingress.destinations.Pick(this->route);
  this->dispatch.requestClass = this->route.name;
  this->dispatch.priority = this->route.priority;
  this->dispatch.kind = this->route.kind;
  auto parentEnd = this->requestId.find(headers::kCallSeparator);
  this->dispatch.nested =
    parentEnd != std::string::npos &&
    this->ingress.executor.IsRunning(this->requestId.substr(0, parentEnd));
  const auto* service =
    this->ingress.routes->Source().FindService(this->dispatch.service);
  if (service == nullptr) {
    this->Reply(503, "unknown-service", kConfigurationRetry);
    return false;
  }
  Key value = 0;
  if (service->ownsKeys) {
    if (!boost::conversion::try_lexical_convert(
          std::string(request[headers::kKey]), value) ||
        value > kLastKey) {
      this->Reply(400, "no-key", Duration(0));
      return false;
    }
    this->key = value;
  }
  return true;
}

std::string
IngressRequest::ChooseMember(std::string& aReason)
{
  const auto& view = *this->ingress.view;
  if (this->key) {
    const auto* range = view.FindRange(this->dispatch.service, *this->key);
    if (range == nullptr || view.FindMember(range->owner) == nullptr) {
      aReason = "no-owner";
      return "";
    }
    if (!this->ingress.peers.MayTry(BootClock::now(), range->owner)) {
      aReason = "owner-unreachable";
      return "";
    }
    return range->owner;
  }
  std::vector<PeerCandidate> candidates;
  for (const auto* other : view.MembersOf(this->dispatch.service)) {
    if (other->state == MemberState::Ready) {
      candidates.push_back({ other->id, other->zone });
    }
  }
  PeerQuestion question;
  question.ownZone = this->ingress.identity.zone;
  double share =
    this->route.kind == RequestKind::Download ? kZoneShareDownload : kZoneShare;
  question.zonePreference =
    std::chrono::duration_cast<Duration>(this->route.targetLatency * share);
  question.tried = this->tried;
  auto now = BootClock::now();
  auto chosen = this->ingress.peers.Pick(now, candidates, question);
  if (!chosen.empty() && !this->ingress.peers.MayTry(now, chosen)) {
    aReason = "all-unreachable";
    return "";
  }
  if (chosen.empty()) {
    aReason = candidates.empty() ? "no-server" : "all-tried";
  }
  return chosen;
}

void
IngressRequest::Send()
{
  if (this->ended) {
    return;
  }
  if (this->Left() < kShortestLeft) {
    this->GiveUp(Setback::NotSent(this->lastReason.empty() ? "no-time"
                                                           : this->lastReason));
    return;
  }
  std::string reason;
  auto chosen = this->ChooseMember(reason);
  if (!chosen.empty()) {
    this->SendTo(chosen);
    return;
  }
  if (this->key) {
    this->OnSetback(Setback::NotSent(reason));
  } else {
    this->GiveUp(
      Setback::NotSent(this->lastReason.empty() ? reason : this->lastReason));
  }
}

void
IngressRequest::SendTo(const std::string& aMember)
{
  auto now = BootClock::now();
  this->member = aMember;
  this->sentAt = now;
  ++this->hops;
  this->dispatch.untilTarget =
    this->startedAt + this->route.targetLatency - now - kReturnTime;
  this->dispatch.untilDeadline = this->deadline - now - kReturnTime;
  HttpRequest forwarded = this->exchange->request;
  RemoveConnectionFields(forwarded);
  forwarded.version(11);
  forwarded.keep_alive(true);
  forwarded.set(kDispatchField, Encode(this->dispatch));
  forwarded.set(headers::kCallerService, this->ingress.identity.service);
  forwarded.erase(headers::kTargetServer);
  forwarded.prepare_payload();
  this->ingress.peers.Sent(aMember);
  if (aMember == this->ingress.self) {
    this->local = this->ingress.executor.Start(
      std::move(forwarded), this->dispatch, this->shared_from_this());
    return;
  }
  const auto* peer = this->ingress.view->FindMember(aMember);
  auto address = ParseEndpoint(peer->record.address);
  if (!address) {
    this->EndCall();
    this->OnSetback(Setback::NotSent("bad-address"));
    return;
  }
  CallOptions options;
  options.connectTimeout = kConnectTimeout;
  options.timeout = this->Left() + kAnswerSlack;
  options.idleTimeout = kPeerIdle;
  options.matchField = headers::kRequestId;
  this->remote = UpstreamCall::Start(this->ingress.pool,
                                     *address,
                                     std::move(forwarded),
                                     options,
                                     this->shared_from_this());
}

void
IngressRequest::EndCall()
{
  if (!this->member.empty()) {
    this->ingress.peers.Ended(this->member);
  }
  this->remote.reset();
  this->local.reset();
}

std::optional<ExecutionReport>
IngressRequest::TakeNote(http::fields& aFields)
{
  auto note =
    DecodeExecutionReport(std::string(aFields[kExecutionReportField]));
  aFields.erase(kExecutionReportField);
  if (note) {
    auto now = BootClock::now();
    this->ingress.peers.OnReport(
      now, this->member, note->load, note->expected, note->untilHeartbeat);
    this->ingress.peers.OnOverhead(
      now, this->member, now - this->sentAt - note->spent);
  }
  return note;
}

void
IngressRequest::OnWhole(HttpResponse aResponse)
{
  auto note = this->TakeNote(aResponse);
  this->EndCall();
  if (!note) {
    // Not from a daemon's request path: it cannot tell what became of it.
    this->OnSetback(Setback::Unknown("no-note"));
    return;
  }
  if (note->outcome != ExecutionOutcome::Answered) {
    this->OnSetback({ note->reason,
                      note->retryAfter,
                      note->outcome == ExecutionOutcome::Failed,
                      note->reachedServer,
                      note->owner });
    return;
  }
  this->ended = true;
  this->Log("answered", std::to_string(aResponse.result_int()));
  RemoveConnectionFields(aResponse);
  this->TellOutcome(aResponse, "answered");
  this->exchange->onGone = nullptr;
  this->exchange->Respond(std::move(aResponse));
}

void
IngressRequest::OnHead(ResponseHead aHead)
{
  this->TakeNote(aHead.message);
  RemoveConnectionFields(aHead.message);
  this->TellOutcome(aHead.message, "answered");
  this->exchange->StartBody(std::move(aHead));
}

void
IngressRequest::TellOutcome(http::fields& aFields, const std::string& aOutcome)
{
  if (this->exchange->onAnswer) {
    this->exchange->onAnswer(aFields, aOutcome);
  }
}

void
IngressRequest::OnPiece(asio::const_buffer aPiece, std::function<void()> aNext)
{
  this->exchange->WritePiece(aPiece, std::move(aNext));
}

void
IngressRequest::OnEnd()
{
  this->EndCall();
  this->ended = true;
  this->Log("answered", "streamed");
  this->exchange->onGone = nullptr;
  this->exchange->EndBody();
}

void
IngressRequest::OnFailure(const CallFailure& aFailure)
{
  this->EndCall();
  if (this->exchange->Answered()) {
    this->ended = true;
    this->Log("failed", "answer broke off: " + ToString(aFailure.error));
    this->exchange->Abort();
    return;
  }
  bool outOfTime = this->Left() < kShortestLeft;
  if (!outOfTime) {
    this->ingress.peers.OnFailure(BootClock::now(), this->member);
  }
  auto setback = Setback::NotSent("peer-" + aFailure.error.step);
  setback.mayHaveRun = aFailure.stage != CallStage::NotSent;
  this->OnSetback(setback);
}

void
IngressRequest::OnSetback(const Setback& aSetback)
{
  this->lastReason = aSetback.reason;
  if (aSetback.retryAfter > Duration(0)) {
    this->leastRetry = std::min(this->leastRetry, aSetback.retryAfter);
  }
  if (!this->RetryElsewhere(aSetback)) {
    this->GiveUp(aSetback);
  }
}

bool
IngressRequest::RetryElsewhere(const Setback& aSetback)
{
  if (this->Left() < kShortestLeft) {
    return false;
  }
  if (aSetback.mayHaveRun || aSetback.reachedServer) {
    return this->Repeat(aSetback);
  }
  if (this->key) {
    if (!aSetback.owner.empty() && this->hops < kMostOwnerHops &&
        this->ingress.view->FindMember(aSetback.owner) != nullptr) {
      this->SendTo(aSetback.owner);
      return true;
    }
    if (!IsOwnerReason(aSetback.reason) || this->hops >= kMostOwnerHops) {
      return false;
    }
    ++this->hops;
    this->WaitAndSend(kOwnerPause);
    return true;
  }
  this->tried.insert(this->member);
  if (this->hops >= kMostHops) {
    return false;
  }
  this->Send();
  return true;
}

/** Sends a request once more that has reached a backend server, if the operator
 * and the budget that all daemons share allow it. */
bool
IngressRequest::Repeat(const Setback& aSetback)
{
  ++this->arrivals;
  this->mayHaveRun = this->mayHaveRun || aSetback.mayHaveRun;
  bool repeatable =
    !aSetback.mayHaveRun || this->route.kind != RequestKind::NonIdempotent;
  if (!repeatable || this->arrivals >= this->route.attempts ||
      !this->ingress.BudgetOf(this->dispatch.service).TakeRetry()) {
    return false;
  }
  if (this->key) {
    this->WaitAndSend(kRepeatPause);
  } else {
    this->tried.insert(this->member);
    this->Send();
  }
  return true;
}

void
IngressRequest::WaitAndSend(Duration aWait)
{
  this->timer.expires_after(aWait);
  this->timer.async_wait(
    [self = this->shared_from_this()](boost::system::error_code aError) {
      if (!aError) {
        self->Send();
      }
    });
}

void
IngressRequest::OnClientGone()
{
  if (this->ended) {
    return;
  }
  this->ended = true;
  this->timer.cancel();
  auto hold = this->shared_from_this();
  if (this->remote != nullptr) {
    auto now = BootClock::now();
    this->ingress.peers.OnNoAnswer(now, this->member, now - this->sentAt);
    this->remote->Cancel();
  }
  if (this->local != nullptr) {
    this->local->Cancel();
  }
  this->EndCall();
  this->Log("cancelled", "client left");
}

void
IngressRequest::GiveUp(const Setback& aSetback)
{
  auto retry =
    this->leastRetry == Duration::max() ? kOwnerRetry : this->leastRetry;
  if (!aSetback.mayHaveRun && !this->mayHaveRun) {
    this->Reply(503, aSetback.reason, retry);
    return;
  }
  bool outOfTime = this->Left() < kShortestLeft;
  this->Reply(outOfTime ? 504 : 502, aSetback.reason, Duration(0));
}

void
IngressRequest::Reply(unsigned aStatus,
                      const std::string& aReason,
                      Duration aRetry)
{
  this->ended = true;
  this->timer.cancel();
  std::string outcome = IsPromise(aStatus) ? "refused" : "failed";
  this->Log(outcome, aReason);
  auto response = TextResponse(aStatus, aReason + "\n");
  this->TellOutcome(response, outcome);
  if (!this->requestId.empty()) {
    response.set(headers::kRequestId, this->requestId);
  }
  if (aStatus == 503) {
    char seconds[32];
    std::snprintf(seconds,
                  sizeof(seconds),
                  "%.3f",
                  static_cast<double>(aRetry.count()) / 1e9);
    response.set(headers::kRetryAfter, seconds);
  }
  this->exchange->onGone = nullptr;
  this->exchange->Respond(std::move(response));
}

void
IngressRequest::Log(const std::string& aOutcome, const std::string& aReason)
{
  auto now = BootClock::now();
  this->ingress.counters.CountRequest(this->dispatch.requestClass,
                                      aOutcome,
                                      aOutcome == "answered" ? "" : aReason,
                                      now - this->startedAt);
  this->ingress.log.Write(
    aOutcome == "answered" ? EventRank::Routine : EventRank::Notable,
    [&] { return this->Describe(now, aOutcome, aReason); });
}

/** The line on a request that has ended. */
Event
IngressRequest::Describe(Time aNow,
                         const std::string& aOutcome,
                         const std::string& aReason) const
{
  const auto* routes = this->ingress.routes.get();
  const auto* peer = this->ingress.view->FindMember(this->member);
  return {
    "request",
    { { "request", this->requestId },
      { "class", this->dispatch.requestClass },
      { "outcome", aOutcome },
      { "reason", aReason },
      { "last_setback", this->lastReason },
      { "service", this->dispatch.service },
      { "peer", this->member },
      { "peer_address", peer == nullptr ? "" : peer->record.address },
      { "key", this->key ? std::to_string(*this->key) : "" },
      { "hops", std::to_string(this->hops) },
      { "taken_ms", std::to_string(ToMilliseconds(aNow - this->startedAt)) },
      { "time_left_ms", std::to_string(ToMilliseconds(this->deadline - aNow)) },
      { "configuration",
        routes == nullptr ? "" : std::to_string(routes->Source().version) },
      { "cluster", std::to_string(this->ingress.view->Version()) } }
  };
}

} // namespace fescuetiller
