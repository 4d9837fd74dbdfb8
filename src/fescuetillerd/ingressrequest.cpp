#include "fescuetillerd/ingressrequest.h"

#include <algorithm>
#include <cstdio>

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include "fescuetillerd/execution.h"
#include "fescuetillerd/requestfingerprint.h"
#include "platform/headers.h"

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Time reserved before the deadline for the response of another daemon to
 * travel back. */
constexpr Duration kResponseTravelTime = milliseconds(8);
/** Time that a message to a client and back is taken to take at least. The
 * client counts its wait from when it sends the request. */
constexpr Duration kMinClientRoundTrip = milliseconds(20);
/** Time reserved for writing a response to a client. */
constexpr Duration kResponseWriteTime = milliseconds(10);
/** Share of the client's wait that is reserved for its response at most. */
constexpr int kMaxReserveDivisor = 8;
/** The same for the response of another daemon, in addition. */
constexpr int kMaxMarginDivisor = 16;
/** Clients that say that they wait for longer are taken to wait for this. */
constexpr milliseconds kMaxClientWait = std::chrono::hours(24);
/** Time before the exit of the process in which the last responses are written
 * and sent. */
constexpr Duration kExitMargin = milliseconds(200);
/** Extra time for a response that another daemon sends at its deadline. */
constexpr Duration kResponseMargin = milliseconds(20);
/** For connections to other daemons. Many times a round trip, so that one lost
 * packet does not count as an unreachable daemon. */
constexpr Duration kConnectTimeout = milliseconds(250);
/** For connections to other daemons, which keep idle connections for longer. */
constexpr Duration kPeerIdleTimeout = std::chrono::seconds(20);
/** Delay before the owner of keys that are being moved is looked up again. */
constexpr Duration kOwnerRetryDelay = milliseconds(60);
/** Delay before a request is sent to the same backend server again. */
constexpr Duration kSameServerRetryDelay = milliseconds(15);
/** Maximum number of members that a request without a key is sent to. */
constexpr uint32_t kMaxHops = 3;
/** Maximum number of attempts, lookups included, to find the owner of keys that
 * are being moved. */
constexpr uint32_t kMaxOwnerHops = 8;
/** With less time left, no further attempt is made. */
constexpr Duration kMinTimeLeft = milliseconds(15);
/** Time before a retry if the keys have no reachable owner. */
constexpr Duration kOwnerRetryAfter = milliseconds(300);
/** Time before a retry if the configuration is missing or incomplete. */
constexpr Duration kConfigurationRetryAfter = milliseconds(500);
/** How much later a response from the own zone may be than one from another
 * zone, as a part of the target latency; more for large responses. */
constexpr double kZonePreference = 0.25;
constexpr double kDownloadZonePreference = 0.8;

constexpr unsigned kFirstServerError = 500;

/** Size of the headers of a request and its response together, for the price of
 * sending them to another zone. */
constexpr uint64_t kUsualHeadBytes = 512;

/** Whether a status that the router itself responds with guarantees that the
 * request has not run and never will. */
bool
IsRefusalStatus(unsigned aStatus)
{
  return aStatus == 503 || aStatus < kFirstServerError;
}

/** Reason of requests that were sent and have no response at their deadline. */
constexpr const char* kNoResponseReason = "no-response";
/** Reason of requests that the owner of their key would refuse. */
constexpr const char* kHeldBackReason = "owner-overloaded";
/** Reason of retries that are sent too early. */
constexpr const char* kEarlyRetryReason = "early-retry";
/** Share of the time left after which clients come back, even if they were told
 * to wait for longer. */
constexpr int kMaxWaitDivisor = 3;
/** Share of the wait that a retry may be early: clocks differ and the time left
 * travels with the request. */
constexpr double kEarlyTolerance = 0.2;

/** Whether the reason means that another member will soon serve the keys. */
bool
IsOwnershipChange(const std::string& aReason)
{
  return aReason == "not-owner" || aReason == "draining";
}

} // namespace

IngressRequest::FailedAttempt
IngressRequest::FailedAttempt::NotSent(const std::string& aReason)
{
  FailedAttempt attempt;
  attempt.reason = aReason;
  attempt.retryAfter = kOwnerRetryAfter;
  return attempt;
}

