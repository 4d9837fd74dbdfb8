#include "scheduling/scheduler.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include "scheduling/targetpolicy.h"

namespace fescuetiller {

namespace {

constexpr size_t kMaxWaiting = 256;
constexpr Duration kPlanInterval = std::chrono::milliseconds(50);
/** Decay time of the count of offered requests. */
constexpr Duration kArrivalWindow = std::chrono::seconds(1);
constexpr double kServiceWeight = 1.0 / 16;
/** A class is lengthy when its time in a slot, times this, exceeds the
 * tightest latency. */
constexpr int kHoldUpFactor = 10;
/** Target of a request whose class has none yet. */
constexpr Duration kUnlistedLatency = std::chrono::seconds(1);
constexpr double kUnlistedShare = 0.5;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

ClassTarget
UnlistedTarget(const std::string& aService)
{
  ClassTarget target;
  target.service = aService;
  target.latency = kUnlistedLatency;
  target.share = kUnlistedShare;
  return target;
}

} // namespace

bool
operator==(const ScheduleDecision& aLeft, const ScheduleDecision& aRight)
{
  return std::tie(aLeft.id, aLeft.kind, aLeft.retryAfter, aLeft.reason) ==
         std::tie(aRight.id, aRight.kind, aRight.retryAfter, aRight.reason);
}

Scheduler::Scheduler(uint32_t aSlots)
  : Scheduler(aSlots, MakeTargetPolicy())
{
}

Scheduler::Scheduler(uint32_t aSlots, SchedulingPolicy aPolicy)
  : policy(std::move(aPolicy))
  , backend(aSlots)
{
}

void
Scheduler::SetSlots(uint32_t aSlots)
{
  this->backend.SetSlots(aSlots);
}

void
Scheduler::BackendRestarted()
{
  this->backend.Restart();
}

void
Scheduler::ReportLoad(const LoadReport& aReport)
{
  this->backend.Report(aReport);
}

void
Scheduler::SetTargets(const std::vector<ClassTarget>& aTargets)
{
  this->targets.clear();
  for (const auto& target : aTargets) {
    if (!target.removed) {
      this->targets[{ target.service, target.name }] = target;
    }
  }
  std::set<std::string> services;
  for (const auto& [key, row] : this->table) {
    services.insert(key.first);
    auto found = this->targets.find(key);
    row->listed = found != this->targets.end();
    if (row->listed) {
      row->target = found->second;
    }
  }
  for (const auto& service : services) {
    this->AddRowsOf(service);
  }
  this->OrderRows();
  for (auto& [id, entry] : this->requests) {
    if (!entry.running) {
      this->SetGiveUp(id, entry);
    }
  }
}

ClassState&
Scheduler::RowOf(const QueuedRequest& aRequest)
{
  RowKey key{ aRequest.service, aRequest.requestClass };
  auto found = this->table.find(key);
  if (found != this->table.end()) {
    return *found->second;
  }
  if (this->targets.count(key) == 0) {
    key.second.clear();
    found = this->table.find(key);
    if (found != this->table.end()) {
      return *found->second;
    }
    this->AddRow(key, UnlistedTarget(aRequest.service));
  }
  this->AddRowsOf(aRequest.service);
  this->OrderRows();
  return *this->table.at(key);
}

ClassState&
Scheduler::AddRow(const RowKey& aKey, const ClassTarget& aTarget)
{
  auto& row = this->table[aKey];
  if (!row) {
    row = std::make_unique<ClassState>();
    row->target = aTarget;
  }
  return *row;
}

void
Scheduler::AddRowsOf(const std::string& aService)
{
  auto target = this->targets.lower_bound({ aService, "" });
  for (; target != this->targets.end() && target->first.first == aService;
       ++target) {
    this->AddRow(target->first, target->second);
  }
}

void
Scheduler::OrderRows()
{
  this->rows.clear();
  for (const auto& [key, row] : this->table) {
    this->rows.push_back(row.get());
  }
  auto faster = [](const ClassState* aLeft, const ClassState* aRight) {
    return aLeft->target.latency < aRight->target.latency;
  };
  std::stable_sort(this->rows.begin(), this->rows.end(), faster);
  for (ClassState* row : this->rows) {
    row->fastest = row->target.latency == this->rows.front()->target.latency;
  }
}

void
Scheduler::RemoveIdleRows()
{
  size_t before = this->table.size();
  for (auto row = this->table.begin(); row != this->table.end();) {
    const ClassState& state = *row->second;
    bool idle = state.queue.Size() == 0 && state.running == 0;
    row = idle && !state.listed ? this->table.erase(row) : std::next(row);
  }
  if (this->table.size() != before) {
    this->OrderRows();
  }
}

void
Scheduler::Summarise()
{
  Duration queued(0);
  for (ClassState* row : this->rows) {
    queued += row->Queued();
    row->queuedFaster = queued;
  }
  uint32_t lengthy = 0;
  for (ClassState* row : this->rows) {
    row->lengthy = !row->fastest && row->service * kHoldUpFactor >
                                      this->rows.front()->target.latency;
    lengthy += row->lengthy ? row->running : 0;
  }
  this->backend.SetWaiting(this->Waiting(), lengthy);
}

void
Scheduler::CountArrival(Time aNow, ClassState& aRow)
{
  double age = Seconds(aNow - aRow.arrivalsAt) / Seconds(kArrivalWindow);
  aRow.arrivals = aRow.arrivals * std::exp(-age) + 1;
  aRow.arrivalsAt = aNow;
}

void
Scheduler::Plan(Time aNow)
{
  if (aNow < this->nextPlan) {
    return;
  }
  this->nextPlan = aNow + kPlanInterval;
  this->RemoveIdleRows();
  for (ClassState* row : this->rows) {
    double age = Seconds(aNow - row->arrivalsAt) / Seconds(kArrivalWindow);
    double rate = row->arrivals * std::exp(-age) / Seconds(kArrivalWindow);
    row->offered = rate * Seconds(row->service);
  }
  this->Summarise();
  this->policy.plan(this->rows, this->backend.State(), aNow);
}

ScheduleDecisions
Scheduler::Offer(Time aNow, const QueuedRequest& aRequest)
{
  ScheduleDecisions decisions = this->Tick(aNow);
  ClassState& row = this->RowOf(aRequest);
  this->CountArrival(aNow, row);
  this->Summarise();
  QueueAdmission admission{ false, Duration(0), "queue full" };
  if (this->Waiting() < kMaxWaiting) {
    admission = this->policy.admit(row, this->backend.State(), aNow);
  } else {
    admission.retryAfter = RetryAfter(row, this->backend.State());
  }
  if (!admission.admitted) {
    uint64_t keyHash = this->policy.fairKeys ? HashKey(aRequest.key) : 0;
    auto pushedOut = row.queue.PushOut(keyHash);
    uint64_t refused = pushedOut.value_or(aRequest.id);
    decisions.push_back({ refused,
                          ScheduleDecision::Kind::Refuse,
                          admission.retryAfter,
                          admission.reason });
    if (!pushedOut) {
      return decisions;
    }
    Entry& entry = this->requests.at(*pushedOut);
    this->giveUps.erase({ entry.giveUpAt, *pushedOut });
    this->requests.erase(*pushedOut);
  }
  this->Enqueue(aRequest, row);
  this->Fill(aNow, decisions);
  return decisions;
}

void
Scheduler::Enqueue(const QueuedRequest& aRequest, ClassState& aRow)
{
  Entry& entry = this->requests[aRequest.id];
  entry.row = &aRow;
  entry.keyHash = this->policy.fairKeys ? HashKey(aRequest.key) : 0;
  entry.arrivedAt = aRequest.arrivedAt;
  entry.deadline = aRequest.deadline;
  entry.giveUpAt = Time::max();
  aRow.queue.Push(entry.keyHash, aRequest.id, aRequest.arrivedAt);
  this->SetGiveUp(aRequest.id, entry);
}

void
Scheduler::SetGiveUp(uint64_t aId, Entry& aEntry)
{
  this->giveUps.erase({ aEntry.giveUpAt, aId });
  Time missed = aEntry.arrivedAt + this->policy.longestWait(*aEntry.row);
  aEntry.giveUpAt = std::min(aEntry.deadline, missed);
  this->giveUps.insert({ aEntry.giveUpAt, aId });
}

ScheduleDecisions
Scheduler::Finished(Time aNow, uint64_t aId, RunEnd aEnd)
{
  ScheduleDecisions decisions;
  auto found = this->requests.find(aId);
  if (found == this->requests.end() || !found->second.running) {
    return decisions;
  }
  ClassState& row = *found->second.row;
  Duration took = aNow - found->second.startedAt;
  this->backend.Finished(aNow, aId, aEnd, row.service);
  if (aEnd == RunEnd::Done) {
    Duration change = row.measured ? std::chrono::duration_cast<Duration>(
                                       (took - row.service) * kServiceWeight)
                                   : took - row.service;
    row.service += change;
    row.measured = true;
  }
  --row.running;
  --this->running;
  this->requests.erase(found);
  this->Expire(aNow, decisions);
  this->Fill(aNow, decisions);
  return decisions;
}

void
Scheduler::Cancel(uint64_t aId)
{
  auto found = this->requests.find(aId);
  if (found == this->requests.end() || found->second.running) {
    return;
  }
  Entry& entry = found->second;
  entry.row->queue.Remove(entry.keyHash, aId);
  this->giveUps.erase({ entry.giveUpAt, aId });
  this->requests.erase(found);
}

ScheduleDecisions
Scheduler::Tick(Time aNow)
{
  ScheduleDecisions decisions;
  this->backend.Tick(aNow);
  this->Plan(aNow);
  this->Expire(aNow, decisions);
  if (this->backend.State().frozen) {
    this->RefuseWaiting(decisions);
  }
  this->Fill(aNow, decisions);
  return decisions;
}

void
Scheduler::Expire(Time aNow, ScheduleDecisions& aDecisions)
{
  while (!this->giveUps.empty() && this->giveUps.begin()->first <= aNow) {
    uint64_t id = this->giveUps.begin()->second;
    bool late = this->requests.at(id).deadline <= aNow;
    this->Refuse(id,
                 late ? "deadline passed while waiting"
                      : "missed its target while waiting",
                 aDecisions);
  }
}

void
Scheduler::RefuseWaiting(ScheduleDecisions& aDecisions)
{
  while (!this->giveUps.empty()) {
    this->Refuse(this->giveUps.begin()->second,
                 "backend server does not answer",
                 aDecisions);
  }
}

void
Scheduler::Refuse(uint64_t aId,
                  const std::string& aReason,
                  ScheduleDecisions& aDecisions)
{
  const ClassState& row = *this->requests.at(aId).row;
  Duration retryAfter = RetryAfter(row, this->backend.State());
  this->Cancel(aId);
  aDecisions.push_back(
    { aId, ScheduleDecision::Kind::Refuse, retryAfter, aReason });
}

void
Scheduler::Fill(Time aNow, ScheduleDecisions& aDecisions)
{
  while (this->Waiting() != 0 &&
         this->running < this->policy.limit(this->backend.State())) {
    ClassState* next = this->NextRow(aNow);
    if (next == nullptr) {
      return;
    }
    this->Start(aNow, *next, aDecisions);
  }
}

ClassState*
Scheduler::NextRow(Time aNow)
{
  this->Summarise();
  ClassState* best = nullptr;
  double lowest = std::numeric_limits<double>::infinity();
  for (ClassState* row : this->rows) {
    if (row->queue.Size() == 0) {
      continue;
    }
    double order = this->policy.order(*row, this->backend.State(), aNow);
    if (order < lowest) {
      lowest = order;
      best = row;
    }
  }
  return best;
}

void
Scheduler::Start(Time aNow, ClassState& aRow, ScheduleDecisions& aDecisions)
{
  uint64_t id = aRow.queue.Front();
  aRow.queue.PopFront();
  Entry& entry = this->requests.at(id);
  this->giveUps.erase({ entry.giveUpAt, id });
  entry.running = true;
  entry.startedAt = aNow;
  ++aRow.running;
  ++this->running;
  this->backend.Started(aNow, id, aRow.service);
  aDecisions.push_back({ id, ScheduleDecision::Kind::Start, Duration(0), "" });
}

size_t
Scheduler::Running() const
{
  return this->running;
}

size_t
Scheduler::Waiting() const
{
  return this->giveUps.size();
}

const BackendState&
Scheduler::Backend() const
{
  return this->backend.State();
}

} // namespace fescuetiller
