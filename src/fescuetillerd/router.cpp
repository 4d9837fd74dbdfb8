#include "fescuetillerd/router.h"

#include <thread>

namespace fescuetiller {

namespace {

constexpr Duration kRouteWait = std::chrono::milliseconds(20);

} // namespace

Router::Router(std::map<std::string, uint32_t> aPartitions,
               const Routes& aRoutes,
               const Classes& aClasses,
               Executor& aExecutor,
               PeerClient& aPeers,
               ClassMetrics& aMetrics)
  : partitions(std::move(aPartitions))
  , routes(aRoutes)
  , classes(aClasses)
  , executor(aExecutor)
  , peers(aPeers)
  , metrics(aMetrics)
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
    return NotRun("unknown service " + aRequest.service, Duration(0));
  }
  auto target = this->classes.Find(aRequest.service, aRequest.requestClass);
  if (!target) {
    return NotRun("unknown class " + aRequest.requestClass, Duration(0));
  }
  Time started = BootClock::now();
  Outcome outcome = this->Route(aRequest, target->idempotent);
  this->metrics.Record(aRequest.service,
                       aRequest.requestClass,
                       outcome.code,
                       BootClock::now() - started);
  return outcome;
}

Outcome
Router::HandleForwarded(const Request& aRequest)
{
  if (this->partitions.count(aRequest.service) == 0) {
    return NotRun("unknown service " + aRequest.service, Duration(0));
  }
  return this->executor.Execute(aRequest, this->Partition(aRequest));
}

Outcome
Router::Route(const Request& aRequest, bool aIdempotent)
{
  PartitionId partition = this->Partition(aRequest);
  while (true) {
    Outcome outcome = this->executor.Execute(aRequest, partition);
    auto route = this->routes.Find(partition);
    if (outcome.notOwner && route) {
      outcome = this->peers.Forward(route->peerAddress, aRequest);
    }
    bool again =
      outcome.notOwner || (aIdempotent && outcome.code == OutcomeCode::Unknown);
    if (!again) {
      return outcome;
    }
    if (BootClock::now() + kRouteWait >= aRequest.deadline) {
      return outcome.notOwner
               ? NotRun("no owner reached in time", std::chrono::seconds(1))
               : outcome;
    }
    std::this_thread::sleep_for(kRouteWait);
  }
}

} // namespace fescuetiller
