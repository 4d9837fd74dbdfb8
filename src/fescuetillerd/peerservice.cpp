#include "fescuetillerd/peerservice.h"

namespace fescuetiller {

PeerService::PeerService(Router& aRouter,
                         RequestMemory& aMemory,
                         BackendLink& aBackend,
                         OnRows aOnRows)
  : router(aRouter)
  , memory(aMemory)
  , cancels([&aBackend](const std::string& aId) { aBackend.Cancel(aId); })
  , onRows(std::move(aOnRows))
{
}

grpc::Status
PeerService::Forward(grpc::ServerContext* aContext,
                     const wire::ForwardRequest* aRequest,
                     wire::ForwardReply* aReply)
{
  Request request;
  request.requestId = aRequest->request_id();
  request.service = aRequest->service();
  request.requestClass = aRequest->request_class();
  request.key = aRequest->key();
  request.body = aRequest->body();
  request.deadline =
    BootClock::now() + std::chrono::milliseconds(aRequest->remaining_ms());
  request.stamp = FromWire(aRequest->stamp());
  request.attempt = aRequest->attempt();
  Outcome outcome;
  if (aRequest->idempotent()) {
    auto watched = this->cancels.Watch(
      request.requestId, [aContext] { return aContext->IsCancelled(); });
    outcome = this->router.HandleForwarded(request, aRequest->owner(), true);
    this->cancels.Unwatch(watched);
  } else {
    // Its sender asks for the outcome when the call breaks.
    outcome = this->router.HandleForwarded(request, aRequest->owner(), false);
  }
  *aReply = ToWire(outcome);
  *aReply->mutable_stamp() = ToWire(this->memory.Stamp());
  return grpc::Status::OK;
}

grpc::Status
PeerService::Settle(grpc::ServerContext* /*aContext*/,
                    const wire::SettleRequest* aRequest,
                    wire::ForwardReply* aReply)
{
  SettleQuestion question;
  question.identity = { aRequest->request_id(),
                        aRequest->content(),
                        FromWire(aRequest->stamp()) };
  question.owner = aRequest->owner();
  question.ownedSince = aRequest->owned_since();
  question.deadline =
    BootClock::now() + std::chrono::milliseconds(aRequest->remaining_ms());
  *aReply =
    ToWire(this->router.Settle(aRequest->service(), aRequest->key(), question));
  *aReply->mutable_stamp() = ToWire(this->memory.Stamp());
  return grpc::Status::OK;
}

grpc::Status
PeerService::Exchange(grpc::ServerContext* /*aContext*/,
                      const wire::Deltas* aDeltas,
                      wire::Deltas* /*aReply*/)
{
  std::vector<Row> rows;
  for (const auto& row : aDeltas->rows()) {
    rows.push_back(FromWire(row));
  }
  this->onRows(rows);
  return grpc::Status::OK;
}

} // namespace fescuetiller
