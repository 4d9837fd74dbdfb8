#include "fescuetillerd/executor.h"

#include <algorithm>
#include <cmath>
#include <random>

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include "fescuetillerd/execution.h"
#include "fescuetillerd/statuscheck.h"
#include "platform/platform.h"

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Interval between checks for waiting requests that cannot end before their
 * deadlines. */
constexpr Duration kExpiryInterval = milliseconds(20);
/** Half-life of the recorded work of a key, so that a few seconds of traffic
 * decide a move. */
constexpr Duration kKeyHalfLife = milliseconds(1000);
/** No request is sent within this time before a grant expires: it covers the
 * transmission to the server and the start of the request there. */
constexpr Duration kSendMargin = milliseconds(30);
/** Longest time for which a process gets no processor once its share is used
 * up: a period of the scheduler. */
constexpr Duration kMaxStall = milliseconds(100);
/** The same before a drain ends. A server refuses a request for a key whose
 * grant has expired, but not one that arrives after its drain time, so a stall
 * after the last check is covered as well. */
constexpr Duration kDrainMargin = kSendMargin + kMaxStall;
/** Requests stop waiting for the grant of a heartbeat that is later than this.
 */
constexpr Duration kMaxHeartbeatDelay = milliseconds(300);
/** Time before a retry if no better estimate is known. */
constexpr Duration kDefaultRetryAfter = milliseconds(250);
/** Expected service time of a class before any of its requests has run. */
constexpr Duration kDefaultServiceTime = milliseconds(50);

/** How long a request that was broken off may be one under which its server
 * ended. A server that lives shows it earlier, by the next response. */
constexpr Duration kMaxCrashDetectionTime = std::chrono::seconds(30);
constexpr size_t kMaxBrokenOff = 1000;

/** Formats a request limit for the log. */
std::string
FormatLimit(const std::optional<double>& aLimit)
{
  return aLimit ? std::to_string(*aLimit) : "none";
}

} // namespace

Executor::Executor(asio::io_context& aContext,
                   Tcp::endpoint aServer,
                   std::string aService,
                   EventLog& aLog)
  : context(aContext)
  , server(std::move(aServer))
  , service(std::move(aService))
  , log(aLog)
  , pool(aContext)
  , queue([this](const SlotRequest& aRequest) {
    return this->CanStart(aRequest.id);
  })
  , keyLoad(kKeyHalfLife)
  , crashes(std::random_device()())
  , expiryTimer(aContext)
{
  this->queue.Cold().SetCountedSince(BootClock::now());
  this->pool.onUnexpectedData = [this](const UnexpectedData& aData) {
    if (this->onUnexpectedData) {
      this->onUnexpectedData(aData);
    }
  };
}

void
Executor::SetServing(const ServingState& aServing)
{
  if (aServing.server != this->serving.server) {
    this->queue.ResetServer();
    this->leavingSince.reset();
    this->malformedHeaders.clear();
  }
  this->serving = aServing;
  this->queue.SetSlots(aServing.slots);
  this->queue.Cold().OnHeartbeat(aServing.heardAt, aServing.coldUntil);
  this->UpdateColdState(BootClock::now());
  this->UpdateSlotCapacity();
  this->RecordCrashes();
  this->RefuseMovedRequests();
  this->RefuseIfStopped(BootClock::now());
  this->StartEligibleRequests();
}

void
Executor::SetColdPolicy(const ColdPolicy& aPolicy)
{
  this->coldPolicy = aPolicy;
  this->queue.Cold().SetRate(aPolicy.perSecond, aPolicy.factor, aPolicy.margin);
  this->UpdateColdState(BootClock::now());
}

void
Executor::UpdateColdState(Time aNow)
{
  const auto& cold = this->queue.Cold();
  if (cold.IsCold(aNow) == this->isCold || this->serving.server.id.empty()) {
    return;
  }
  this->isCold = !this->isCold;
  if (!this->isCold) {
    this->log.Write({ "server-warm",
                      { { "server", this->serving.server.id },
                        { "refused", std::to_string(this->coldRefusals) } } });
    return;
  }
  // Without an end, the next heartbeat decides.
  auto until = cold.ColdUntil();
  this->log.Write(
    { "server-cold",
      { { "server", this->serving.server.id },
        { "for_ms",
          until == Time::max() ? ""
                               : std::to_string(ToMilliseconds(until - aNow)) },
        { "per_second", FormatLimit(cold.PerSecond(aNow)) },
        { "sent_last_second",
          std::to_string(cold.SentSince(aNow - std::chrono::seconds(1))) } } });
}

