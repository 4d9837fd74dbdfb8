#include "fescuetillerd/executor.h"

#include <algorithm>
#include <cmath>

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include "fescuetillerd/execution.h"
#include "platform/headers.h"

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Between looks at waiting requests that may have run out of time. */
constexpr Duration kTickInterval = milliseconds(20);
/** Half-life of the work of a key: a few seconds of traffic decide a move. */
constexpr Duration kKeyHalfLife = milliseconds(1000);
/** Time before a grant's end or the end of a drain within which nothing is
 * sent any more: the way to the server and its start. */
constexpr Duration kSendMargin = milliseconds(30);
/** Delay of a heartbeat from which on it is not expected any more. */
constexpr Duration kHeartbeatDelay = milliseconds(300);
/** When to come back while nothing better is known. */
constexpr Duration kDefaultRetry = milliseconds(250);
/** Expected time of a class before one has run. */
constexpr Duration kUnknownTime = milliseconds(50);

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
    return this->MayStart(aRequest.id);
  })
  , keyLoad(kKeyHalfLife)
  , tick(aContext)
{
}

void
Executor::SetServing(const ServingState& aServing)
{
  if (aServing.serverId != this->serving.serverId) {
    this->queue.Times().Forget();
  }
  this->serving = aServing;
  this->queue.SetSlots(aServing.slots);
  this->RefuseMovedKeys();
  this->Pump();
}

/** Sends waiting requests back whose keys belong to another member by now. */
void
Executor::RefuseMovedKeys()
{
  std::vector<std::shared_ptr<Execution>> moved;
  for (const auto& [id, execution] : this->executions) {
    if (execution->key && this->FindRange(*execution->key) == nullptr &&
        this->queue.Cancel(id)) {
      moved.push_back(execution);
    }
  }
  for (const auto& execution : moved) {
    execution->Refuse(this->MovedTo(*execution->key).empty() ? "not-owner"
                                                             : "moved",
                      kDefaultRetry);
  }
}

const ServedRange*
Executor::FindRange(Key aKey) const
{
  for (const auto& range : this->serving.ranges) {
    if (range.range.Contains(aKey)) {
      return &range;
    }
  }
  return nullptr;
}

/** Member that the key went to lately; empty: unknown. */
MemberId
Executor::MovedTo(Key aKey) const
{
  const auto& moved = this->serving.moved;
  for (auto move = moved.rbegin(); move != moved.rend(); ++move) {
    if (move->range.Contains(aKey)) {
      return move->target;
    }
  }
  return "";
}

bool
Executor::MayStart(uint64_t aId) const
{
  auto found = this->executions.find(aId);
  if (found == this->executions.end()) {
    return false;
  }
  auto now = BootClock::now();
  if (!this->serving.usable || now + kSendMargin > this->serving.sendUntil) {
    return false;
  }
  const auto& key = found->second->key;
  if (!key) {
    return true;
  }
  const auto* range = this->FindRange(*key);
  return range != nullptr && now + kSendMargin < range->grantedUntil;
}