IngressRequest::FailedAttempt
IngressRequest::FailedAttempt::OutcomeUnknown(const std::string& aReason)
{
  FailedAttempt attempt;
  attempt.reason = aReason;
  attempt.mayHaveRun = true;
  return attempt;
}

IngressRequest::IngressRequest(Ingress& aIngress,
                               std::shared_ptr<Exchange> aExchange)
  : ingress(aIngress)
  , exchange(std::move(aExchange))
  , requestId(exchange->request[headers::kRequestId])
  , startedAt(exchange->receivedAt)
  , deadline(startedAt)
  , timer(aIngress.context)
  , deadlineTimer(aIngress.context)
{
  ++this->ingress.inFlight;
}

IngressRequest::~IngressRequest()
{
  --this->ingress.inFlight;
}

Duration
IngressRequest::TimeLeft() const
{
  return this->deadline - BootClock::now();
}

void
IngressRequest::Start()
{
  this->exchange->onClientDisconnect =
    [weak = this->weak_from_this()](ConnectionEnd aEnd) {
      if (auto self = weak.lock()) {
        self->OnClientDisconnected(aEnd);
      }
    };
  if (this->ReadRequest() && !this->RefuseIfStopping() &&
      !this->RefuseIfEarly() && !this->RefuseIfBlocked()) {
    this->ingress.RetryBudgetFor(this->dispatch.service).CountRequest();
    this->ArmDeadlineTimer();
    this->Send();
  }
}

Duration
IngressRequest::ResponseReserve(Duration aWait) const
{
  auto roundTrip =
    std::max(this->exchange->RoundTripTime(), kMinClientRoundTrip);
  return std::min(roundTrip + kResponseWriteTime,
                  Duration(aWait / kMaxReserveDivisor));
}

void
IngressRequest::ArmDeadlineTimer()
{
  this->deadlineTimer.expires_after(this->responseDue - BootClock::now());
  this->deadlineTimer.async_wait(
    [weak = this->weak_from_this()](boost::system::error_code aError) {
      auto self = weak.lock();
      if (!aError && self != nullptr) {
        self->OnDeadline();
      }
    });
}

void
IngressRequest::OnDeadline()
{
  if (this->ended || this->passingOn) {
    return; // A response that waits for its turn is still delivered.
  }
  auto self = this->shared_from_this();
  bool sent = this->localExecution != nullptr ||
              (this->remoteCall != nullptr &&
               this->remoteCall->Stage() != CallStage::NotSent);
  this->timer.cancel();
  if (sent) {
    // At the timeout of the route, the other daemon may be in time as well.
    if (this->responseDue < this->lastResponseAt) {
      this->RecordUnansweredAttempt();
    }
    this->CancelAttempt();
    this->GiveUp(FailedAttempt::OutcomeUnknown(kNoResponseReason));
  } else {
    this->CancelAttempt();
    this->GiveUp(FailedAttempt::NotSent(
      this->lastFailure.empty() ? "no-time" : this->lastFailure));
  }
}

void
IngressRequest::RecordUnansweredAttempt()
{
  if (this->remoteCall != nullptr) {
    auto now = BootClock::now();
    this->ingress.peers.OnClientDisconnect(now,
                                           this->currentMember,
                                           this->dispatch.requestClass,
                                           now - this->sentAt);
  }
}

bool
IngressRequest::RefuseIfStopping()
{
  auto exitAt = this->ingress.exitAt;
  if (this->deadline < exitAt - kExitMargin) {
    return false;
  }
  this->RespondWithError(503, kStoppingReason, exitAt - this->startedAt);
  return true;
}

bool
IngressRequest::RefuseIfEarly()
{
  if (this->startedAt >= this->retryDueAt) {
    return false;
  }
  this->RespondWithError(
    503, kEarlyRetryReason, this->retryDueAt - this->startedAt);
  return true;
}

bool
IngressRequest::RefuseIfBlocked()
{
  const auto& crashes = this->ingress.executor.Crashes();
  if (crashes.IsEmpty()) {
    return false;
  }
  auto blocked = crashes.BlockedFor(
    BootClock::now(),
    FingerprintOf(this->exchange->request, this->ingress.settings.service));
  if (blocked) {
    this->RespondWithError(503, kBlockedReason, *blocked);
  }
  return blocked.has_value();
}