void
Executor::CheckStatus(Time aNow)
{
  const auto& path = this->coldPolicy.healthPath;
  if (path.empty() || this->IsServerLeaving() ||
      !this->ReasonNotToSend(aNow, std::nullopt).empty() ||
      !this->statusSchedule.IsDue(
        aNow, this->queue.Cold(), this->coldPolicy.heartbeat) ||
      !this->queue.StartStatusCheck(aNow, this->nextId)) {
    return;
  }
  auto id = this->nextId++;
  this->statusSchedule.OnSent(aNow);
  ++this->statusChecks;
  auto check = std::make_shared<StatusCheck>();
  auto asked = this->serving.server;
  auto sentAt = std::make_shared<Time>(aNow);
  check->beforeSend = [this, id, asked, sentAt] {
    auto now = BootClock::now();
    if (asked != this->serving.server ||
        !this->ReasonNotToSend(now, std::nullopt).empty() ||
        !this->queue.Cold().MaySend(now)) {
      return false;
    }
    *sentAt = now;
    this->queue.Cold().OnSent(now, id);
    return true;
  };
  check->onEnd = [this, id, asked, sentAt](const HttpResponse* aResponse) {
    this->OnStatusResponse(id, asked, *sentAt, aResponse);
  };
  check->Start(
    this->pool, this->server, path, asked.id, "status-" + std::to_string(id));
}

void
Executor::OnStatusResponse(uint64_t aId,
                           const ServerIncarnation& aServer,
                           Time aSentAt,
                           const HttpResponse* aResponse)
{
  constexpr unsigned kMisdirected = 421;
  auto now = BootClock::now();
  // Without a response, the next one may tell.
  bool useful = true;
  if (aResponse != nullptr && aResponse->result_int() == kMisdirected) {
    this->queue.Cold().OnMisdirected(aId);
  } else if (aResponse != nullptr && aServer == this->serving.server) {
    this->OnStatedLoad(aId, aServer, *aResponse);
    useful = this->ReadColdTime(aSentAt, *aResponse);
  }
  this->statusSchedule.OnEnded(now, useful);
  this->queue.OnFinished(now, aId, false);
  this->StartEligibleRequests();
}

bool
Executor::ReadColdTime(Time aSentAt, const http::fields& aHeaders)
{
  auto time = ParseColdTime(std::string(aHeaders[headers::kColdTime]),
                            this->serving.server.id);
  if (!time) {
    this->LogMalformed(time.error());
    return false;
  }
  if (*time) {
    this->queue.Cold().OnResponse(aSentAt, BootClock::now(), **time);
  }
  return time->has_value();
}

void
Executor::OnStatedLoad(uint64_t aId,
                       const ServerIncarnation& aServer,
                       const http::fields& aHeaders)
{
  if (aServer != this->serving.server) {
    return;
  }
  auto load =
    ParseServerLoad(std::string(aHeaders[headers::kLoad]), aServer.id);
  if (!load) {
    this->LogMalformed(load.error());
  } else if (*load) {
    this->queue.OnStatedLoad(BootClock::now(), aId, **load);
  }
}

void
Executor::LogMalformed(const Error& aError)
{
  if (this->malformedHeaders.insert(aError.operation).second) {
    this->log.Write(
      { "server-header-refused", { { "reason", ToString(aError) } } });
  }
}

void
Executor::OnConnectionRefused()
{
  this->queue.Cold().OnRestart(BootClock::now());
  if (this->onServerConnectionRefused) {
    this->onServerConnectionRefused();
  }
}

void
Executor::UpdateSlotCapacity()
{
  auto now = BootClock::now();
  bool mayRun = this->ReasonNotToSend(now, std::nullopt).empty();
  const auto& ranges = this->serving.ranges;
  bool hasKeys =
    !this->serving.ownsKeys ||
    std::any_of(ranges.begin(), ranges.end(), [&](const auto& aRange) {
      return now + kSendMargin < aRange.grantedUntil;
    });
  this->slotUsage.SetCapacity(now, mayRun ? this->serving.slots : 0, hasKeys);
}

bool
Executor::IsServerLeaving() const
{
  return this->serving.draining || this->leavingSince;
}

Time
Executor::SendUntil() const
{
  return this->DrainEnd() - kDrainMargin;
}