std::string
Executor::Gate(const Dispatch& aDispatch,
               const HttpRequest& aRequest,
               Time aNow,
               SlotRequest& aSlot,
               std::optional<Key>& aKey)
{
  if (aDispatch.service != this->service) {
    return "wrong-service";
  }
  if (this->serving.serverId.empty() || !this->serving.usable) {
    return "server-down";
  }
  if (aNow + kSendMargin > this->serving.sendUntil) {
    return "draining";
  }
  aSlot.notBefore = aNow;
  if (!this->serving.ownsKeys) {
    return this->serving.leaving ? "draining" : "";
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
  const auto* range = this->FindRange(key);
  if (range == nullptr) {
    return this->MovedTo(key).empty() ? "not-owner" : "moved";
  }
  if (range->grantedUntil <= aNow + kSendMargin) {
    if (this->serving.leaseUntil < this->serving.nextHeartbeat + kSendMargin ||
        aNow > this->serving.nextHeartbeat + kHeartbeatDelay) {
      return "no-grant";
    }
    aSlot.notBefore = std::max(aNow, this->serving.nextHeartbeat);
  }
  return "";
}

std::shared_ptr<Cancellable>
Executor::Start(HttpRequest aRequest,
                const Dispatch& aDispatch,
                std::shared_ptr<ResponseReceiver> aReceiver)
{
  auto now = BootClock::now();
  SlotRequest slot;
  slot.id = this->nextId++;
  slot.requestClass = aDispatch.requestClass;
  slot.priority = aDispatch.priority;
  slot.nested = aDispatch.nested;
  slot.arrivedAt = now;
  slot.wantedBy = now + aDispatch.untilTarget;
  slot.deadline = now + aDispatch.untilDeadline;
  std::optional<Key> key;
  auto refusal = this->Gate(aDispatch, aRequest, now, slot, key);
  auto execution = std::make_shared<Execution>(
    *this, slot.id, std::move(aRequest), aDispatch, std::move(aReceiver));
  execution->key = key;
  execution->deadline = slot.deadline;
  this->executions[slot.id] = execution;
  // Posted, so that the receiver hears nothing before Start has returned.
  asio::post(this->context, [this, execution, slot, refusal, now] {
    if (this->executions.count(slot.id) == 0) {
      return;
    }
    if (!refusal.empty()) {
      execution->Refuse(refusal, kDefaultRetry);
      return;
    }
    if (execution->key) {
      auto usual =
        this->queue.Times().Of(slot.requestClass, Duration(kUnknownTime));
      this->keyLoad.Add(
        now, *execution->key, static_cast<double>(usual.count()) / 1e9);
    }
    for (const auto& refused : this->queue.Offer(now, slot)) {
      this->Refuse(refused);
    }
    this->Pump();
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

void
Executor::Pump()
{
  auto now = BootClock::now();
  for (auto id : this->queue.Start(now)) {
    auto found = this->executions.find(id);
    if (found != this->executions.end()) {
      found->second->Run(now);
    }
  }
  this->ArmTick();
}

void
Executor::ArmTick()
{
  if (this->ticking || this->queue.Waiting() == 0) {
    return;
  }
  this->ticking = true;
  this->tick.expires_after(kTickInterval);
  this->tick.async_wait([this](boost::system::error_code aError) {
    this->ticking = false;
    if (aError) {
      return;
    }
    auto now = BootClock::now();
    auto refused = this->queue.Expire(now);
    bool closed =
      !this->serving.usable || now + kSendMargin > this->serving.sendUntil;
    if (closed) {
      auto rest = this->queue.Clear(
        now, this->serving.usable ? "draining" : "server-down");
      refused.insert(refused.end(), rest.begin(), rest.end());
    }
    for (const auto& refusal : refused) {
      this->Refuse(refusal);
    }
    this->Pump();
  });
}

ExecutionReport
Executor::Note(ExecutionOutcome aOutcome,
               const Execution& aExecution,
               const std::string& aReason,
               Duration aRetryAfter) const
{
  auto now = BootClock::now();
  ExecutionReport note;
  note.outcome = aOutcome;
  note.reason = aReason;
  note.retryAfter = aRetryAfter;
  note.load = this->queue.OfferedLoad(now);
  note.expected =
    this->queue.ExpectedTime(now, aExecution.dispatch.requestClass);
  note.spent = now - aExecution.arrivedAt;
  note.untilHeartbeat = this->serving.nextHeartbeat - now;
  return note;
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

std::vector<KeyWeight>
Executor::KeyWeights()
{
  auto weights = this->keyLoad.Snapshot(BootClock::now());
  // Work sums up over the half-life divided by ln 2 while it comes evenly.
  double span = static_cast<double>(kKeyHalfLife.count()) / 1e9 / std::log(2.0);
  for (auto& weight : weights) {
    weight.weight /= span * std::max<uint32_t>(1, this->serving.slots);
  }
  return weights;
}

bool
Executor::Idle() const
{
  return this->executions.empty();
}

uint64_t
Executor::ConnectionsOpened() const
{
  return this->pool.opened;
}

void
Executor::Sweep(Time aNow)
{
  this->pool.Sweep(aNow);
}

} // namespace fescuetiller