RequestFingerprint
IngressRequest::RetryFingerprint() const
{
  const auto& request = this->exchange->request;
  // Requests for different keys may be equal otherwise.
  auto key = request[headers::kKey];
  return StableHash(std::string_view(key.data(), key.size()),
                    FingerprintOf(request, this->ingress.settings.service));
}

void
IngressRequest::RecognizeRetry()
{
  auto& retries = this->ingress.clientRetries;
  if (!retries.IsEmpty()) {
    auto attempt = retries.TakeAttempt(
      this->startedAt, this->RetryFingerprint(), *this->clientDeadline);
    if (attempt) {
      this->firstSentAt = attempt->firstSentAt;
      this->retryDueAt = attempt->retryDueAt;
    }
  }
}

void
IngressRequest::ExpectRetry()
{
  if (this->clientDeadline) {
    this->ingress.clientRetries.OnUnsuccessful(
      BootClock::now(),
      this->RetryFingerprint(),
      *this->clientDeadline,
      { this->firstSentAt.value_or(this->startedAt), this->retryDueAt });
  }
}

bool
IngressRequest::ReadRequest()
{
  const auto& request = this->exchange->request;
  if (this->ingress.routes == nullptr) {
    this->RespondWithError(503, "no-configuration", kConfigurationRetryAfter);
    return false;
  }
  if (this->requestId.empty()) {
    this->RespondWithError(400, "no-request-id", Duration(0));
    return false;
  }
  std::string host(request[http::field::host]);
  std::string target(request.target());
  const auto* found = this->ingress.routes->Find(host, target);
  if (found == nullptr) {
    this->RespondWithError(404, "no-route", Duration(0));
    return false;
  }
  this->route = *found;
  auto timeout = this->route.timeout;
  this->lastResponseAt = this->startedAt + timeout;
  int64_t requested = 0;
  if (boost::conversion::try_lexical_convert(
        std::string(request[headers::kTimeLeft]), requested) &&
      requested >= 0) {
    auto wait = std::min(milliseconds(requested), kMaxClientWait);
    this->lastResponseAt = this->startedAt + std::min<Duration>(timeout, wait);
    auto longest = wait - this->ResponseReserve(wait);
    this->responseDue = this->startedAt + longest;
    // Other daemons respond at the deadline, and that takes time.
    Duration shortWait = wait / kMaxMarginDivisor;
    timeout = std::min(timeout, longest - std::min(kResponseMargin, shortWait));
    this->clientDeadline = this->startedAt + wait;
    this->RecognizeRetry();
  }
  this->deadline = this->startedAt + timeout;
  this->lastResponseAt += kResponseMargin;
  this->responseDue =
    std::min(this->responseDue, Time(this->deadline + kResponseMargin));
  this->dispatch.service = this->ingress.destinations.Pick(this->route);
  this->dispatch.requestClass = this->route.name;
  this->dispatch.priority = this->route.priority;
  this->dispatch.kind = this->route.kind;
  this->dispatch.sentAhead = this->exchange->sentAhead;
  auto parentIdEnd = this->requestId.find(headers::kCallSeparator);
  this->dispatch.nested =
    parentIdEnd != std::string::npos &&
    this->ingress.executor.IsRunning(this->requestId.substr(0, parentIdEnd));
  const auto* service =
    this->ingress.routes->Config().FindService(this->dispatch.service);
  if (service == nullptr) {
    this->RespondWithError(503, "unknown-service", kConfigurationRetryAfter);
    return false;
  }
  Key value = 0;
  if (service->ownsKeys) {
    if (!boost::conversion::try_lexical_convert(
          std::string(request[headers::kKey]), value) ||
        value > kLastKey) {
      this->RespondWithError(400, "no-key", Duration(0));
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
    if (this->IsHeldBack(range->owner)) {
      aReason = kHeldBackReason;
      return "";
    }
    if (!this->ingress.peers.AllowRequest(BootClock::now(), range->owner)) {
      aReason = "owner-unreachable";
      return "";
    }
    return range->owner;
  }
  std::vector<PeerCandidate> candidates;
  bool anyEvacuated = false;
  for (const auto* other : view.MembersOf(this->dispatch.service)) {
    if (this->ingress.evacuatedZones.count(other->zone) > 0) {
      anyEvacuated = true;
    } else if (other->state == MemberState::Ready) {
      candidates.push_back({ other->id, other->zone });
    }
  }
  auto now = BootClock::now();
  auto chosen = this->PickMember(now, candidates);
  if (!chosen.empty() && !this->ingress.peers.AllowRequest(now, chosen)) {
    aReason = "all-unreachable";
    return "";
  }
  if (chosen.empty()) {
    auto missing = anyEvacuated ? kEvacuatedReason : "no-server";
    aReason = candidates.empty() ? missing : "all-tried";
  }
  return chosen;
}

std::string
IngressRequest::PickMember(Time aNow,
                           const std::vector<PeerCandidate>& aCandidates)
{
  const auto& settings = this->ingress.settings;
  if (settings.transferCost) {
    ZoneCriteria criteria;
    criteria.requestClass = this->dispatch.requestClass;
    criteria.ownZone = settings.zone;
    criteria.target = this->route.targetLatency;
    criteria.transferCost = *settings.transferCost;
    criteria.tried = this->triedMembers;
    return this->ingress.zoneChoice.Choose(
      aNow, aCandidates, criteria, this->ingress.peers);
  }
  PeerCriteria criteria;
  criteria.requestClass = this->dispatch.requestClass;
  criteria.ownZone = settings.zone;
  double preference = this->route.kind == RequestKind::Download
                        ? kDownloadZonePreference
                        : kZonePreference;
  criteria.zonePreference = std::chrono::duration_cast<Duration>(
    this->route.targetLatency * preference);
  criteria.tried = this->triedMembers;
  return this->ingress.peers.Pick(aNow, aCandidates, criteria);
}

bool
IngressRequest::IsHeldBack(const std::string& aOwner)
{
  // Calls hold a slot elsewhere, and a request that was sent before may have
  // cost a server's time.
  if (this->dispatch.nested || this->hops > 0 || aOwner == this->ingress.self) {
    return false;
  }
  auto wanted = this->ingress.peers.ShareToSend(
    BootClock::now(), aOwner, this->dispatch.requestClass);
  if (wanted.share < 1 && this->ingress.RandomFraction() >= wanted.share) {
    this->heldBackFor = wanted.retryAfter;
    return true;
  }
  this->dispatch.weight = 1 / wanted.share;
  return false;
}

void
IngressRequest::Send()
{
  if (this->ended) {
    return;
  }
  if (this->TimeLeft() < kMinTimeLeft) {
    this->GiveUp(FailedAttempt::NotSent(
      this->lastFailure.empty() ? "no-time" : this->lastFailure));
    return;
  }
  std::string reason;
  auto chosen = this->ChooseMember(reason);
  if (!chosen.empty()) {
    this->SendTo(chosen);
    return;
  }
  if (this->key) {
    auto attempt = FailedAttempt::NotSent(reason);
    if (this->heldBackFor > Duration(0)) {
      attempt.retryAfter = this->heldBackFor;
    }
    this->OnAttemptFailed(attempt);
  } else {
    this->GiveUp(FailedAttempt::NotSent(
      this->lastFailure.empty() ? reason : this->lastFailure));
  }
}

void
IngressRequest::SendTo(const std::string& aMember)
{
  auto now = BootClock::now();
  this->currentMember = aMember;
  this->sentAt = now;
  ++this->hops;
  this->dispatch.untilTarget = this->firstSentAt.value_or(this->startedAt) +
                               this->route.targetLatency - now -
                               kResponseTravelTime;
  this->dispatch.untilDeadline = this->deadline - now - kResponseTravelTime;
  if (this->firstSentAt) {
    this->dispatch.sinceFirstAttempt = now - *this->firstSentAt;
  }
  HttpRequest forwarded = this->exchange->request;
  RemoveHopByHopFields(forwarded);
  forwarded.version(11);
  forwarded.keep_alive(true);
  forwarded.erase(headers::kTargetServer);
  // The client may have listed it among the headers of its connection.
  forwarded.set(headers::kRequestId, this->requestId);
  if (forwarded.body().empty()) {
    forwarded.prepare_payload();
  } else {
    // Beast throws an exception for TRACE if it is to prepare a body.
    forwarded.content_length(forwarded.body().size());
  }
  forwarded.erase(kServerNoticeField);
  ++this->attempts;
  this->otherZone.reset();
  this->bodyBytes = forwarded.body().size();
  this->ingress.peers.OnRequestSent(aMember);
  if (aMember != this->ingress.self) {
    this->SendToPeer(this->ingress.view->FindMember(aMember)->record,
                     std::move(forwarded));
    return;
  }
  SetDispatch(forwarded, this->dispatch, this->ingress.settings.service, false);
  this->localExecution = this->ingress.executor.Start(
    std::move(forwarded), this->dispatch, this->shared_from_this());
}

void
IngressRequest::SendToPeer(const MemberRecord& aMember, HttpRequest aRequest)
{
  auto address = ParseEndpoint(aMember.address);
  if (!address) {
    this->EndAttempt();
    this->OnAttemptFailed(FailedAttempt::NotSent("bad-address"));
    return;
  }
  this->currentAddress = aMember.address;
  if (aMember.zone != this->ingress.settings.zone) {
    this->otherZone = aMember.zone;
  }
  this->dispatch.readsCompactReport = true;
  SetDispatch(aRequest,
              this->dispatch,
              this->ingress.settings.service,
              this->ingress.compactMembers.count(aMember.id) > 0);
  // The daemon beside the server states it anew, by the dispatch.
  aRequest.erase(headers::kTimeLeft);
  auto notice =
    this->ingress.serverNotices.Find(this->sentAt, this->currentAddress);
  if (notice) {
    aRequest.set(kServerNoticeField, Encode(*notice));
  }
  if (this->otherZone) {
    auto size = SizeOf(aRequest);
    this->CountZoneTraffic(
      { { ZonePart::RequestHead, size.total - size.daemonFields },
        { ZonePart::RequestBody, aRequest.body().size() },
        { ZonePart::RequestFields, size.daemonFields } });
  }
  CallOptions options;
  options.connectTimeout = kConnectTimeout;
  options.timeout = this->lastResponseAt - BootClock::now();
  options.idleTimeout = kPeerIdleTimeout;
  options.correlationField = headers::kRequestId;
  this->remoteCall = UpstreamCall::Start(this->ingress.pool,
                                         *address,
                                         std::move(aRequest),
                                         options,
                                         this->shared_from_this());
}

void
IngressRequest::RecordSize()
{
  if (this->key) {
    return;
  }
  this->ingress.zoneChoice.OnSize(this->dispatch.requestClass,
                                  kUsualHeadBytes + this->bodyBytes);
  this->ingress.counters.CountZoneChoice(this->dispatch.requestClass,
                                         this->otherZone.has_value());
}

void
IngressRequest::CountZoneTraffic(ZoneTraffic::Parts aParts)
{
  if (!this->otherZone) {
    return;
  }
  auto purpose = ZonePurpose::Request;
  if (this->attempts > 1) {
    purpose = ZonePurpose::Retry;
  } else if (this->dispatch.nested) {
    purpose = ZonePurpose::Call;
  }
  this->ingress.counters.CountZoneTraffic(*this->otherZone, purpose, aParts);
}

void
IngressRequest::CountZoneResponse(const HeadSize& aHead,
                                  uint64_t aBodyBytes,
                                  bool aIsServers)
{
  if (aIsServers) {
    this->CountZoneTraffic(
      { { ZonePart::ResponseHead, aHead.total - aHead.daemonFields },
        { ZonePart::ResponseBody, aBodyBytes },
        { ZonePart::ResponseFields, aHead.daemonFields } });
  } else {
    this->CountZoneTraffic({ { ZonePart::Refusal, aHead.total + aBodyBytes } });
  }
}

void
IngressRequest::EndAttempt()
{
  if (!this->currentMember.empty()) {
    this->ingress.peers.OnRequestEnded(this->currentMember);
  }
  this->remoteCall.reset();
  this->localExecution.reset();
  this->headers.reset();
  this->passingOn = false;
}

void
IngressRequest::CancelAttempt()
{
  if (this->remoteCall != nullptr) {
    this->remoteCall->Cancel();
  }
  if (this->localExecution != nullptr) {
    this->localExecution->Cancel();
  }
  this->EndAttempt();
}

std::optional<ExecutionReport>
IngressRequest::ExtractReport(http::fields& aFields)
{
  auto received = TakeReport(aFields);
  auto notice = TakeServerNotice(aFields, this->ingress.log);
  std::optional<ExecutionReport> report;
  if (received) {
    report = received->report;
    if (received->isCompact && this->remoteCall != nullptr) {
      this->ingress.compactMembers.insert(this->currentMember);
    }
    auto now = BootClock::now();
    this->ingress.peers.OnReport(now,
                                 this->currentMember,
                                 this->dispatch.requestClass,
                                 report->load,
                                 report->expectedTime,
                                 report->untilHeartbeat);
    this->ingress.peers.OnOverhead(now,
                                   this->currentMember,
                                   this->dispatch.requestClass,
                                   now - this->sentAt - report->elapsed);
    this->ingress.peers.OnSendShare(now,
                                    this->currentMember,
                                    this->dispatch.requestClass,
                                    report->sendShare,
                                    report->retryAfter);
    if (this->remoteCall != nullptr) {
      this->ingress.serverNotices.OnResponse(now, this->currentAddress, notice);
    }
  }
  return report;
}

void
IngressRequest::OnCompleteResponse(HttpResponse aResponse)
{
  auto size = this->otherZone ? SizeOf(aResponse) : HeadSize();
  auto report = this->ExtractReport(aResponse);
  this->CountZoneResponse(size,
                          aResponse.body().size(),
                          report &&
                            report->outcome == ExecutionOutcome::Answered);
  this->EndAttempt();
  if (!report) {
    // Not from a daemon's request path, so the outcome is unknown.
    this->OnAttemptFailed(FailedAttempt::OutcomeUnknown("no-note"));
    return;
  }
  if (report->outcome != ExecutionOutcome::Answered) {
    if (report->reason == kStoppingReason) {
      this->ingress.peers.OnFailure(BootClock::now(), this->currentMember);
    }
    this->OnAttemptFailed({ report->reason,
                            report->retryAfter,
                            report->outcome == ExecutionOutcome::Failed,
                            report->reachedServer,
                            report->owner });
    return;
  }
  this->ended = true;
  this->bodyBytes += aResponse.body().size();
  this->RecordSize();
  if (aResponse.result_int() >= kFirstServerError) {
    this->ExpectRetry();
  }
  this->RecordOutcome("answered", std::to_string(aResponse.result_int()));
  RemoveHopByHopFields(aResponse);
  this->AnnotateResponse(aResponse, "answered");
  this->exchange->onClientDisconnect = nullptr;
  this->exchange->Respond(std::move(aResponse));
}

void
IngressRequest::OnHeaders(ResponseHeaders aHeaders)
{
  if (this->otherZone) {
    this->CountZoneResponse(SizeOf(aHeaders.message), 0, true);
  }
  if (!this->ExtractReport(aHeaders.message)) {
    // Not from a daemon's request path, so the outcome is unknown.
    auto self = this->shared_from_this(); // The call keeps it until its end.
    this->CancelAttempt();
    this->OnAttemptFailed(FailedAttempt::OutcomeUnknown("no-note"));
    return;
  }
  RemoveHopByHopFields(aHeaders.message);
  this->AnnotateResponse(aHeaders.message, "answered");
  this->headers = std::move(aHeaders);
}

void
IngressRequest::StartResponse()
{
  if (this->headers) {
    this->exchange->StartResponse(std::move(*this->headers));
    this->headers.reset();
    this->passingOn = true;
  }
}

bool
IngressRequest::HasPassedOn() const
{
  return this->exchange->HasStartedResponse();
}

void
IngressRequest::AnnotateResponse(http::fields& aFields,
                                 const std::string& aOutcome)
{
  if (this->exchange->onResponseHeaders) {
    this->exchange->onResponseHeaders(aFields, aOutcome);
  }
}

void
IngressRequest::OnBodyChunk(asio::const_buffer aChunk,
                            std::function<void()> aNext)
{
  this->bodyBytes += aChunk.size();
  this->CountZoneTraffic({ { ZonePart::ResponseBody, aChunk.size() } });
  this->StartResponse();
  this->exchange->WriteChunk(aChunk, std::move(aNext));
}

void
IngressRequest::OnBodyEnd()
{
  this->StartResponse();
  this->EndAttempt();
  this->ended = true;
  this->RecordSize();
  this->RecordOutcome("answered", "streamed");
  this->exchange->onClientDisconnect = nullptr;
  this->exchange->EndResponse();
}

void
IngressRequest::OnFailure(const CallFailure& aFailure)
{
  if (this->remoteCall != nullptr) {
    this->RecordPeerFailure(aFailure);
  }
  this->EndAttempt();
  if (this->HasPassedOn()) {
    this->ended = true;
    this->ExpectRetry();
    this->RecordOutcome("failed",
                        "answer broke off: " + ToString(aFailure.error));
    this->exchange->Abort();
    return;
  }
  bool brokenOff = aFailure.stage == CallStage::ResponseStarted;
  auto attempt = FailedAttempt::NotSent(
    brokenOff ? kBrokenOffReason : "peer-" + aFailure.error.operation);
  attempt.mayHaveRun = aFailure.stage != CallStage::NotSent;
  this->OnAttemptFailed(attempt);
}

void
IngressRequest::RecordPeerFailure(const CallFailure& aFailure)
{
  if (aFailure.stage == CallStage::ResponseStarted) {
    // The daemon was alive. If it has ended since, the next connection tells.
    return;
  }
  auto now = BootClock::now();
  if (aFailure.connectionRefused) {
    this->ingress.peers.OnFailure(now, this->currentMember);
  } else if (this->TimeLeft() >= kMinTimeLeft) {
    this->ingress.peers.OnUnanswered(now, this->currentMember, this->sentAt);
  }
}

void
IngressRequest::OnAttemptFailed(const FailedAttempt& aAttempt)
{
  this->lastFailure = aAttempt.reason;
  this->exchange->DiscardResponse();
  if (aAttempt.retryAfter > Duration(0)) {
    this->minRetryAfter = std::min(this->minRetryAfter, aAttempt.retryAfter);
  }
  if (!this->RetryIfPossible(aAttempt)) {
    this->GiveUp(aAttempt);
  }
}

bool
IngressRequest::RetryIfPossible(const FailedAttempt& aAttempt)
{
  if (this->TimeLeft() < kMinTimeLeft) {
    return false;
  }
  if (aAttempt.mayHaveRun || aAttempt.reachedServer) {
    return this->RetryWithinBudget(aAttempt);
  }
  if (this->key) {
    if (!aAttempt.owner.empty() && this->hops < kMaxOwnerHops &&
        this->ingress.view->FindMember(aAttempt.owner) != nullptr) {
      this->SendTo(aAttempt.owner);
      return true;
    }
    if (!IsOwnershipChange(aAttempt.reason) || this->hops >= kMaxOwnerHops) {
      return false;
    }
    ++this->hops;
    this->SendAfter(kOwnerRetryDelay);
    return true;
  }
  this->triedMembers.insert(this->currentMember);
  if (this->hops >= kMaxHops) {
    return false;
  }
  this->Send();
  return true;
}

bool
IngressRequest::RetryWithinBudget(const FailedAttempt& aAttempt)
{
  ++this->serverAttempts;
  this->mayHaveRun = this->mayHaveRun || aAttempt.mayHaveRun;
  bool safeToRepeat =
    !aAttempt.mayHaveRun || this->route.kind != RequestKind::NonIdempotent;
  if (!safeToRepeat || this->serverAttempts >= this->route.attempts ||
      !this->ingress.RetryBudgetFor(this->dispatch.service).TryAcquireRetry()) {
    return false;
  }
  if (this->key) {
    this->SendAfter(kSameServerRetryDelay);
  } else {
    this->triedMembers.insert(this->currentMember);
    this->Send();
  }
  return true;
}

void
IngressRequest::SendAfter(Duration aDelay)
{
  this->timer.expires_after(aDelay);
  this->timer.async_wait(
    [self = this->shared_from_this()](boost::system::error_code aError) {
      if (!aError) {
        self->Send();
      }
    });
}

void
IngressRequest::OnClientDisconnected(ConnectionEnd aEnd)
{
  if (this->ended) {
    return;
  }
  this->ended = true;
  this->timer.cancel();
  auto self = this->shared_from_this();
  this->RecordUnansweredAttempt();
  this->CancelAttempt();
  this->ExpectRetry();
  this->RecordOutcome("cancelled", ToString(aEnd));
}

void
IngressRequest::GiveUp(const FailedAttempt& aAttempt)
{
  auto retryAfter = this->minRetryAfter == Duration::max()
                      ? kOwnerRetryAfter
                      : this->minRetryAfter;
  if (!aAttempt.mayHaveRun && !this->mayHaveRun) {
    this->RespondWithError(503, aAttempt.reason, retryAfter);
    return;
  }
  bool outOfTime = this->TimeLeft() < kMinTimeLeft;
  this->RespondWithError(outOfTime ? 504 : 502, aAttempt.reason, Duration(0));
}

void
IngressRequest::RespondWithError(unsigned aStatus,
                                 const std::string& aReason,
                                 Duration aRetryAfter)
{
  this->ended = true;
  this->timer.cancel();
  this->retryDueAt = Time();
  if (aStatus == 503 && this->clientDeadline) {
    auto now = BootClock::now();
    auto wait = std::min(
      aRetryAfter, Duration(*this->clientDeadline - now) / kMaxWaitDivisor);
    this->retryDueAt =
      now + std::chrono::duration_cast<Duration>(wait * (1 - kEarlyTolerance));
  }
  this->ExpectRetry();
  std::string outcome = IsRefusalStatus(aStatus) ? "refused" : "failed";
  this->RecordOutcome(outcome, aReason);
  auto response = TextResponse(aStatus, aReason + "\n");
  this->AnnotateResponse(response, outcome);
  if (!this->requestId.empty()) {
    response.set(headers::kRequestId, this->requestId);
  }
  if (aStatus == 503) {
    char seconds[32];
    std::snprintf(seconds,
                  sizeof(seconds),
                  "%.3f",
                  static_cast<double>(aRetryAfter.count()) / 1e9);
    response.set(headers::kRetryAfter, seconds);
  }
  this->exchange->onClientDisconnect = nullptr;
  this->exchange->Respond(std::move(response));
}

void
IngressRequest::RecordOutcome(const std::string& aOutcome,
                              const std::string& aReason)
{
  auto now = BootClock::now();
  this->ingress.counters.CountRequest(this->dispatch.requestClass,
                                      aOutcome,
                                      aOutcome == "answered" ? "" : aReason,
                                      now - this->startedAt);
  if (this->firstSentAt) {
    this->ingress.counters.CountClientRetry(this->dispatch.requestClass,
                                            aOutcome);
  }
  this->ingress.log.Write(
    aOutcome == "answered" ? EventPriority::Routine : EventPriority::Notable,
    [&] { return this->MakeLogEvent(now, aOutcome, aReason); });
}

/** The log event for a request that has ended. */
Event
IngressRequest::MakeLogEvent(Time aNow,
                             const std::string& aOutcome,
                             const std::string& aReason) const
{
  const auto* routes = this->ingress.routes.get();
  const auto* peer = this->ingress.view->FindMember(this->currentMember);
  return {
    "request",
    { { "request", this->requestId },
      { "class", this->dispatch.requestClass },
      { "outcome", aOutcome },
      { "reason", aReason },
      { "last_setback", this->lastFailure },
      { "service", this->dispatch.service },
      { "peer", this->currentMember },
      { "peer_address", peer == nullptr ? "" : peer->record.address },
      { "key", this->key ? std::to_string(*this->key) : "" },
      { "hops", std::to_string(this->hops) },
      { "taken_ms", std::to_string(ToMilliseconds(aNow - this->startedAt)) },
      { "time_left_ms", std::to_string(ToMilliseconds(this->deadline - aNow)) },
      { "since_first_attempt_ms",
        this->firstSentAt
          ? std::to_string(ToMilliseconds(aNow - *this->firstSentAt))
          : "" },
      { "configuration",
        routes == nullptr ? "" : std::to_string(routes->Config().version) },
      { "cluster", std::to_string(this->ingress.view->Version()) } }
  };
}

} // namespace fescuetiller