Time
Executor::DrainEnd() const
{
  return this->leavingSince
           ? std::min(this->serving.sendUntil,
                      Time(*this->leavingSince + this->serving.drainTime))
           : this->serving.sendUntil;
}

void
Executor::AnnounceLeaving(const ServerIncarnation& aServer, Time aSince)
{
  if (aServer != this->serving.server || this->leavingSince) {
    return;
  }
  this->leavingSince = aSince;
  if (this->onServerLeaving) {
    this->onServerLeaving(aServer, aSince);
  }
}

void
Executor::OnServerNotice(const ServerNotice& aNotice)
{
  if (aNotice.server != this->serving.server) {
    return;
  }
  auto now = BootClock::now();
  if (aNotice.requestLimit) {
    this->queue.Limit().OnReported(now, *aNotice.requestLimit);
  }
  if (aNotice.leavingFor) {
    this->AnnounceLeaving(aNotice.server, now - *aNotice.leavingFor);
  }
}

void
Executor::OnRequestLimit(const ServerIncarnation& aServer,
                         Time aSentAt,
                         std::optional<double> aLimit)
{
  auto& limit = this->queue.Limit();
  auto before = limit.PerSecond();
  if (aServer != this->serving.server ||
      !limit.OnResponse(BootClock::now(), aSentAt, aLimit)) {
    return;
  }
  this->log.Write({ "server-limit-changed",
                    { { "server", aServer.id },
                      { "before", FormatLimit(before) },
                      { "per_second", FormatLimit(aLimit) } } });
}

void
Executor::OnBrokenOff(RequestFingerprint aFingerprint,
                      const ServerIncarnation& aServer)
{
  bool planned = aServer == this->serving.server && this->IsServerLeaving();
  if (!planned && this->brokenOff.size() < kMaxBrokenOff) {
    this->brokenOff.push_back({ aFingerprint, aServer, BootClock::now() });
    this->RecordCrashes();
  }
}

void
Executor::OnSignOfLife(const ServerIncarnation& aServer, Time aSentAt)
{
  auto isAlive = [&](const BrokenOff& aBroken) {
    return aBroken.server == aServer && aBroken.at < aSentAt;
  };
  this->brokenOff.erase(
    std::remove_if(this->brokenOff.begin(), this->brokenOff.end(), isAlive),
    this->brokenOff.end());
}

void
Executor::OnAnswered(RequestFingerprint aFingerprint, unsigned aStatus)
{
  constexpr unsigned kFirstRedirect = 300;
  if (aStatus >= kFirstRedirect) {
    return;
  }
  auto news = this->crashes.OnSuccess(BootClock::now(), aFingerprint);
  if (news && this->onCrashNews) {
    this->onCrashNews({ *news });
  }
}

void
Executor::RecordCrashes()
{
  auto now = BootClock::now();
  CrashRecords::Records news;
  std::vector<BrokenOff> undecided;
  for (const auto& broken : this->brokenOff) {
    bool ended =
      broken.server != this->serving.server || !this->serving.available;
    if (!ended && now - broken.at < kMaxCrashDetectionTime) {
      undecided.push_back(broken);
    }
    if (!ended) {
      continue;
    }
    auto record = this->crashes.OnCrash(
      now,
      broken.fingerprint,
      StableHash(broken.server.id,
                 static_cast<uint64_t>(broken.server.startedAt)));
    if (record) {
      news.push_back(*record);
      this->log.Write(
        { "server-ended-under-request",
          { { "server", broken.server.id },
            { "fingerprint", ToHex(broken.fingerprint) },
            { "servers", std::to_string(record->servers.size()) } } });
    }
  }
  this->brokenOff = std::move(undecided);
  this->LogBlocked(news);
  if (!news.empty() && this->onCrashNews) {
    this->onCrashNews(std::move(news));
  }
}

void
Executor::LogBlocked(const CrashRecords::Records& aNews)
{
  auto now = BootClock::now();
  for (const auto& record : aNews) {
    if (auto blocked = this->crashes.BlockedFor(now, record.fingerprint)) {
      this->log.Write(
        { "request-blocked",
          { { "fingerprint", ToHex(record.fingerprint) },
            { "servers", std::to_string(record.servers.size()) },
            { "for_ms", std::to_string(ToMilliseconds(*blocked)) } } });
    }
  }
}

void
Executor::OnCrashRecords(const CrashRecords::Records& aRecords)
{
  auto news = this->crashes.Merge(BootClock::now(), aRecords);
  this->LogBlocked(news);
  if (!news.empty() && this->onCrashNews) {
    this->onCrashNews(std::move(news));
  }
}

