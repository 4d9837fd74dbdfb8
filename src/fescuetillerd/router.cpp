#include "fescuetillerd/router.h"

#include <thread>

namespace fescuetiller {

namespace {

constexpr double kRetryShare = 0.1;
constexpr double kSavedRetries = 10;
constexpr Duration kUnknownNameRetryAfter = std::chrono::seconds(1);

} // namespace

Router::Router(std::map<std::string, uint32_t> aPartitions,
               const Routes& aRoutes,
               const Classes& aClasses,
               Executor& aExecutor,
               RequestMemory& aMemory,
               PeerClient& aPeers,
               ClassMetrics& aMetrics)
  : partitions(std::move(aPartitions))
  , routes(aRoutes)
  , classes(aClasses)
  , executor(aExecutor)
  , memory(aMemory)
  , peers(aPeers)
  , metrics(aMetrics)
  , budget(kRetryShare, kSavedRetries)
  , random(std::random_device()())
{
}

PartitionId
Router::Partition(const Request& aRequest) const
{
  return PartitionOf(
    aRequest.service, aRequest.key, this->partitions.at(aRequest.service));
}

Outcome
Router::Handle(const Request& aRequest)
{
  if (this->partitions.count(aRequest.service) == 0) {
    return NotRun("unknown service " + aRequest.service,
                  kUnknownNameRetryAfter);
  }
  auto target = this->classes.Find(aRequest.service, aRequest.requestClass);
  if (!target) {
    return NotRun("unknown class " + aRequest.requestClass,
                  kUnknownNameRetryAfter);
  }
  Time started = BootClock::now();
  Outcome outcome = this->Forward(aRequest, target->idempotent);
  this->metrics.Record(aRequest.service,
                       aRequest.requestClass,
                       outcome.code,
                       BootClock::now() - started);
  return outcome;
}

Outcome
Router::HandleForwarded(const Request& aRequest,
                        Incarnation aOwner,
                        bool aIdempotent)
{
  if (this->partitions.count(aRequest.service) == 0) {
    return NotRun("unknown service " + aRequest.service,
                  kUnknownNameRetryAfter);
  }
  PartitionId partition = this->Partition(aRequest);
  auto route = this->routes.Find(partition);
  // A sender that means an earlier incarnation would ask that one about it.
  bool meant = route && route->owner == aOwner;
  return meant ? this->executor.Execute(aRequest, partition, aIdempotent)
               : this->executor.Recall(aRequest, aIdempotent);
}

Outcome
Router::Settle(const std::string& aService,
               const std::string& aKey,
               SettleQuestion aQuestion)
{
  auto count = this->partitions.find(aService);
  if (count == this->partitions.end()) {
    return UnknownOutcome("unknown service " + aService);
  }
  aQuestion.partition = PartitionOf(aService, aKey, count->second);
  return this->executor.Settle(aQuestion);
}

std::optional<Route>
Router::Elsewhere(const Request& aRequest) const
{
  if (this->partitions.count(aRequest.service) == 0) {
    return std::nullopt;
  }
  PartitionId partition = this->Partition(aRequest);
  if (this->executor.Serves(partition)) {
    return std::nullopt;
  }
  return this->routes.Find(partition);
}

bool
Router::NeedsStamp(const Request& aRequest) const
{
  auto target = this->classes.Find(aRequest.service, aRequest.requestClass);
  return target && !target->idempotent;
}

IssueStamp
Router::Stamp() const
{
  this->memory.SeeRevision(this->routes.Revision());
  return this->memory.Stamp();
}

std::optional<Owner>
Router::FindOwner(const PartitionId& aPartition) const
{
  auto route = this->routes.Find(aPartition);
  if (!route) {
    return std::nullopt;
  }
  return Owner{ route->owner, route->peerAddress, route->ownedSince };
}

ForwardStep
Router::NextStep(Forwarding& aForwarding, const PartitionId& aPartition)
{
  auto owner = this->FindOwner(aPartition);
  std::lock_guard<std::mutex> lock(this->mutex);
  return aForwarding.Next(BootClock::now(), owner);
}

CallResult
Router::Send(const Request& aRequest,
             const PartitionId& aPartition,
             const Owner& aOwner,
             bool aIdempotent)
{
  if (this->executor.Serves(aPartition)) {
    return { CallEnd::Answered,
             this->executor.Execute(aRequest, aPartition, aIdempotent) };
  }
  return this->peers.Forward(aOwner, aRequest, aIdempotent);
}

Outcome
Router::Forward(const Request& aRequest, bool aIdempotent)
{
  PartitionId partition = this->Partition(aRequest);
  Request request = aRequest;
  std::unique_lock<std::mutex> lock(this->mutex);
  Forwarding forwarding(request, aIdempotent, this->budget, this->random);
  lock.unlock();
  while (true) {
    ForwardStep step = this->NextStep(forwarding, partition);
    CallResult result;
    switch (step.kind) {
      case ForwardStep::Kind::Finish:
        return step.outcome;
      case ForwardStep::Kind::Wait:
        std::this_thread::sleep_for(step.until - BootClock::now());
        continue;
      case ForwardStep::Kind::Send:
        request.attempt = forwarding.Attempts();
        result = this->Send(request, partition, step.owner, aIdempotent);
        break;
      case ForwardStep::Kind::Settle:
        result = this->peers.Settle(step.owner, request);
        break;
    }
    lock.lock();
    forwarding.Ended(BootClock::now(), result.end, result.outcome);
    lock.unlock();
  }
}

} // namespace fescuetiller