CrashRecords&
Executor::Crashes()
{
  return this->crashes;
}

std::optional<double>
Executor::RequestsPerSecond()
{
  return this->queue.Limit().PerSecond();
}

void
Executor::RefuseMovedRequests()
{
  std::vector<std::shared_ptr<Execution>> moved;
  for (const auto& [id, execution] : this->executions) {
    if (execution->key && this->FindServedRange(*execution->key) == nullptr &&
        this->queue.Cancel(id)) {
      moved.push_back(execution);
    }
  }
  for (const auto& execution : moved) {
    execution->Refuse(this->ReasonNotServed(*execution->key),
                      kDefaultRetryAfter);
  }
}

const ServedRange*
Executor::FindServedRange(Key aKey) const
{
  for (const auto& range : this->serving.ranges) {
    if (range.range.Contains(aKey)) {
      return &range;
    }
  }
  return nullptr;
}

MemberId
Executor::FindNewOwner(Key aKey) const
{
  const auto& moved = this->serving.movedKeys;
  for (auto move = moved.rbegin(); move != moved.rend(); ++move) {
    if (move->range.Contains(aKey)) {
      return move->target;
    }
  }
  return "";
}

std::string
Executor::ReasonNotServed(Key aKey) const
{
  return this->FindNewOwner(aKey).empty() ? "not-owner" : "moved";
}

bool
Executor::CanStart(uint64_t aId) const
{
  auto found = this->executions.find(aId);
  return found != this->executions.end() &&
         this->ReasonNotToSend(BootClock::now(), found->second->key).empty();
}

std::string
Executor::ReasonNotToSend(Time aNow, const std::optional<Key>& aKey) const
{
  if (!this->serving.available) {
    return "server-down";
  }
  if (aNow > this->SendUntil()) {
    return "draining";
  }
  if (aNow > this->serving.evacuatedFrom - kDrainMargin) {
    return this->serving.knowsEvacuations ? kEvacuatedReason
                                          : kOrdersUnknownReason;
  }
  if (!aKey) {
    return "";
  }
  const auto* range = this->FindServedRange(*aKey);
  if (range == nullptr) {
    return this->ReasonNotServed(*aKey);
  }
  return aNow + kSendMargin < range->grantedUntil ? "" : "no-grant";
}

std::string
Executor::CheckAdmission(const Dispatch& aDispatch,
                         const HttpRequest& aRequest,
                         Time aNow,
                         SlotRequest& aSlot,
                         std::optional<Key>& aKey)
{
  if (aDispatch.service != this->service) {
    return "wrong-service";
  }
  if (this->serving.server.id.empty()) {
    return "server-down";
  }
  auto stopped = this->ReasonNotToSend(aNow, std::nullopt);
  if (!stopped.empty()) {
    return stopped;
  }
  aSlot.notBefore = aNow;
  if (!this->serving.ownsKeys) {
    return this->IsServerLeaving() ? "draining" : "";
  }
  Key key = 0;
  if (!boost::conversion::try_lexical_convert(
        std::string(aRequest[headers::kKey]), key) ||
      key > kLastKey) {
    return "no-key";
  }
  aKey = key;
  if (this->serving.member.empty()) {
    return "not-member";
  }
  const auto* range = this->FindServedRange(key);
  if (range == nullptr) {
    return this->ReasonNotServed(key);
  }
  if (range->grantedUntil <= aNow + kSendMargin) {
    if (this->serving.leaseUntil < this->serving.nextHeartbeat + kSendMargin ||
        aNow > this->serving.nextHeartbeat + kMaxHeartbeatDelay) {
      return "no-grant";
    }
    aSlot.notBefore = std::max(aNow, this->serving.nextHeartbeat);
  }
  return "";
}

std::shared_ptr<Cancellable>
Executor::Start(HttpRequest aRequest,
                const Dispatch& aDispatch,
                std::shared_ptr<ExecutionReceiver> aReceiver,
                const std::optional<LinkEstimate>& aLink)
{
  auto now = BootClock::now();
  SlotRequest slot;
  slot.id = this->nextId++;
  slot.requestClass = aDispatch.requestClass;
  slot.priority = aDispatch.priority;
  slot.nested = aDispatch.nested;
  slot.sentAhead = aDispatch.sentAhead && !aDispatch.nested;
  slot.arrivedAt = now;
  slot.sinceFirstAttempt = aDispatch.sinceFirstAttempt;
  slot.weight = aDispatch.weight;
  slot.mayRunElsewhere = !this->serving.ownsKeys;
  slot.targetTime = now + aDispatch.untilTarget;
  slot.deadline = now + aDispatch.untilDeadline;
  if (aLink) {
    slot.linkFreeAt = now + aLink->untilFree;
    slot.transmission = aLink->transmission;
  }
  std::optional<Key> key;
  auto refusal = this->CheckAdmission(aDispatch, aRequest, now, slot, key);
  auto execution = std::make_shared<Execution>(
    *this, slot.id, std::move(aRequest), aDispatch, std::move(aReceiver));
  execution->key = key;
  execution->deadline = slot.deadline;
  execution->usesLink = aLink.has_value();
  this->executions[slot.id] = execution;
  // Posted, so that the receiver is not called before Start has returned.
  asio::post(this->context, [this, execution, slot, refusal, now] {
    if (this->executions.count(slot.id) == 0) {
      return;
    }
    if (!refusal.empty()) {
      execution->Refuse(refusal, kDefaultRetryAfter);
      return;
    }
    if (auto blocked = this->crashes.BlockedFor(now, execution->fingerprint)) {
      execution->Refuse(kBlockedReason, *blocked);
      return;
    }
    if (execution->key) {
      auto serviceTime = this->queue.Times().Estimate(
        slot.requestClass, Duration(kDefaultServiceTime));
      this->keyLoad.Add(now,
                        *execution->key,
                        static_cast<double>(serviceTime.count()) / 1e9 *
                          slot.weight);
    }
    for (const auto& refused : this->queue.Offer(now, slot)) {
      this->Refuse(refused);
    }
    this->StartEligibleRequests();
  });
  return execution;
}

void
Executor::Refuse(const SlotRefusal& aRefusal)
{
  auto found = this->executions.find(aRefusal.id);
  if (found != this->executions.end()) {
    auto execution = found->second;
    execution->expectedWait = aRefusal.expectedWait;
    execution->Refuse(aRefusal.reason, aRefusal.retryAfter);
  }
}

bool
Executor::RefuseIfBlocked(Time aNow,
                          const std::shared_ptr<Execution>& aExecution)
{
  auto verdict = this->crashes.Admit(aNow, aExecution->fingerprint);
  if (!verdict.mayRun) {
    aExecution->Refuse(kBlockedReason, verdict.blockedFor);
  } else if (verdict.news) {
    this->log.Write({ "blocked-request-tried",
                      { { "request", aExecution->requestId },
                        { "fingerprint", ToHex(aExecution->fingerprint) } } });
    if (this->onCrashNews) {
      this->onCrashNews({ *verdict.news });
    }
  }
  return !verdict.mayRun;
}

void
Executor::StartEligibleRequests()
{
  auto now = BootClock::now();
  this->UpdateColdState(now);
  this->CheckStatus(now);
  for (auto id : this->queue.Start(now)) {
    auto found = this->executions.find(id);
    if (found != this->executions.end() &&
        !this->RefuseIfBlocked(now, found->second)) {
      found->second->Run(now);
    }
  }
  this->ArmExpiryTimer();
}

void
Executor::ArmExpiryTimer()
{
  if (this->expiryTimerArmed || this->queue.WaitingCount() == 0) {
    return;
  }
  this->expiryTimerArmed = true;
  this->expiryTimer.expires_after(kExpiryInterval);
  this->expiryTimer.async_wait([this](boost::system::error_code aError) {
    this->expiryTimerArmed = false;
    if (aError) {
      return;
    }
    auto now = BootClock::now();
    for (const auto& refusal : this->queue.Expire(now)) {
      this->Refuse(refusal);
    }
    this->RefuseIfStopped(now);
    this->StartEligibleRequests();
  });
}

void
Executor::RefuseIfStopped(Time aNow)
{
  auto stopped = this->ReasonNotToSend(aNow, std::nullopt);
  if (stopped.empty()) {
    return;
  }
  for (const auto& refusal : this->queue.RefuseAll(aNow, stopped)) {
    this->Refuse(refusal);
  }
}

ExecutionReport
Executor::MakeStateReport(ExecutionOutcome aOutcome,
                          const std::string& aReason,
                          Duration aRetryAfter) const
{
  auto now = BootClock::now();
  ExecutionReport report;
  report.outcome = aOutcome;
  report.reason = aReason;
  report.retryAfter = aRetryAfter;
  auto unusable = this->queue.UnusableShare(now);
  report.load = this->queue.OfferedLoad(now) * (1 - unusable) + unusable;
  report.untilHeartbeat = this->serving.nextHeartbeat - now;
  return report;
}

ExecutionReport
Executor::MakeReport(ExecutionOutcome aOutcome,
                     const Execution& aExecution,
                     const std::string& aReason,
                     Duration aRetryAfter) const
{
  auto now = BootClock::now();
  auto report = this->MakeStateReport(aOutcome, aReason, aRetryAfter);
  report.expectedTime =
    this->queue.ExpectedLatency(now, aExecution.dispatch.requestClass);
  if (aExecution.usesLink && this->estimateLink) {
    auto link = this->estimateLink(aExecution.dispatch.requestClass);
    report.expectedTime =
      std::max(report.expectedTime, link.untilFree) + link.transmission;
  }
  report.elapsed = now - aExecution.arrivedAt;
  if (aExecution.key && !aExecution.dispatch.nested) {
    report.sendShare =
      this->queue.ShareToSend(now, aExecution.dispatch.requestClass);
  }
  return report;
}

HttpResponse
Executor::MakeFinalResponse()
{
  auto response = TextResponse(503, "stopping\n");
  this->SetRefusalReport(response, kStoppingReason);
  return response;
}

void
Executor::SetRefusalReport(http::fields& aFields, const std::string& aReason)
{
  // Releases that do not know the compact encoding may receive it.
  this->AddState(aFields,
                 this->MakeStateReport(
                   ExecutionOutcome::Refused, aReason, kDefaultRetryAfter),
                 false);
}

void
Executor::AddState(http::fields& aFields,
                   const ExecutionReport& aReport,
                   bool aCompact)
{
  SetReport(aFields, aReport, aCompact);
  aFields.erase(kServerNoticeField);
  ServerNotice notice;
  notice.server = this->serving.server;
  notice.requestLimit = this->queue.Limit().PerSecond();
  if (this->IsServerLeaving()) {
    auto since = this->DrainEnd() - this->serving.drainTime;
    notice.leavingFor = std::max(BootClock::now() - since, Duration(0));
  }
  if (notice.requestLimit || notice.leavingFor) {
    aFields.set(kServerNoticeField, Encode(notice));
  }
}

bool
Executor::IsRunning(const std::string& aRequestId) const
{
  return this->runningIds.count(aRequestId) > 0;
}

double
Executor::OfferedLoad()
{
  return this->queue.OfferedLoad(BootClock::now());
}

double
Executor::UnusableShare() const
{
  return this->queue.UnusableShare(BootClock::now());
}

bool
Executor::IsServerCold() const
{
  return this->queue.Cold().IsCold(BootClock::now());
}

uint64_t
Executor::ColdRefusals() const
{
  return this->coldRefusals;
}

uint64_t
Executor::StatusChecks() const
{
  return this->statusChecks;
}

size_t
Executor::OtherWork() const
{
  return this->queue.Stated().OtherWork(BootClock::now());
}

double
Executor::Slowness() const
{
  return this->queue.Stated().Slowness(BootClock::now());
}

std::vector<KeyWeight>
Executor::KeyWeights()
{
  auto weights = this->keyLoad.Snapshot(BootClock::now());
  // At a constant rate of work, the decaying sum is the rate times the
  // half-life divided by ln 2.
  double window =
    static_cast<double>(kKeyHalfLife.count()) / 1e9 / std::log(2.0);
  for (auto& weight : weights) {
    weight.weight /= window * std::max<uint32_t>(1, this->serving.slots);
  }
  return weights;
}

SlotTimes
Executor::SlotTotals() const
{
  return this->slotUsage.Totals(BootClock::now());
}

uint64_t
Executor::EvacuationRefusals() const
{
  return this->evacuationRefusals;
}

size_t
Executor::RunningCount() const
{
  return this->runningIds.size();
}

bool
Executor::IsIdle() const
{
  return this->executions.empty();
}

bool
Executor::HasRequestsFrom(Time aBefore) const
{
  // In the order of their arrival.
  return !this->executions.empty() &&
         this->executions.begin()->second->arrivedAt < aBefore;
}

uint64_t
Executor::ConnectionsOpened() const
{
  return this->pool.opened;
}

void
Executor::RunPeriodicTasks(Time aNow)
{
  this->UpdateColdState(aNow);
  this->pool.CloseExpired(aNow);
}

} // namespace fescuetiller
